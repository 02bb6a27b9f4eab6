"""Tests of customer limits and their overshoot while members change."""

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
    assert sum(shares.share(limit, names, name) for name in names) == limit


@hypothesis.given(LIMIT, NAMES)
def test_a_leave_lowers_no_share_of_the_others(limit, names):
    """Guards against flows above their member's share after a leave."""
    rest = names - {max(names)}
    for name in rest:
        assert shares.share(limit, rest,
                            name) >= shares.share(limit, names, name)


@hypothesis.given(LIMIT, NAMES, strategies.integers(0, 2**32))
def test_overshoot_of_a_leave_is_the_leavers_share(limit, names, seed):
    """Guards against an overshoot above limit / n while members change.

    Members learn of the leave one by one and take flows up to their share at
    any moment; the leaver keeps its flows.
    """
    rng = random.Random(seed)
    leaver = rng.choice(sorted(names))
    known = {name: names for name in names}
    held = {name: shares.share(limit, names, name) for name in names}
    uninformed = sorted(names - {leaver})
    rng.shuffle(uninformed)
    while uninformed:
        known[uninformed.pop()] = names - {leaver}
        for name in names - {leaver}:
            held[name] = max(held[name], shares.share(limit, known[name], name))
        assert sum(held.values()) <= limit + -(-limit // len(names))


@hypothesis.given(LIMIT, NAMES, strategies.integers(0, 2**32))
def test_overshoot_of_a_join_is_the_newcomers_share(limit, names, seed):
    """Guards against an overshoot that is above the newcomer's share."""
    rng = random.Random(seed)
    joiner = rng.choice(sorted(names))
    before = names - {joiner}
    total = sum(shares.share(limit, before, name) for name in before)
    total += shares.share(limit, names, joiner)
    assert total <= limit + -(-limit // len(names))


@hypothesis.given(strategies.integers(1, 50), strategies.integers(0, 2**32))
def test_bucket_keeps_the_rate_with_one_second_of_burst(rate, seed):
    """Guards against a bucket that leaks tokens under irregular calls."""
    rng = random.Random(seed)
    bucket = shares.TokenBucket(0, rate)
    taken, now_ms = 0, 0
    for _ in range(500):
        now_ms += rng.choice((0, 1, 5, 300))
        taken += bucket.take(now_ms)
        assert taken <= rate + rate * now_ms / 1000 + 1e-6
