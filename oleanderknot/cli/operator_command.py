"""Base class of the commands for operators."""

import abc
import sys

from cleo.commands import command

from oleanderknot.cli import common_options


class OperatorCommand(command.Command):
    """Base command that maps errors to messages and exit codes."""

    def handle(self) -> int:
        """Run the command.

        Returns:
            0 for success, 1 for a failed operation, 2 for a usage error or an
            invalid file.
        """
        try:
            return self.run_operation()
        except common_options.UsageError as error:
            print(error, file=sys.stderr)
            return 2
        except common_options.OperationError as error:
            print(error, file=sys.stderr)
            return 1

    @abc.abstractmethod
    def run_operation(self) -> int:
        """Perform the operation of the command and return the exit code.

        Raises:
            UsageError: The command line or the file is invalid.
            OperationError: The operation failed.
        """
