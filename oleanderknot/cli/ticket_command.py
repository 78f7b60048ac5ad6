"""Base class of the commands for operators."""

import abc
import sys

from cleo.commands import command

from oleanderknot.cli import ticket_options


class TicketCommand(command.Command):
    """Base command that maps errors to messages and exit codes."""

    def handle(self) -> int:
        """Run the command.

        Returns:
            0 for success, 1 for a failed operation, 2 for a usage error or an
            invalid file.
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
        """Perform the operation of the command and return the exit code.

        Raises:
            UsageError: The command line or the file is invalid.
            FailedError: The operation failed.
        """
