"""Reads settings from YAML."""

import pathlib

from oleanderknot.border import exposure
from oleanderknot.border import model_mistakes
from oleanderknot.border import settings
from oleanderknot.border import yaml_lines


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
    result = model_mistakes.collect(settings.NodeSettings, text, text.value)
    for place, found, allowed in exposure.find_exposed(text.value):
        text.add(place, found, allowed)
    if result is None or text.mistakes:
        raise yaml_lines.MistakesError(text.mistakes)
    return result
