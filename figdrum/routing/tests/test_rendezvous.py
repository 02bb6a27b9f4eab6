"""Tests of the rendezvous order."""

import collections

import hypothesis
from hypothesis import strategies

from figdrum.routing import rendezvous

NAMES = strategies.sets(strategies.text(min_size=1, max_size=8),
                        min_size=2,
                        max_size=12)


@hypothesis.given(strategies.binary(max_size=40), NAMES)
def test_leaving_member_does_not_change_the_order_of_the_others(key, names):
    """Guards against a leaving member that changes the others' order."""
    full = rendezvous.order(key, names)
    leaving = full[len(full) // 2]
    rest = rendezvous.order(key, names - {leaving})
    assert rest == [name for name in full if name != leaving]


def test_first_members_are_evenly_distributed():
    """Guards against a hash that prefers some member names."""
    names = [f'fieldbook-{i}' for i in range(7)]
    firsts = collections.Counter(
        rendezvous.order(f'flow {i}'.encode(), names)[0] for i in range(7000))
    # Binomial: mean 1000, standard deviation 29.3; 5 deviations either way.
    assert all(850 < firsts[name] < 1150 for name in names)
