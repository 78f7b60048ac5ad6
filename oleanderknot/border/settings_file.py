"""Loads the settings of nodes from YAML files."""

import pathlib
import typing

from oleanderknot.border import base
from oleanderknot.border import exposed_listeners
from oleanderknot.border import model_validation
from oleanderknot.border import settings
from oleanderknot.border import sidecar_settings
from oleanderknot.border import yaml_document

Settings = typing.TypeVar('Settings', bound=base.Model)


def load_settings(path: pathlib.Path) -> settings.NodeSettings:
    """Load and validate the settings of a node.

    Args:
        path: YAML file.

    Returns:
        The settings.

    Raises:
        InvalidFileError: The file cannot be read or is invalid; the error
            lists every problem.
    """
    document = yaml_document.load_yaml(path)
    for field_path, found, allowed in exposed_listeners.find_exposed_listeners(
        document.value
    ):
        document.add_diagnostic(field_path, found, allowed)
    return check(settings.NodeSettings, document)


def load_sidecar_settings(
    path: pathlib.Path,
) -> sidecar_settings.SidecarSettings:
    """Load the settings of a node on a platform; see ``load_settings``."""
    return check(
        sidecar_settings.SidecarSettings, yaml_document.load_yaml(path)
    )


def check(
    kind: type[Settings], document: yaml_document.YamlDocument
) -> Settings:
    """Validate a document as settings and return them.

    Raises:
        InvalidFileError: The document is not valid.
    """
    result = model_validation.validate_section(kind, document, document.value)
    if result is None or document.diagnostics:
        raise yaml_document.InvalidFileError(document.diagnostics)
    return result
