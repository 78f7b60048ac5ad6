"""The ``demo`` command."""

import aiomisc
from cleo.commands import command

from oleanderknot.cli.demo import demo_run


class DemoCommand(command.Command):
    """Runs the complete system in one process and simulates a surge."""

    name = 'demo'
    description = 'Demonstrate the system in one process within 30 s'
    help = """Starts a simulated platform and three services in two data \
centres with their nodes, files a ticket, serves requests, generates a short \
surge while the last service of the call chain is slow, and reports the \
results.
The exit status is 0 if customers got correct answers about their orders and \
goodput returned to normal.

Example:

    oleanderknot demo"""

    def handle(self) -> int:
        """Run the command."""
        with aiomisc.entrypoint(log_config=False) as loop:
            return loop.run_until_complete(demo_run.run())
