"""Options for the addresses of the platform's services."""

import pathlib

from cleo.commands import command
from cleo.helpers import option

from oleanderknot import border
from oleanderknot.cli import common_options

SETTINGS = option(
    'settings',
    description='Settings file of any node, with the platform addresses',
    flag=False,
)
OBJECTS = option(
    'objects', description='Address of the object store', flag=False
)


def resolve_platform(cmd: command.Command) -> border.PlatformSettings:
    """Return the addresses of the platform's services.

    Options take precedence over the settings file.

    Raises:
        UsageError: The settings file is invalid, or an address is not an
            HTTP URL.
    """
    platform = border.PlatformSettings()
    path = cmd.option('settings')
    if path:
        try:
            platform = border.load_settings(pathlib.Path(path)).platform
        except border.InvalidFileError as error:
            raise common_options.UsageError(str(error)) from error
    overrides = {}
    for name, field in (('table', 'table_url'), ('objects', 'object_url')):
        value = cmd.option(name) if cmd.definition.has_option(name) else ''
        if value and not value.startswith(('http://', 'https://')):
            raise common_options.UsageError(
                '--%s: found %r, allowed: an address that starts with '
                'http:// or https://' % (name, value)
            )
        if value:
            overrides[field] = value
    return platform.model_copy(update=overrides)


def require_address(value: str, name: str) -> str:
    """Return an address unchanged if it is set.

    Raises:
        UsageError: The address is empty.
    """
    if not value:
        raise common_options.UsageError(
            '--%s or --settings: found nothing, allowed: the address of the '
            'service, or a settings file that names it' % name
        )
    return value
