"""Bounds retries to a share of the requests.

Explanation
===========

Retries multiply load just when a target fails. They may be at most 10 % of the
requests of the last 10 s.

Examples
========

>>> budget = RetryBudget()
>>> for now_ms in range(0, 1000, 100):
...     budget.request(now_ms)
>>> budget.try_retry(1000), budget.try_retry(1000)
(True, False)
"""

import collections

from figdrum.core import limits

SHARE = 0.1


class RetryBudget:
    """Counts requests and retries of the last 10 s.

    Args:
      share: Largest part of the requests that may be retries.
      window_ms: Time for which requests and retries count.
    """

    def __init__(self,
                 share: float = SHARE,
                 window_ms: int = limits.RETRY_WINDOW_MS):
        self._share = share
        self._window_ms = window_ms
        self._requests: collections.deque[int] = collections.deque()
        self._retries: collections.deque[int] = collections.deque()

    def request(self, now_ms: int) -> None:
        """Records a request."""
        self._forget(now_ms)
        self._requests.append(now_ms)

    def try_retry(self, now_ms: int) -> bool:
        """Records a retry if the budget has room for it."""
        self._forget(now_ms)
        if len(self._retries) + 1 > self._share * len(self._requests):
            return False
        self._retries.append(now_ms)
        return True

    def _forget(self, now_ms: int) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
