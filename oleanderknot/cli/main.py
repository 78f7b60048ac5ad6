"""The command line."""

import sys

from cleo import application

from oleanderknot.cli import node
from oleanderknot.cli import ticket_file
from oleanderknot.cli import ticket_list
from oleanderknot.cli import ticket_show
from oleanderknot.cli import ticket_status
from oleanderknot.cli.demo import command as demo


def main() -> int:
    """Run the command line.

    Returns:
        The exit code: 0 success, 1 a failed operation, 2 wrong usage or
        settings.
    """
    app = application.Application('oleanderknot', '0.1.0')
    app.add(demo.DemoCommand())
    app.add(node.NodeCommand())
    app.add(ticket_file.TicketFileCommand())
    app.add(ticket_list.TicketListCommand())
    app.add(ticket_show.TicketShowCommand())
    app.add(ticket_status.TicketStatusCommand())
    return app.run()


if __name__ == '__main__':
    sys.exit(main())
