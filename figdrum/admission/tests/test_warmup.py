"""Tests of the warm-up rate."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from figdrum.admission import warmup

WARM_MS = 20


def make_warm(rate: float = 16) -> warmup.Warmup:
    """Returns a warm-up at its full rate with a known median."""
    limiter = warmup.Warmup(2, rate)
    for _ in range(200):
        limiter.record_completion(0, True, WARM_MS)
    assert not limiter.cold
    return limiter


@hypothesis.given(strategies.integers(0, 2**32), strategies.integers(1, 5),
                  strategies.booleans())
def test_no_second_sees_more_starts_than_the_rate_allowed(seed, cold, failing):
    """Guards against a burst that overloads a target that has just started."""
    rng = random.Random(seed)
    limiter = warmup.Warmup(cold, 40)
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
        assert limiter.rate == cold


def test_growth_follows_completions_and_not_time():
    """Guards against a rate that grows for a target that answers nothing."""
    limiter = warmup.Warmup(2, 100)
    for now_ms in range(0, 60_000, 100):
        limiter.try_start(now_ms)
    assert limiter.rate == 2
    limiter.record_completion(60_000, True, WARM_MS)
    limiter.record_completion(60_000, True, WARM_MS)
    assert limiter.rate == 3


@pytest.mark.parametrize('ok,latency_ms', [(True, 50 * WARM_MS), (False, 3)])
def test_one_bad_answer_does_not_collapse_the_rate(ok, latency_ms):
    """Guards against a single slow or failed answer that empties a target."""
    limiter = make_warm()
    limiter.record_completion(1, ok, latency_ms)
    for _ in range(20):
        limiter.record_completion(2, True, WARM_MS)
    assert not limiter.cold and limiter.cold_resets == 0


@pytest.mark.parametrize('ok,latency_ms', [(True, 4 * WARM_MS),
                                           (False, WARM_MS)])
def test_prevailing_bad_answers_fall_back_to_cold(ok, latency_ms):
    """Guards against full load on a target that turned cold unannounced."""
    limiter = make_warm()
    for _ in range(warmup.RECENT):
        limiter.record_completion(1, ok, latency_ms)
    assert limiter.rate == 2 and limiter.cold_resets == 1


def test_health_and_a_new_process_fall_back_to_cold():
    """Guards against trusting the warmth of a process that is gone."""
    limiter = make_warm()
    limiter.on_health(1, 'ok')
    limiter.on_incarnation(1, 'a')
    limiter.on_incarnation(2, 'a')
    assert not limiter.cold
    limiter.on_incarnation(3, 'b')
    assert limiter.rate == 2
    limiter = make_warm()
    limiter.on_health(1, 'cold')
    assert limiter.rate == 2


def test_health_that_stays_cold_does_not_stop_the_growth():
    """Guards against a target that waits for load while the agent waits."""
    limiter = warmup.Warmup(2, 16)
    for now_ms in range(200):
        limiter.on_health(now_ms, 'cold')
        limiter.record_completion(now_ms, True, WARM_MS)
    assert not limiter.cold


def test_good_health_alone_never_warms():
    """Guards against a health endpoint that misleads."""
    limiter = warmup.Warmup(2, 100)
    for now_ms in range(1000):
        limiter.on_health(now_ms, 'ok')
    assert limiter.rate == 2


def test_a_target_with_a_new_normal_latency_warms_again():
    """Guards against a target that stays cold for ever after it slowed."""
    limiter = make_warm()
    for _ in range(warmup.RECENT):
        limiter.record_completion(1, True, 10 * WARM_MS)
    for now_ms in range(0, warmup.MEDIAN_LIFETIME_MS * 2, 500):
        limiter.record_completion(now_ms, True, 10 * WARM_MS)
    assert not limiter.cold
