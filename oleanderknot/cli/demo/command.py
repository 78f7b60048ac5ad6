"""The command that shows the system at work."""

import aiomisc
from cleo.commands import command

from oleanderknot.cli.demo import demo_run


class DemoCommand(command.Command):
    """Runs the whole system in one process and shows a surge."""

    name = 'demo'
    description = 'Show the system at work, in one process, in half a minute'
    help = """Starts the stand-in platform, three services in two data \
centres with their nodes, files a ticket, serves requests, drives a short \
surge against a slow deep service, and tells what happened.
The exit status is 0 when customers were told the truth and goodput \
returned to normal.

Example:

    oleanderknot demo"""

    def handle(self) -> int:
        """Run the command."""
        with aiomisc.entrypoint(log_config=False) as loop:
            return loop.run_until_complete(demo_run.run())
