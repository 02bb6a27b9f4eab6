"""Tests of the shares of customer limits while members join and leave."""

import random

import hypothesis
from hypothesis import strategies

from figdrum.admission import shares

NAMES = strategies.sets(strategies.text('abcdefgh', min_size=1, max_size=3),
                        min_size=2,
                        max_size=9)
LIMIT = strategies.integers(0, 200)


@hypothesis.given(LIMIT, NAMES)
def test_shares_add_up_to_the_limit(limit, names):
    """Guards against rounding that gives a customer more than its limit."""
    assert sum(
        shares.member_share(limit, names, name) for name in names) == limit


@hypothesis.given(LIMIT, NAMES)
def test_leaving_member_lowers_no_share_of_the_others(limit, names):
    """Guards against members above their share after another one has left."""
    rest = names - {max(names)}
    for name in rest:
        assert shares.member_share(limit, rest, name) >= shares.member_share(
            limit, names, name)


@hypothesis.given(LIMIT, NAMES, strategies.integers(0, 2**32))
def test_excess_after_a_leave_is_the_leaving_members_share(limit, names, seed):
    """Guards against a total above limit + ceil(limit / n) after a leave.

    Members learn of the leave one by one and hold as many flows as their share
    at that time allows; the leaving member keeps its flows.
    """
    rng = random.Random(seed)
    leaving = rng.choice(sorted(names))
    known = {name: names for name in names}
    held = {name: shares.member_share(limit, names, name) for name in names}
    uninformed = sorted(names - {leaving})
    rng.shuffle(uninformed)
    while uninformed:
        known[uninformed.pop()] = names - {leaving}
        for name in names - {leaving}:
            held[name] = max(held[name],
                             shares.member_share(limit, known[name], name))
        assert sum(held.values()) <= limit + -(-limit // len(names))


@hypothesis.given(LIMIT, NAMES, strategies.integers(0, 2**32))
def test_excess_after_a_join_is_the_joining_members_share(limit, names, seed):
    """Guards against a total above limit + ceil(limit / n) after a join."""
    rng = random.Random(seed)
    joining = rng.choice(sorted(names))
    before = names - {joining}
    total = sum(shares.member_share(limit, before, name) for name in before)
    total += shares.member_share(limit, names, joining)
    assert total <= limit + -(-limit // len(names))


@hypothesis.given(strategies.integers(1, 50), strategies.integers(0, 2**32))
def test_limiter_keeps_the_rate_with_one_second_of_burst(rate, seed):
    """Guards against more events than the rate when calls are irregular."""
    rng = random.Random(seed)
    limiter = shares.RateLimiter(0, rate)
    taken, now_ms = 0, 0
    for _ in range(500):
        now_ms += rng.choice((0, 1, 5, 300))
        taken += limiter.take(now_ms)
        assert taken <= rate + rate * now_ms / 1000 + 1e-6
