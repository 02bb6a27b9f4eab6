"""Measures how fast a target works, from the requests that pass its agent.

Explanation
===========

A slot that has a request works on it, and requests beyond the slots wait. The
work of a request is therefore the time for which slots were busy, divided by
the number of requests that ended. Waiting does not count, so that a target
under load is not taken for a slow one. Old samples fade.

Examples
========

>>> rate = ServiceRate(0)
>>> for number in range(20):
...     rate.record(100 * number, 0, False)
...     rate.record(100 * number + 50, 1, True)
>>> round(rate.per_s(2000))
20
"""

import math

# Time constant in ms with which samples fade. At 45% of its slots in use, a
# target ends some 70 requests of 50 ms in this time, so that the estimate has a
# standard error of 12% if the work is distributed exponentially.
TIME_CONSTANT_MS = 8_000

# Weighted number of requests below which there is no estimate.
MIN_REQUESTS = 8

# Busy time between two changes counts at most this many times the estimated
# work, so that one request that hangs does not make a target seem slow.
MAX_WORK_RATIO = 8


class ServiceRate:
    """Requests per second that one slot of a target completes.

    Attributes:
      slots: Requests that the target processes in parallel.
    """

    def __init__(self, now_ms: int):
        self.slots = 1
        self._busy_ms = 0.0
        self._requests = 0.0
        self._updated_ms = now_ms

    def clear(self, now_ms: int) -> None:
        """Discards all samples, for example of a target that was cold."""
        self._busy_ms = 0.0
        self._requests = 0.0
        self._updated_ms = now_ms

    def record(self, now_ms: int, busy: int, is_end: bool) -> None:
        """Records that the number of requests in progress changes.

        Args:
          now_ms: Time.
          busy: Requests in progress since the last change.
          is_end: Whether a request has ended.
        """
        self._update(now_ms, busy)
        self._requests += is_end

    def per_s(self, now_ms: int) -> float | None:
        """Returns the rate, or None if there are too few samples."""
        fade = math.exp((self._updated_ms - now_ms) / TIME_CONSTANT_MS)
        if self._requests * fade < MIN_REQUESTS or self._busy_ms <= 0:
            return None
        return 1_000 * self._requests / self._busy_ms

    def _update(self, now_ms: int, busy: int) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        fade = math.exp(-elapsed_ms / TIME_CONSTANT_MS)
        if busy and self._requests >= MIN_REQUESTS:
            work_ms = self._busy_ms / self._requests
            elapsed_ms = min(elapsed_ms, MAX_WORK_RATIO * work_ms)
        self._requests *= fade
        self._busy_ms = (self._busy_ms * fade +
                         elapsed_ms * min(busy, self.slots))
