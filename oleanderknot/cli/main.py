"""Entry point of the command-line interface."""

import importlib
import sys

from cleo.commands import command
from cleo.loaders import factory_command_loader

from oleanderknot.cli import command_line

# Module and class of each command. A module is imported only when its command
# runs, so that a restarting node does not wait for the imports of the others.
COMMANDS = {
    'alert ack': ('alert_ack', 'AlertAckCommand'),
    'alert list': ('alert_list', 'AlertListCommand'),
    'check': ('check', 'CheckCommand'),
    'demo': ('demo.command', 'DemoCommand'),
    'explain': ('explain', 'ExplainCommand'),
    'node': ('node', 'NodeCommand'),
    'route': ('route', 'RouteCommand'),
    'sidecar': ('sidecar', 'SidecarCommand'),
    'status': ('status', 'StatusCommand'),
    'trace': ('trace', 'TraceCommand'),
    'ticket file': ('ticket_file', 'TicketFileCommand'),
    'ticket list': ('ticket_list', 'TicketListCommand'),
    'ticket show': ('ticket_show', 'TicketShowCommand'),
    'ticket status': ('ticket_status', 'TicketStatusCommand'),
}


def build_command(name: str) -> command.Command:
    """Import the module of a command and instantiate the command.

    Args:
        name: Name of the command.
    """
    module, class_name = COMMANDS[name]
    return getattr(
        importlib.import_module('oleanderknot.cli.' + module), class_name
    )()


def main() -> int:
    """Run the command-line interface.

    Returns:
        The exit code: 0 for success, 1 for a failed operation, 2 for a usage
        error or invalid settings.
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
