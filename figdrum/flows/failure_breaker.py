"""Stops new flows to a target that breaks off requests without an answer.

Explanation
===========

Such a target accepts flows and has never a request in progress for long, so it
would seem to be the least loaded one. After a failure it gets no new flows for
some time, and then a single one on trial. The trial should be a request that
the client can repeat.

Examples
========

>>> breaker = FailureBreaker()
>>> breaker.record_failure(0)
True
>>> breaker.is_open(100), breaker.is_open(250)
(True, False)
>>> breaker.try_admit(250, True), breaker.try_admit(260, True)
(True, False)
>>> breaker.record_answer()
>>> breaker.try_admit(290, False)
True
"""

# Time without new flows after a failure, in ms. It doubles with each failed
# trial up to the longest time.
INITIAL_HOLD_MS = 250
MAX_HOLD_MS = 2_000

# Time in ms for the result of a trial, after which there is another one. A
# request and its round trip to the client take less.
TRIAL_MS = 300

# Time in ms after which the trial may also be a request that the client cannot
# repeat, since the service may have no others.
ANY_REQUEST_TRIAL_MS = 1_000


class FailureBreaker:
    """A circuit breaker for the flows to one target."""

    def __init__(self):
        self.reset()

    def reset(self) -> None:
        """Forgets all failures, since another target has started."""
        self._hold_ms = 0
        self._until_ms = 0
        self._trial_until_ms = 0
        self._is_holding = False

    def record_failure(self, now_ms: int) -> bool:
        """Records that the target broke off a request without an answer.

        Returns:
          Whether a time without new flows starts. It does not if another
          request, which was in progress at the first failure, fails meanwhile.
        """
        if self.is_open(now_ms):
            return False
        self._hold_ms = min(max(INITIAL_HOLD_MS, 2 * self._hold_ms),
                            MAX_HOLD_MS)
        self._until_ms = now_ms + self._hold_ms
        self._trial_until_ms = 0
        self._is_holding = True
        return True

    def try_end_hold(self, now_ms: int) -> bool:
        """Returns whether a time without new flows has just ended."""
        if not self._is_holding or self.is_open(now_ms):
            return False
        self._is_holding = False
        return True

    def record_answer(self) -> None:
        """Records an answer, which ends the restriction."""
        self._hold_ms = 0

    def is_open(self, now_ms: int) -> bool:
        """Returns whether the target gets no new flows at all."""
        return self._hold_ms > 0 and now_ms < self._until_ms

    def try_admit(self, now_ms: int, is_idempotent: bool) -> bool:
        """Returns whether a new flow may go to the target.

        Args:
          now_ms: Time.
          is_idempotent: Whether the flow's requests can be repeated.
        """
        if not self._hold_ms:
            return True
        if self.is_open(now_ms) or now_ms < self._trial_until_ms:
            return False
        if not is_idempotent and now_ms - self._until_ms < ANY_REQUEST_TRIAL_MS:
            return False
        self._trial_until_ms = now_ms + TRIAL_MS
        return True
