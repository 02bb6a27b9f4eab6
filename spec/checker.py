"""Checks specifications and their variants with one rule removed.

Explanation
===========

The full specification must hold over its whole state space, and each variant
without one rule must have a counterexample, which shows that the properties
depend on the rule. An unfinished search counts as a failure, unless it has
already found the expected counterexample.
"""

import typing

import minicheck

MAX_STATES = 4_000_000
# Limits of successive searches for a counterexample, since the checker does not
# stop at the first one.
_SEARCH_STEPS = (5_000, 50_000, 500_000, MAX_STATES)


class Case(typing.NamedTuple):
    """One specification, or a variant of it without one rule.

    Attributes:
      name: Name of the specification.
      removed: Name of the removed rule, or '' for the full specification.
      protocol: The state machine.
    """
    name: str
    removed: str
    protocol: minicheck.Protocol


class Outcome(typing.NamedTuple):
    """Result of checking one case.

    Attributes:
      case: The case that was checked.
      holds: True, False, or None if the search did not finish.
      states: Number of states explored.
      trace: Labels of the transitions of the shortest counterexample.
    """
    case: Case
    holds: bool | None
    states: int
    trace: tuple[str, ...]

    @property
    def is_expected(self) -> bool:
        """True if the full specification held or the variant failed."""
        return self.holds is (not self.case.removed)


def check(case: Case) -> Outcome:
    """Searches the state space of one case."""
    steps = _SEARCH_STEPS if case.removed else (MAX_STATES,)
    for limit in steps:
        result = minicheck.check_safety(case.protocol, max_states=limit)
        failed = [
            prop['counterexample']
            for prop in result['properties'].values()
            if prop['holds'] is False
        ]
        states = result['reachable_states']
        if failed:
            shortest = min(failed, key=len)
            labels = tuple(step['label'] or 'start' for step in shortest)
            return Outcome(case, False, states, labels)
        if result['exhaustive']:
            return Outcome(case, True, states, ())
    return Outcome(case, None, states, ())
