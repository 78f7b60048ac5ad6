"""The command that tells the way of one request."""

import pathlib
import sys

from cleo.commands import command
from cleo.helpers import argument

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model


class TraceCommand(command.Command):
    """Reads log files of several nodes and tells what became of a request."""

    name = 'trace'
    description = 'Tell the way of a request from the logs of several nodes'
    arguments = [
        argument('id', description='Id of the request or of one of its calls'),
        argument('files', description='Log files', multiple=True),
    ]
    help = """Prints what the nodes logged about a request and the calls made \
for it, in order of time, and what these nodes came to believe shortly before.
Times are those of each node's own clock.
The exit code is 1 when no line names the request or a file cannot be read.

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
            found, unread = parse_lines(text)
            entries += found
            if unread:
                print(
                    '%s: %d lines are no log lines of a node' % (name, unread),
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
    """Read the lines of a log file.

    Returns:
        The lines, and how many could not be read. Empty lines and lines
        without a JSON object, such as those of another process, count too.
    """
    entries = []
    unread = 0
    for line in text.splitlines():
        try:
            entries.append(border.parse_log_line(line))
        except ValueError:
            unread += 1
    return entries, unread
