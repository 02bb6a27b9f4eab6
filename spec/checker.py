"""Runs specifications and their variants with one rule removed.

Explanation
===========

Every property is checked twice: the full specification must hold over its
whole state space, and each variant without one rule must have a
counterexample. An unfinished search counts as a failure, unless it already
found the counterexample that was expected.
"""

import typing

import minicheck

MAX_STATES = 4_000_000
# A counterexample is searched for in steps, since the checker does not stop
# at the first one.
_SEARCH_STEPS = (5_000, 50_000, 500_000, MAX_STATES)


class Case(typing.NamedTuple):
    """One specification or variant.

    Attributes:
      name: Name of the specification.
      removed: The rule left out, or '' for the full specification.
      protocol: The state machine.
    """
    name: str
    removed: str
    protocol: minicheck.Protocol


class Outcome(typing.NamedTuple):
    """What the checker found.

    Attributes:
      case: The case.
      holds: True, False, or None when the search did not finish.
      states: States explored.
      trace: Labels of the shortest counterexample.
    """
    case: Case
    holds: bool | None
    states: int
    trace: tuple[str, ...]

    @property
    def is_expected(self) -> bool:
        """Whether the full specification held, or the variant failed."""
        return self.holds is (not self.case.removed)


def check(case: Case) -> Outcome:
    """Checks one case."""
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
