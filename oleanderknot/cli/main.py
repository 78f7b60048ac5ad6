"""The command line."""

import sys

from cleo import application

from oleanderknot.cli import node


def main() -> int:
    """Run the command line.

    Returns:
        The exit code: 0 success, 1 a failed operation, 2 wrong usage or
        settings.
    """
    app = application.Application('oleanderknot', '0.1.0')
    app.add(node.NodeCommand())
    return app.run()


if __name__ == '__main__':
    sys.exit(main())
