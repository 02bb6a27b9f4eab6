"""Tests of the warm-up rate."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from figdrum.admission import warmup

WARM_MS = 20


def make_warm(rate: float = 16) -> warmup.Warmup:
    """Returns a warm-up at its full rate with a median latency of `WARM_MS`."""
    limiter = warmup.Warmup(2, rate)
    for _ in range(200):
        limiter.record_completion(0, True, WARM_MS)
    assert not limiter.is_cold
    return limiter


@hypothesis.given(strategies.integers(0, 2**32), strategies.integers(1, 5),
                  strategies.booleans())
def test_no_second_sees_more_starts_than_the_rate_allowed(
        seed, cold_rate, failing):
    """Guards against a burst that overloads a target that has just started."""
    rng = random.Random(seed)
    limiter = warmup.Warmup(cold_rate, 40)
    starts, rates, now_ms = [], [], 0
    for _ in range(400):
        now_ms += rng.choice((0, 1, 7, 120, 900))
        if limiter.try_start(now_ms):
            starts.append(now_ms)
            rates.append(limiter.rate)
            limiter.record_completion(now_ms, not failing and
                                      rng.random() < 0.9, 10)
        first = next(
            i for i, at in enumerate(starts) if at > now_ms -
            1000) if starts and starts[-1] > now_ms - 1000 else len(starts)
        if first < len(starts):
            assert len(starts) - first <= int(max(rates[first:]))
    if failing:
        assert limiter.rate == cold_rate


def test_growth_follows_completions_and_not_time():
    """Guards against a rate that grows although no request completes."""
    limiter = warmup.Warmup(2, 100)
    for now_ms in range(0, 60_000, 100):
        limiter.try_start(now_ms)
    assert limiter.rate == 2
    limiter.record_completion(60_000, True, WARM_MS)
    limiter.record_completion(60_000, True, WARM_MS)
    assert limiter.rate == 3


@pytest.mark.parametrize('ok,latency_ms', [(True, 50 * WARM_MS), (False, 3)])
def test_single_bad_response_does_not_reset_the_rate(ok, latency_ms):
    """Guards against a reset to the cold rate by one slow or failed response.
    """
    limiter = make_warm()
    limiter.record_completion(1, ok, latency_ms)
    for _ in range(20):
        limiter.record_completion(2, True, WARM_MS)
    assert not limiter.is_cold and limiter.cold_resets == 0


@pytest.mark.parametrize('ok,latency_ms', [(True, 4 * WARM_MS),
                                           (False, WARM_MS)])
def test_prevailing_bad_responses_reset_to_the_cold_rate(ok, latency_ms):
    """Guards against full load on a target that turned cold without notice."""
    limiter = make_warm()
    for _ in range(warmup.COMPLETIONS_WINDOW):
        limiter.record_completion(1, ok, latency_ms)
    assert limiter.rate == 2 and limiter.cold_resets == 1


def test_cold_health_or_a_new_process_resets_to_the_cold_rate():
    """Guards against the full rate for a target whose process was replaced or
    reports that it is cold."""
    limiter = make_warm()
    limiter.on_health(1, 'ok')
    limiter.on_incarnation(1, 'a')
    limiter.on_incarnation(2, 'a')
    assert not limiter.is_cold
    limiter.on_incarnation(3, 'b')
    assert limiter.rate == 2
    limiter = make_warm()
    limiter.on_health(1, 'cold')
    assert limiter.rate == 2


def test_health_that_stays_cold_does_not_stop_the_growth():
    """Guards against a deadlock between target and agent.

    The target reports `cold` until it gets load, and the agent would not
    increase the load until the target reports another health.
    """
    limiter = warmup.Warmup(2, 16)
    for now_ms in range(200):
        limiter.on_health(now_ms, 'cold')
        limiter.record_completion(now_ms, True, WARM_MS)
    assert not limiter.is_cold


def test_good_health_alone_does_not_raise_the_rate():
    """Guards against a rate that grows by reported health only."""
    limiter = warmup.Warmup(2, 100)
    for now_ms in range(1000):
        limiter.on_health(now_ms, 'ok')
    assert limiter.rate == 2


def test_a_target_with_a_new_normal_latency_warms_again():
    """Guards against a permanently cold rate after latency has increased."""
    limiter = make_warm()
    for _ in range(warmup.COMPLETIONS_WINDOW):
        limiter.record_completion(1, True, 10 * WARM_MS)
    for now_ms in range(0, warmup.MEDIAN_LIFETIME_MS * 2, 500):
        limiter.record_completion(now_ms, True, 10 * WARM_MS)
    assert not limiter.is_cold
