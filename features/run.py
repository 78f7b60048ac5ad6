"""Runs all features and prints one closing line with the result."""

import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def load_known_red() -> dict[str, str]:
    """Read the scenarios that are known to fail.

    Each line that starts with ``scenario:`` names one, as
    ``<feature file>: <scenario name>``.

    Returns:
        The line of the file by scenario.
    """
    if not KNOWN_RED.exists():
        return {}
    known = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith('scenario:'):
            known[line.removeprefix('scenario:').strip()] = line
    return known


def list_results(path: pathlib.Path) -> list[tuple[str, str]]:
    """Read the status of each scenario from behave's JSON output.

    Args:
        path: The output file.

    Returns:
        Name and status of each scenario.
    """
    results = []
    for feature in json.loads(path.read_text()):
        file = feature['location'].partition(':')[0]
        for element in feature.get('elements', ()):
            if element['type'] != 'background':
                name = '%s: %s' % (file, element['name'])
                results.append((name, element['status']))
    return results


def main(arguments: list[str]) -> int:
    """Run behave.

    Args:
        arguments: More arguments for behave, such as feature files.

    Returns:
        The exit status: 0 when nothing failed but what KNOWN-RED.txt names.
    """
    with tempfile.TemporaryDirectory() as folder:
        output = pathlib.Path(folder) / 'result.json'
        status = subprocess.call(
            [
                sys.executable,
                '-m',
                'behave',
                '--no-color',
                '--format=progress2',
                '--outfile=' + str(pathlib.Path(folder) / 'progress'),
                '--format=json',
                '--outfile=' + str(output),
                '--format=plain',
                '--no-skipped',
                *(arguments or ['features']),
            ],
            cwd=ROOT,
        )
        if not output.exists():
            print('behave wrote no result (exit status %d)' % status)
            print('0 passed, 1 failed')
            return 1
        results = list_results(output)
    known = load_known_red()
    passed = failed = 0
    for name, result in results:
        if result == 'passed':
            passed += 1
        elif name in known:
            print('known red, passed over: %s' % name)
        else:
            print('failed: %s (%s)' % (name, result))
            failed += 1
    if not results:
        failed = 1
    print('%d passed, %d failed' % (passed, failed))
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
