"""The command line."""

import importlib
import sys

from cleo.commands import command
from cleo.loaders import factory_command_loader

from oleanderknot.cli import command_line

# Module and class of each command. A module is imported when its command
# runs: a node that starts again would otherwise wait for the imports of all.
COMMANDS = {
    'alert ack': ('alert_ack', 'AlertAckCommand'),
    'alert list': ('alert_list', 'AlertListCommand'),
    'check': ('check', 'CheckCommand'),
    'demo': ('demo.command', 'DemoCommand'),
    'explain': ('explain', 'ExplainCommand'),
    'node': ('node', 'NodeCommand'),
    'sidecar': ('sidecar', 'SidecarCommand'),
    'status': ('status', 'StatusCommand'),
    'trace': ('trace', 'TraceCommand'),
    'ticket file': ('ticket_file', 'TicketFileCommand'),
    'ticket list': ('ticket_list', 'TicketListCommand'),
    'ticket show': ('ticket_show', 'TicketShowCommand'),
    'ticket status': ('ticket_status', 'TicketStatusCommand'),
}


def build_command(name: str) -> command.Command:
    """Import and build a command.

    Args:
        name: Name of the command.
    """
    module, kind = COMMANDS[name]
    return getattr(
        importlib.import_module('oleanderknot.cli.' + module), kind
    )()


def main() -> int:
    """Run the command line.

    Returns:
        The exit code: 0 success, 1 a failed operation, 2 wrong usage or
        settings.
    """
    app = command_line.CommandLine('oleanderknot', '0.1.0')
    app.set_command_loader(
        factory_command_loader.FactoryCommandLoader(
            {name: lambda name=name: build_command(name) for name in COMMANDS}
        )
    )
    return app.execute()


if __name__ == '__main__':
    sys.exit(main())
