"""Checks every specification and every variant; see `spec.checker`."""

import argparse
import multiprocessing
import os
import sys
import time

from spec import checker
from spec import claims
from spec import flow_owners
from spec import ownership
from spec import versions

MAX_WORKERS = 8


def _all_cases() -> list[checker.Case]:
    return (ownership.cases() + claims.cases() + versions.cases() +
            flow_owners.cases())


def _check(index: int) -> tuple[int, checker.Outcome, float]:
    started = time.monotonic()
    outcome = checker.check(_all_cases()[index])
    # The protocol has functions, which cannot be sent to another process.
    return index, outcome._replace(case=outcome.case._replace(
        protocol=None)), time.monotonic() - started


def main() -> int:
    """Prints a line per case; returns 0 if all verdicts are as expected."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only',
                        default='',
                        help='check only cases whose name contains this text')
    parser.add_argument('--trace',
                        action='store_true',
                        help='print the shortest counterexamples')
    args = parser.parse_args()
    chosen = [
        index for index, case in enumerate(_all_cases())
        if args.only in case.name
    ]
    failed = 0
    workers = min(MAX_WORKERS, os.cpu_count() or 1)
    with multiprocessing.Pool(workers, maxtasksperchild=1) as pool:
        for _, outcome, seconds in pool.imap_unordered(_check, chosen):
            failed += not outcome.is_expected
            _print(outcome, seconds, args.trace)
    print(f'{len(chosen) - failed} passed, {failed} failed')
    return 1 if failed else 0


def _print(outcome: checker.Outcome, seconds: float, trace: bool) -> None:
    verdict = {True: 'holds', False: 'fails', None: 'unfinished'}[outcome.holds]
    what = (f'without {outcome.case.removed}'
            if outcome.case.removed else 'all rules')
    mark = 'ok ' if outcome.is_expected else 'BAD'
    print(
        f'{mark} {outcome.case.name:44} {what:30} {verdict:10} '
        f'{outcome.states:>8} states {seconds:6.1f} s',
        flush=True)
    if outcome.trace and (trace or not outcome.is_expected):
        for label in outcome.trace:
            print(f'      {label}')


if __name__ == '__main__':
    sys.exit(main())
