"""Tests of the slot queue."""

import random

import hypothesis
from hypothesis import strategies

from figdrum.admission import slots


def test_rank_goes_first_then_arrival():
    """Guards against starting a request before one of a better rank."""
    queue = slots.SlotQueue(1, 10)
    for name, rank in (('a', 5), ('b', 1), ('c', 5), ('d', 1)):
        queue.offer(0, slots.SlotRequest(name, rank, 99_999), 10)
    order = []
    while request := queue.pop(0):
        order.append(request.name)
        queue.finish(request.name)
    assert order == ['b', 'd', 'a', 'c']


def test_request_that_cannot_start_in_time_is_refused_at_once():
    """Guards against queueing a request that cannot meet its deadline."""
    queue = slots.SlotQueue(1, 10)
    queue.offer(0, slots.SlotRequest('a', 5, 99_999), 100)
    queue.pop(0)
    late = slots.SlotRequest('b', 5, 199)
    assert queue.offer(0, late, 100).outcome is slots.OfferOutcome.TOO_LATE
    in_time = slots.SlotRequest('b', 5, 200)
    assert queue.offer(0, in_time, 100).outcome is slots.OfferOutcome.QUEUED


def test_limited_rate_is_part_of_the_expected_wait():
    """Guards against queueing more than a cold target can start in time."""
    queue = slots.SlotQueue(10, 10)
    for name in range(4):
        queue.offer(0, slots.SlotRequest(name, 5, 99_999), 10, 2)
    late = slots.SlotRequest('late', 5, 1500)
    assert queue.offer(0, late, 10, 2).outcome is slots.OfferOutcome.TOO_LATE


@hypothesis.given(strategies.integers(0, 2**32), strategies.integers(1, 3),
                  strategies.integers(0, 4))
def test_limits_hold_and_no_request_is_lost(seed, count, capacity):
    """Guards against more running requests than slots, and lost requests."""
    rng = random.Random(seed)
    queue = slots.SlotQueue(count, capacity)
    open_names, running, now_ms = set(), [], 0
    for name in range(200):
        now_ms += rng.randrange(40)
        request = slots.SlotRequest(name, rng.randint(1, 9),
                                    now_ms + rng.randrange(10, 400))
        offer = queue.offer(now_ms, request, 20)
        if offer.outcome is slots.OfferOutcome.QUEUED:
            open_names.add(name)
        if offer.displaced:
            open_names.remove(offer.displaced.name)
        open_names -= {late.name for late in queue.pop_expired(now_ms)}
        if running and rng.random() < 0.4:
            done = running.pop()
            queue.finish(done)
            open_names.remove(done)
        while started := queue.pop(now_ms):
            assert started.deadline_at_ms > now_ms
            running.append(started.name)
        assert len(running) == queue.running <= count
        assert queue.running + queue.waiting <= count + capacity
        assert len(open_names) == queue.running + queue.waiting
