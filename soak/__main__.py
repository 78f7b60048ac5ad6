"""Runs the soak test and prints one JSON line per seed."""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import random
import shutil
import sys

from soak import soak_cluster
from soak import soak_options
from soak import soak_run

REGRESSIONS = pathlib.Path(__file__).parent / 'regressions.txt'

# Seeds divisible by this number run planned operations only.
PLANNED_SEED_DIVISOR = 3


def parse_arguments() -> argparse.Namespace:
    """Parse the command-line arguments."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--first', type=int, help='a fresh one if left out')
    parser.add_argument('--instances', type=int, default=6)
    parser.add_argument('--rate', type=float, default=60.0, help='per second')
    parser.add_argument('--seconds', type=float, default=12.0)
    parser.add_argument('--keep', help='folder for the logs of bad seeds')
    parser.add_argument('--calm', action='store_true', help='without faults')
    parser.add_argument('--regressions', action='store_true')
    return parser.parse_args()


def list_seeds(arguments: argparse.Namespace) -> list[int]:
    """Return the seeds to run."""
    if arguments.regressions:
        return [
            int(line.split()[0])
            for line in REGRESSIONS.read_text().splitlines()
            if line[:1].isdigit()
        ]
    first = arguments.first
    if first is None:
        first = random.SystemRandom().randrange(1, 1 << 30)
    return list(range(first, first + arguments.seeds))


def run_seed(options: soak_options.SoakOptions, keep: str | None) -> bool:
    """Run one seed, print its result and return whether it had no findings."""
    cluster = soak_cluster.SoakCluster(options=options)
    try:
        cluster.start()
        findings, counts = asyncio.run(soak_run.run_seed(options, cluster))
        if findings and keep:
            shutil.copytree(
                cluster.folder,
                pathlib.Path(keep) / str(options.seed),
                dirs_exist_ok=True,
            )
    finally:
        cluster.stop()
    line = {**dataclasses.asdict(options), **counts, 'findings': findings}
    print(json.dumps(line), flush=True)
    return not findings


def main() -> int:
    """Run all seeds; the exit status is 1 if a guarantee was violated."""
    arguments = parse_arguments()
    broken = []
    for seed in list_seeds(arguments):
        options = soak_options.SoakOptions(
            seed=seed,
            instances=arguments.instances,
            rate=arguments.rate,
            fault_s=arguments.seconds,
            planned_only=arguments.calm or seed % PLANNED_SEED_DIVISOR == 0,
            calm=arguments.calm,
        )
        if not run_seed(options, arguments.keep):
            broken.append(seed)
    if broken:
        print('seeds with violated guarantees: %s' % broken)
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
