"""Options for the addresses of the platform's services."""

import pathlib

from cleo.commands import command
from cleo.helpers import option

from oleanderknot import border
from oleanderknot.cli import ticket_options

SETTINGS = option(
    'settings',
    description='Settings file of any node, with the platform addresses',
    flag=False,
)
OBJECTS = option(
    'objects', description='Address of the object store', flag=False
)


def find_platform(item: command.Command) -> border.PlatformSettings:
    """Return the addresses of the platform's services.

    Options take precedence over the settings file.

    Raises:
        UsageError: The settings file is invalid, or an address is not an
            HTTP URL.
    """
    platform = border.PlatformSettings()
    path = item.option('settings')
    if path:
        try:
            platform = border.load_settings(pathlib.Path(path)).platform
        except border.InvalidFileError as error:
            raise ticket_options.UsageError(str(error)) from error
    changes = {}
    for name, field in (('table', 'table_url'), ('objects', 'object_url')):
        value = item.option(name) if item.definition.has_option(name) else ''
        if value and not value.startswith(('http://', 'https://')):
            raise ticket_options.UsageError(
                '--%s: found %r, allowed: an address that starts with '
                'http:// or https://' % (name, value)
            )
        if value:
            changes[field] = value
    return platform.model_copy(update=changes)


def require(value: str, name: str) -> str:
    """Return an address unchanged if it is set.

    Raises:
        UsageError: The address is empty.
    """
    if not value:
        raise ticket_options.UsageError(
            '--%s or --settings: found nothing, allowed: the address of the '
            'service, or a settings file that names it' % name
        )
    return value
