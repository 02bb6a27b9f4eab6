"""Limits retries to a fraction of the requests.

Explanation
===========

Retries add load to a target that is already failing. They are limited to 10 %
of the requests of the last 10 s.

Examples
========

>>> budget = RetryBudget()
>>> for now_ms in range(0, 1000, 100):
...     budget.record_request(now_ms)
>>> budget.try_retry(1000), budget.try_retry(1000)
(True, False)
"""

import collections

from figdrum.core import limits

MAX_RETRY_RATIO = 0.1


class RetryBudget:
    """Counts requests and retries in a sliding window.

    Args:
      max_ratio: Maximum ratio of retries to requests in the window.
      window_ms: Length of the window.
    """

    def __init__(self,
                 max_ratio: float = MAX_RETRY_RATIO,
                 window_ms: int = limits.RETRY_WINDOW_MS):
        self._max_ratio = max_ratio
        self._window_ms = window_ms
        self._requests: collections.deque[int] = collections.deque()
        self._retries: collections.deque[int] = collections.deque()

    def record_request(self, now_ms: int) -> None:
        """Records a request."""
        self._discard_expired(now_ms)
        self._requests.append(now_ms)

    def try_retry(self, now_ms: int) -> bool:
        """Records a retry and returns True if the budget allows one."""
        self._discard_expired(now_ms)
        if len(self._retries) + 1 > self._max_ratio * len(self._requests):
            return False
        self._retries.append(now_ms)
        return True

    def _discard_expired(self, now_ms: int) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
