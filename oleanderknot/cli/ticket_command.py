"""Base of the ticket commands."""

import abc
import sys

from cleo.commands import command

from oleanderknot.cli import ticket_options


class TicketCommand(command.Command):
    """Turns errors into messages and exit codes."""

    def handle(self) -> int:
        """Run the command.

        Returns:
            0 success, 1 a failed operation, 2 wrong usage or a wrong file.
        """
        try:
            return self.carry_out()
        except ticket_options.UsageError as error:
            print(error, file=sys.stderr)
            return 2
        except ticket_options.FailedError as error:
            print(error, file=sys.stderr)
            return 1

    @abc.abstractmethod
    def carry_out(self) -> int:
        """Do the work of the command and return the exit code.

        Raises:
            UsageError: The command line or the file is wrong.
            FailedError: The operation failed.
        """
