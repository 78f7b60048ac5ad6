"""Runs feature files in parallel and prints a summary line."""

import collections.abc
import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_WORKERS = 3
KNOWN_FAILURES_PATH = ROOT / 'KNOWN-RED.txt'


def load_known_failures() -> dict[str, str]:
    """Load the scenarios that are known to fail.

    Each line that starts with ``scenario:`` names one, as
    ``<feature file>: <scenario name>``.

    Returns:
        The line of the file by scenario.
    """
    if not KNOWN_FAILURES_PATH.exists():
        return {}
    known = {}
    for line in KNOWN_FAILURES_PATH.read_text().splitlines():
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
                # Names of scenario outline examples may end with a space.
                name = '%s: %s' % (file, element['name'].strip())
                results.append((name, element['status']))
    return results


def run_feature(path: str) -> tuple[list[tuple[str, str]], str]:
    """Run one feature file.

    Args:
        path: Feature file or other behave argument.

    Returns:
        Name and status of each scenario, and the output of behave.
    """
    with tempfile.TemporaryDirectory() as folder:
        output = pathlib.Path(folder) / 'result.json'
        completed = subprocess.run(
            [
                sys.executable,
                '-m',
                'behave',
                '--no-color',
                '--format=json',
                '--outfile=' + str(output),
                '--format=plain',
                '--no-skipped',
                path,
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        results = list_results(output) if output.exists() else []
    if not results:
        results = [('%s: no scenario ran' % path, 'error')]
    return results, completed.stdout


def count_workers() -> int:
    """Return how many feature files run in parallel.

    A feature uses about three CPUs while its processes start.
    """
    return max(1, min(MAX_WORKERS, (os.cpu_count() or 1) // 3))


def summarise_results(
    results: collections.abc.Iterable[tuple[str, str]],
) -> tuple[int, int]:
    """Print failures and return the numbers of passed and failed."""
    known = load_known_failures()
    passed = failed = 0
    for name, result in results:
        if result == 'passed':
            passed += 1
        elif name in known:
            print('known red, passed over: %s' % name)
        else:
            print('failed: %s (%s)' % (name, result))
            failed += 1
    return passed, failed


def main(arguments: list[str]) -> int:
    """Run features.

    Args:
        arguments: Feature files; all when empty.

    Returns:
        The exit status: 0 unless a scenario outside KNOWN-RED.txt failed.
    """
    paths = arguments or sorted(
        str(path.relative_to(ROOT))
        for path in (ROOT / 'features').glob('*.feature')
    )
    results = []
    with concurrent.futures.ThreadPoolExecutor(count_workers()) as pool:
        for found, text in pool.map(run_feature, paths):
            results += found
            print(text, flush=True)
    passed, failed = summarise_results(results)
    print('%d passed, %d failed' % (passed, failed))
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
