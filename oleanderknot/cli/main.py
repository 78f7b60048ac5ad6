"""The command line."""

import sys

from oleanderknot.cli import alert_ack
from oleanderknot.cli import alert_list
from oleanderknot.cli import check
from oleanderknot.cli import command_line
from oleanderknot.cli import explain
from oleanderknot.cli import node
from oleanderknot.cli import sidecar
from oleanderknot.cli import status
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
    app = command_line.CommandLine('oleanderknot', '0.1.0')
    app.add(check.CheckCommand())
    app.add(demo.DemoCommand())
    app.add(node.NodeCommand())
    app.add(sidecar.SidecarCommand())
    app.add(ticket_file.TicketFileCommand())
    app.add(ticket_list.TicketListCommand())
    app.add(ticket_show.TicketShowCommand())
    app.add(ticket_status.TicketStatusCommand())
    app.add(explain.ExplainCommand())
    app.add(status.StatusCommand())
    app.add(alert_list.AlertListCommand())
    app.add(alert_ack.AlertAckCommand())
    return app.execute()


if __name__ == '__main__':
    sys.exit(main())
