"""Times at which a target that breaks off requests gets new flows."""

from figdrum.flows import failure_breaker


def test_hold_doubles_with_each_failed_trial_up_to_its_limit():
    breaker = failure_breaker.FailureBreaker()
    now_ms = 0
    holds = []
    for _ in range(5):
        breaker.record_failure(now_ms)
        failed_ms = now_ms
        while not breaker.try_admit(now_ms, True):
            now_ms += 10
        holds.append(now_ms - failed_ms)
    assert holds == [250, 500, 1_000, 2_000, 2_000]


def test_failures_of_requests_in_progress_do_not_extend_the_hold():
    breaker = failure_breaker.FailureBreaker()
    for now_ms in (0, 10, 20):
        breaker.record_failure(now_ms)
    assert not breaker.is_open(failure_breaker.INITIAL_HOLD_MS)


def test_request_that_cannot_be_repeated_is_the_last_choice_for_a_trial():
    breaker = failure_breaker.FailureBreaker()
    breaker.record_failure(0)
    trial_ms = failure_breaker.INITIAL_HOLD_MS
    assert not breaker.try_admit(trial_ms, False)
    # A service may have no other requests.
    assert breaker.try_admit(trial_ms + failure_breaker.ANY_REQUEST_TRIAL_MS,
                             False)


def test_trial_without_a_result_is_followed_by_another():
    breaker = failure_breaker.FailureBreaker()
    breaker.record_failure(0)
    assert breaker.try_admit(300, True)
    assert not breaker.try_admit(599, True)
    assert breaker.try_admit(600, True)
