"""Tests of the admission controller, load shedding and the retry budget."""

import random

import hypothesis
from hypothesis import strategies

from figdrum.admission import controller
from figdrum.admission import retry_budget
from figdrum.admission import shares
from figdrum.admission import shedding

CAPACITY = controller.Capacity(2, 100, 4, 2, 50)


def make_controller(
    rank: int = 1,
    limits: shares.Limits = shares.Limits()
) -> controller.AdmissionController:
    """Returns a controller of a service's only member.

    Every customer has a contract of `rank` and `limits`, except `stranger`.
    """
    admission = controller.AdmissionController('a', CAPACITY)
    admission.set_terms_lookup(lambda customer: controller.Terms(rank, limits)
                               if customer != 'stranger' else None)
    return admission


def test_customer_without_contract_and_stopped_agent_are_denied():
    """Guards against admission without a contract or while draining."""
    admission = make_controller()
    assert admission.can_admit(0,
                               'c') and not admission.can_admit(0, 'stranger')
    admission.flows_stopped = admission.requests_stopped = True
    assert not admission.can_admit(0, 'c')
    assert admission.offer(0, 1, 'c', 999).denial is controller.Denial.LIMIT


def test_low_ranks_are_shed_first():
    """Guards against a low rank that uses the capacity left to rank 1."""
    admission = {rank: make_controller(rank) for rank in (1, 9)}
    for item in admission.values():
        for _ in range(60):
            item.on_flow_taken_over('c')
    assert admission[1].can_admit(0, 'c') and not admission[9].can_admit(0, 'c')
    assert [shedding.admits(rank, 0.9) for rank in (1, 2, 3)
           ] == [True, True, False]


def test_new_flows_are_limited_by_the_cold_rate():
    """Guards against a burst of flows at a target that has just started."""
    admission = make_controller()
    taken = 0
    for now_ms in range(0, 1000, 10):
        if admission.can_admit(now_ms, 'c'):
            admission.on_flow_admitted(now_ms, 'c')
            taken += 1
    assert taken == CAPACITY.cold_rate


def test_requests_limit_counts_waiting_and_running():
    """Guards against a customer that uses slots and queue beyond its limit."""
    admission = make_controller(limits=shares.Limits(requests=2))
    assert [admission.offer(0, name, 'c', 9999).denial for name in range(3)
           ] == [None, None, controller.Denial.LIMIT]
    assert admission.start_next(0) == controller.StartedRequest(0)
    admission.on_request_finished(5, 0, True, 5)
    assert admission.offer(5, 3, 'c', 9999).denial is None


def test_requests_have_priority_over_background_polling():
    """Guards against the agent's polling that uses up the queue places or the
    customer's limit for requests."""
    admission = make_controller(rank=5, limits=shares.Limits(requests=1))
    taken = [
        admission.offer(0, f'poll {i}', 'c', 9999, background=True).denial
        for i in range(6)
    ]
    assert taken == [None] * 4 + [controller.Denial.SHED] * 2
    assert admission.offer(0, 'request', 'c', 9999).denial is None
    assert admission.start_next(0) == controller.StartedRequest('request')


@hypothesis.given(strategies.integers(0, 2**32))
def test_counts_return_to_zero(seed):
    """Guards against leaked counts that deny a customer's requests for ever."""
    rng = random.Random(seed)
    admission = make_controller(limits=shares.Limits(5, 1000, 4))
    now_ms, running = 0, []
    for name in range(100):
        now_ms += rng.randrange(300)
        admission.offer(now_ms, name, 'c', now_ms + rng.randrange(2000))
        admission.pop_expired(now_ms)
        if rng.random() < 0.2:
            admission.on_request_cancelled(rng.randrange(100))
        while start := admission.start_next(now_ms):
            running.append(start.name)
        if running and rng.random() < 0.7:
            admission.on_request_finished(now_ms, running.pop(),
                                          rng.random() < 0.8, 20)
    for name in running:
        admission.on_request_finished(now_ms, name, True, 20)
    admission.pop_expired(now_ms + 10_000)
    assert admission.slots.running == admission.slots.waiting == 0
    assert all(
        admission.offer(now_ms, 1000 + i, 'c', now_ms + 90_000).denial is None
        for i in range(2))


@hypothesis.given(strategies.integers(0, 2**32))
def test_retries_stay_within_a_tenth_of_the_requests(seed):
    """Guards against retries that overload a failing target."""
    rng = random.Random(seed)
    budget = retry_budget.RetryBudget()
    requests, retries, now_ms = [], [], 0
    for _ in range(300):
        now_ms += rng.randrange(200)
        budget.record_request(now_ms)
        requests.append(now_ms)
        if budget.try_retry(now_ms):
            retries.append(now_ms)
            recent_requests = [at for at in requests if at > now_ms - 10_000]
            recent_retries = [at for at in retries if at > now_ms - 10_000]
            assert len(recent_retries) * 10 <= len(recent_requests)
