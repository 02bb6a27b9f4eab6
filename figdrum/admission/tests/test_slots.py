"""Tests of the slot queue."""

import random

import hypothesis
from hypothesis import strategies

from figdrum.admission import slots


def test_rank_goes_first_then_arrival():
    """Guards against a low rank that is served before a high one."""
    queue = slots.SlotQueue(1, 10)
    for name, rank in (('a', 5), ('b', 1), ('c', 5), ('d', 1)):
        queue.offer(0, slots.Ticket(name, rank, 99_999), 10)
    order = []
    while ticket := queue.pop(0):
        order.append(ticket.name)
        queue.finish(ticket.name)
    assert order == ['b', 'd', 'a', 'c']


def test_request_that_cannot_start_in_time_is_refused_at_once():
    """Guards against a request that waits in vain until its deadline."""
    queue = slots.SlotQueue(1, 10)
    queue.offer(0, slots.Ticket('a', 5, 99_999), 100)
    queue.pop(0)
    late = slots.Ticket('b', 5, 199)
    assert queue.offer(0, late, 100).verdict is slots.Verdict.TOO_LATE
    in_time = slots.Ticket('b', 5, 200)
    assert queue.offer(0, in_time, 100).verdict is slots.Verdict.QUEUED


def test_cold_rate_counts_into_the_wait():
    """Guards against a queue that a cold target cannot work off in time."""
    queue = slots.SlotQueue(10, 10)
    for name in range(4):
        queue.offer(0, slots.Ticket(name, 5, 99_999), 10, 2)
    late = slots.Ticket('late', 5, 1500)
    assert queue.offer(0, late, 10, 2).verdict is slots.Verdict.TOO_LATE


@hypothesis.given(strategies.integers(0, 2**32), strategies.integers(1, 3),
                  strategies.integers(0, 4))
def test_bounds_hold_and_no_request_is_forgotten(seed, count, capacity):
    """Guards against more requests at once than slots, and lost requests."""
    rng = random.Random(seed)
    queue = slots.SlotQueue(count, capacity)
    open_names, running, now_ms = set(), [], 0
    for name in range(200):
        now_ms += rng.randrange(40)
        ticket = slots.Ticket(name, rng.randint(1, 9),
                              now_ms + rng.randrange(10, 400))
        offer = queue.offer(now_ms, ticket, 20)
        if offer.verdict is slots.Verdict.QUEUED:
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
