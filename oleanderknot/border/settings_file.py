"""Reads settings from YAML."""

import pathlib
import typing

from oleanderknot.border import base
from oleanderknot.border import exposure
from oleanderknot.border import model_mistakes
from oleanderknot.border import settings
from oleanderknot.border import sidecar_settings
from oleanderknot.border import yaml_lines

Settings = typing.TypeVar('Settings', bound=base.Model)


def load_settings(path: pathlib.Path) -> settings.NodeSettings:
    """Read the settings of a node.

    Args:
        path: YAML file.

    Returns:
        The settings.

    Raises:
        MistakesError: The file cannot be read or is invalid; the error
            names all mistakes.
    """
    text = yaml_lines.load_yaml(path)
    for place, found, allowed in exposure.find_exposed(text.value):
        text.add(place, found, allowed)
    return check(settings.NodeSettings, text)


def load_sidecar_settings(
    path: pathlib.Path,
) -> sidecar_settings.SidecarSettings:
    """Read the settings of a node on a platform; see ``load_settings``."""
    return check(sidecar_settings.SidecarSettings, yaml_lines.load_yaml(path))


def check(kind: type[Settings], text: yaml_lines.YamlText) -> Settings:
    """Return the settings that a file holds.

    Raises:
        MistakesError: The file has mistakes.
    """
    result = model_mistakes.collect(kind, text, text.value)
    if result is None or text.mistakes:
        raise yaml_lines.MistakesError(text.mistakes)
    return result
