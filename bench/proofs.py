"""Prints the proofs of each requirement and their verdicts (`make proofs`).

Explanation
===========

Every requirement of docs/design.md section 2 has one line per proof: feature,
model, trace and randomised run, with the command that repeats it and `held`,
`not held` or `not proved`. A proof whose command is missing or times out is
listed as `not proved`. The exit status is 1 if a requirement is not held.
"""

import importlib.util
import subprocess
import sys
import typing

from bench import random_faults

FEATURES = {
    'P1': 'p01_flows_survive',
    'P2': 'p02_right_service',
    'P3': 'p03_cold_target',
    'P4': 'p04_zone_out',
    'P5': 'p05_own_answer',
    'P6': 'p06_true_refusals',
    'P7': 'p07_at_most_once',
    'P8': 'p08_leaving_target',
    'P9': 'p09_graceful_stop',
    'P10': 'p10_changes_in_force',
}
# Requirements whose decision code is checked by a model; see `spec`.
MODELLED = ('P1', 'P6', 'P7', 'P10')
TRACED = ('P1', 'P4')
RANDOM = ('P1', 'P2', 'P3', 'P4', 'P6', 'P7', 'P8', 'P9')
HELD, NOT_HELD, NOT_PROVED = 'held', 'not held', 'not proved'
COMMAND_TIMEOUT_S = 900


class Row(typing.NamedTuple):
    """One proof of one requirement."""
    requirement: str
    proof: str
    command: str
    verdict: str


def _run_module(*args: str) -> str:
    """Runs a module and returns the verdict given by its exit status."""
    try:
        # The arguments are constants of this module.
        done = subprocess.run([sys.executable, '-m', *args],
                              check=False,
                              timeout=COMMAND_TIMEOUT_S,
                              stdout=subprocess.DEVNULL,
                              stderr=subprocess.DEVNULL)
    except subprocess.TimeoutExpired:
        return NOT_PROVED
    return HELD if done.returncode == 0 else NOT_HELD


def _check_models() -> str:
    if importlib.util.find_spec('spec.__main__') is None:
        return NOT_PROVED
    return _run_module('spec')


def random_verdicts(results: list[random_faults.Result]) -> dict[str, str]:
    """Returns the verdict of the randomised run on each requirement."""
    broken = {
        violation.partition(' ')[0]
        for result in results
        for violation in result.violations
    }
    return {
        requirement: NOT_HELD if requirement in broken else HELD
        for requirement in (*RANDOM, 'answered')
    }


def collect_proofs(results: list[random_faults.Result]) -> list[Row]:
    """Returns all proofs; runs the features, the models and the traces."""
    model = _check_models()
    traces = _run_module('pytest', 'bench/tests/test_traces.py')
    random_run_verdicts = random_verdicts(results)
    found = []
    for requirement, feature in FEATURES.items():
        path = f'features/{feature}.feature'
        found.append(
            Row(requirement, 'feature', f'python -m behave {path}',
                _run_module('behave', path)))
        if requirement in MODELLED:
            found.append(Row(requirement, 'model', 'make spec', model))
        if requirement in TRACED:
            found.append(
                Row(requirement, 'trace',
                    'python -m pytest bench/tests/test_traces.py', traces))
        if requirement in RANDOM:
            found.append(
                Row(requirement, 'random', 'python -m bench.random_faults',
                    random_run_verdicts[requirement]))
    found.append(
        Row('all', 'requests answered or refused',
            'python -m bench.random_faults', random_run_verdicts['answered']))
    return found


def main() -> int:
    """Prints the proofs; returns 1 if something is not held."""
    results = random_faults.run_seeds(range(random_faults.SEED_COUNT))
    found = collect_proofs(results)
    for row in found:
        print(f'{row.requirement:4} {row.proof:28} {row.command:48} '
              f'{row.verdict}')
    failed = [result for result in results if result.violations]
    for result in failed:
        print(f'seed {result.seed} ({", ".join(result.faults)}): '
              f'{result.violations[0]}')
    print(f'{len(results)} seeds, {len(failed)} failed')
    return int(any(row.verdict == NOT_HELD for row in found))


if __name__ == '__main__':
    sys.exit(main())
