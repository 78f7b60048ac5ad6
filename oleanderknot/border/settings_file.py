"""Reads settings from YAML."""

import pathlib

import pydantic
import yaml

from oleanderknot.border import settings


class SettingsError(Exception):
    """Settings are invalid; the text names every mistake on its own line."""


def load_settings(path: pathlib.Path) -> settings.NodeSettings:
    """Read the settings of a node.

    Args:
        path: YAML file.

    Returns:
        The settings.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    try:
        content = yaml.safe_load(path.read_text(encoding='utf-8'))
        return settings.NodeSettings.model_validate(content)
    except (OSError, yaml.YAMLError, pydantic.ValidationError) as error:
        raise SettingsError('%s: %s' % (path, error)) from error
