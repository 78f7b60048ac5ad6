"""The command line application."""

from cleo import application
from cleo import exceptions
from cleo.io import io as ios


class CommandLine(application.Application):
    """Tells wrong usage apart from a failed operation.

    Attributes:
        wrong_usage: Whether the command line could not be understood.
    """

    wrong_usage = False

    def render_error(self, error: Exception, io: ios.IO) -> None:
        """Show an error; called by the library before it returns 1."""
        self.wrong_usage = isinstance(error, exceptions.CleoError)
        super().render_error(error, io)

    def execute(self) -> int:
        """Run the command that the process was started with.

        Returns:
            The exit code: 0 success, 1 a failed operation, 2 wrong usage or
            settings.
        """
        self.auto_exits(False)
        code = self.run()
        return 2 if self.wrong_usage else code
