"""Limits the rate of opening packets to a target that has just started.

Examples
========

>>> limit = ColdLimit()
>>> limit.set_rate(2)
>>> [limit.try_acquire(now_ms) for now_ms in (0, 10, 20, 30, 1100)]
[True, True, False, False, True]
"""

import collections

from figdrum.core import clock

# Opening packets per second before a balancer has sent the service's limit. The
# users allow this many in addition to any rate.
DEFAULT_PER_S = 5

# The window is longer than a second by this, in ms, since packets that are sent
# over more than a second may arrive within one.
WINDOW_MARGIN_MS = 50


class ColdLimit:
    """Limits opening packets by a sliding window of about a second."""

    def __init__(self):
        self._per_s: int | None = DEFAULT_PER_S
        self._acquired_ms: collections.deque[int] = collections.deque()

    def set_rate(self, per_s: int | None) -> None:
        """Sets the limit in opening packets per second; None for no limit."""
        self._per_s = per_s

    def try_acquire(self, now_ms: int) -> bool:
        """Counts an opening packet; returns False if it exceeds the limit."""
        if self._per_s is None:
            return True
        start_ms = now_ms - clock.MS_PER_S - WINDOW_MARGIN_MS
        while self._acquired_ms and self._acquired_ms[0] <= start_ms:
            self._acquired_ms.popleft()
        if len(self._acquired_ms) >= self._per_s:
            return False
        self._acquired_ms.append(now_ms)
        return True
