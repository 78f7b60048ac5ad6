"""The ``trace`` command."""

import pathlib
import sys

from cleo.commands import command
from cleo.helpers import argument

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model


class TraceCommand(command.Command):
    """Reconstructs the path of a request from the logs of several nodes."""

    name = 'trace'
    description = 'Show the path of a request from the logs of several nodes'
    arguments = [
        argument('id', description='Id of the request or of one of its calls'),
        argument('files', description='Log files', multiple=True),
    ]
    help = """Prints the log lines about a request and its calls in order of \
time, preceded by the state changes that these nodes logged shortly before.
Times are taken from each node's own clock.
The exit code is 1 if no line names the request or a file cannot be read.

Example:

    oleanderknot trace 4f8af78829a35832 a-1.log b-2.log"""

    def handle(self) -> int:
        """Run the command."""
        entries: list[model.LogEntry] = []
        for name in self.argument('files'):
            try:
                text = pathlib.Path(name).read_text(errors='replace')
            except OSError as error:
                print('Cannot read %s: %s' % (name, error), file=sys.stderr)
                return 1
            found, unparsed = parse_lines(text)
            entries += found
            if unparsed:
                print(
                    '%s: %d lines are not log lines of a node'
                    % (name, unparsed),
                    file=sys.stderr,
                )
        lines = decisions.find_lines(entries, self.argument('id'))
        if not lines:
            left_out = sum(entry.left_out for entry in entries)
            print(
                'No line names this request; the nodes left out %d lines.'
                % left_out,
                file=sys.stderr,
            )
            return 1
        context = decisions.find_context(entries, lines)
        if context:
            print('Before and during the request:')
            for entry in context:
                print('  ' + decisions.describe_line(entry))
        print('The request:')
        for entry in lines:
            print('  ' + decisions.describe_line(entry))
        return 0


def parse_lines(text: str) -> tuple[list[model.LogEntry], int]:
    """Parse the lines of a log file.

    Returns:
        The entries, and the number of lines that could not be parsed. Empty
        lines and lines without a JSON object, such as those of another
        process, count as not parsed.
    """
    entries = []
    unparsed = 0
    for line in text.splitlines():
        try:
            entries.append(border.parse_log_line(line))
        except ValueError:
            unparsed += 1
    return entries, unparsed
