"""The command-line application."""

from cleo import application
from cleo import exceptions
from cleo.io import io as cleo_io


class CommandLine(application.Application):
    """Application that gives usage errors an exit code of their own.

    Attributes:
        is_usage_error: Whether the command line could not be parsed.
    """

    is_usage_error = False

    def render_error(self, error: Exception, io: cleo_io.IO) -> None:
        """Print an error; cleo calls this before it returns 1."""
        self.is_usage_error = isinstance(error, exceptions.CleoError)
        super().render_error(error, io)

    def execute(self) -> int:
        """Run the command given on the command line.

        Returns:
            The exit code: 0 for success, 1 for a failed operation, 2 for a
            usage error or invalid settings.
        """
        self.auto_exits(False)
        code = self.run()
        return 2 if self.is_usage_error else code
