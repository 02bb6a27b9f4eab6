"""Runs seeds of the soak: `python -m standins.soak --seeds 1-50,70`.

Each seed runs in its own process. Prints one line per seed and exits with 1 if
a guarantee was violated.
"""

import argparse
import concurrent.futures
import os
import pathlib
import subprocess
import sys
import tempfile

from standins.soak import program
from standins.soak import run


def _parse_seeds(text: str) -> list[int]:
    seeds: list[int] = []
    for part in text.split(','):
        first, _, last = part.partition('-')
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def _run_seed_process(seed: int,
                      args: argparse.Namespace) -> tuple[int, str, bool]:
    network = 20 + (os.getpid() * 7 + seed) % 200
    command = [
        sys.executable, '-m', 'standins.soak', '--one',
        str(seed), '--network',
        str(network), '--targets',
        str(args.targets), '--balancers',
        str(args.balancers), '--faults',
        str(args.faults), '--store-faults',
        str(args.store_faults), '--extra-faults',
        str(args.extra_faults), '--logs', args.logs, '--without', args.without,
        '--app', args.app, '--unreadable',
        str(args.unreadable)
    ]
    if args.judge_time:
        command.append('--judge-time')
    done = subprocess.run(command,
                          capture_output=True,
                          text=True,
                          check=False,
                          timeout=run.SEED_TIMEOUT_S)
    return seed, done.stdout + done.stderr, done.returncode == 0


def main() -> int:
    """Returns the exit code: 0 if no guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-3')
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('--targets', type=int, default=6)
    parser.add_argument('--balancers', type=int, default=3)
    parser.add_argument('--faults', type=int, default=8)
    parser.add_argument('--store-faults',
                        type=int,
                        default=0,
                        help='store faults between changes, in addition')
    parser.add_argument('--extra-faults',
                        type=int,
                        default=0,
                        help='faults of extra_faults.py, in addition; with any '
                        'of them, routes state classes')
    parser.add_argument('--judge-time',
                        action='store_true',
                        help='urgent requests have to be answered within their '
                        'latency target; for a machine without other work')
    parser.add_argument('--logs', default='')
    parser.add_argument('--without',
                        default='',
                        choices=['', *program.MECHANISMS],
                        help='mechanism that is switched off, for a trial')
    parser.add_argument(
        '--app',
        default='',
        help='folder target/app of a build, which runs in place '
        'of the sources')
    parser.add_argument(
        '--unreadable',
        type=int,
        default=0,
        help='heartbeats, and entries in the store, that cannot '
        'be decoded')
    parser.add_argument('--one', type=int)
    parser.add_argument('--network', type=int, default=20)
    args = parser.parse_args()
    if args.app and args.without:
        parser.error('only the sources run with a mechanism off')
    if args.one is not None:
        directory = pathlib.Path(args.logs or tempfile.mkdtemp())
        directory = directory / f'seed-{args.one}'
        directory.mkdir(parents=True, exist_ok=True)
        return run.run_seed(args.one,
                            args.network,
                            directory,
                            args.balancers,
                            args.targets,
                            args.faults,
                            args.store_faults,
                            extra_fault_count=args.extra_faults,
                            judges_time=args.judge_time,
                            disabled_mechanism=args.without,
                            app=args.app,
                            unreadable_count=args.unreadable)
    failed = []
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        jobs = [
            pool.submit(_run_seed_process, seed, args)
            for seed in _parse_seeds(args.seeds)
        ]
        for job in concurrent.futures.as_completed(jobs):
            seed, text, is_good = job.result()
            print(text, end='', flush=True)
            if not is_good:
                failed.append(seed)
    print(f'{len(jobs) - len(failed)} passed, {len(failed)} failed')
    if failed:
        print(f'failed seeds: {sorted(failed)}')
    return bool(failed)


if __name__ == '__main__':
    sys.exit(main())
