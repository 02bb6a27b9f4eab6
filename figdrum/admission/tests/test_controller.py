"""Tests of the admission controller and its simple rules."""

import random

import hypothesis
from hypothesis import strategies

from figdrum.admission import controller
from figdrum.admission import retry_budget
from figdrum.admission import shares
from figdrum.admission import shedding

CAPACITY = controller.Capacity(2, 100, 4, 2, 50)


def make(
    rank: int = 1,
    limits: shares.Limits = shares.Limits()
) -> controller.AdmissionController:
    """Returns a controller of one member with one kind of contract."""
    made = controller.AdmissionController('a', CAPACITY)
    made.set_terms_lookup(lambda customer: controller.Terms(rank, limits)
                          if customer != 'stranger' else None)
    return made


def test_customer_without_contract_and_stopped_agent_are_denied():
    """Guards against work without a contract and after a drain began."""
    made = make()
    assert made.can_admit(0, 'c') and not made.can_admit(0, 'stranger')
    made.flows_stopped = made.requests_stopped = True
    assert not made.can_admit(0, 'c')
    assert made.offer(0, 1, 'c', 999).denial is controller.Denial.LIMIT


def test_low_ranks_stop_earlier():
    """Guards against a last rank that takes the room of the first."""
    made = {rank: make(rank) for rank in (1, 9)}
    for item in made.values():
        for _ in range(60):
            item.on_flow_taken_over('c')
    assert made[1].can_admit(0, 'c') and not made[9].can_admit(0, 'c')
    assert [shedding.admits(rank, 0.9) for rank in (1, 2, 3)
           ] == [True, True, False]


def test_new_flows_are_bound_by_the_cold_rate():
    """Guards against a rush of flows at a target that has just started."""
    made = make()
    taken = 0
    for now_ms in range(0, 1000, 10):
        if made.can_admit(now_ms, 'c'):
            made.on_flow_admitted(now_ms, 'c')
            taken += 1
    assert taken == CAPACITY.cold_rate


def test_requests_limit_counts_waiting_and_running():
    """Guards against a customer that fills slots and queue past its limit."""
    made = make(limits=shares.Limits(requests=2))
    assert [made.offer(0, name, 'c', 9999).denial for name in range(3)
           ] == [None, None, controller.Denial.LIMIT]
    assert made.start_next(0) == controller.Start(0)
    made.on_request_finished(5, 0, True, 5)
    assert made.offer(5, 3, 'c', 9999).denial is None


def test_background_polling_gives_way_to_requests():
    """Guards against feeds that take the place or the limit of requests."""
    made = make(rank=5, limits=shares.Limits(requests=1))
    taken = [
        made.offer(0, f'poll {i}', 'c', 9999, background=True).denial
        for i in range(6)
    ]
    assert taken == [None] * 4 + [controller.Denial.SHED] * 2
    assert made.offer(0, 'request', 'c', 9999).denial is None
    assert made.start_next(0) == controller.Start('request')


@hypothesis.given(strategies.integers(0, 2**32))
def test_counters_return_to_zero(seed):
    """Guards against a leak that refuses a customer for ever."""
    rng = random.Random(seed)
    made = make(limits=shares.Limits(5, 1000, 4))
    now_ms, running = 0, []
    for name in range(100):
        now_ms += rng.randrange(300)
        made.offer(now_ms, name, 'c', now_ms + rng.randrange(2000))
        made.pop_expired(now_ms)
        if rng.random() < 0.2:
            made.on_request_cancelled(rng.randrange(100))
        while start := made.start_next(now_ms):
            running.append(start.name)
        if running and rng.random() < 0.7:
            made.on_request_finished(now_ms, running.pop(),
                                     rng.random() < 0.8, 20)
    for name in running:
        made.on_request_finished(now_ms, name, True, 20)
    made.pop_expired(now_ms + 10_000)
    assert made.slots.running == made.slots.waiting == 0
    assert all(
        made.offer(now_ms, 1000 + i, 'c', now_ms + 90_000).denial is None
        for i in range(2))


@hypothesis.given(strategies.integers(0, 2**32))
def test_retries_stay_within_a_tenth(seed):
    """Guards against retries that multiply load on a failing target."""
    rng = random.Random(seed)
    budget = retry_budget.RetryBudget()
    requests, retries, now_ms = [], [], 0
    for _ in range(300):
        now_ms += rng.randrange(200)
        budget.request(now_ms)
        requests.append(now_ms)
        if budget.try_retry(now_ms):
            retries.append(now_ms)
            recent = [at for at in requests if at > now_ms - 10_000]
            again = [at for at in retries if at > now_ms - 10_000]
            assert len(again) * 10 <= len(recent)
