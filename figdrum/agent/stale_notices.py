"""Limits how often a balancer is notified that its data is stale."""

from figdrum.core import ids

MAX_BALANCERS = 2_000


class StaleNotices:
    """Records when each balancer was last notified.

    Args:
      period_ms: Minimum time between two notices to one balancer, in ms.

    Examples
    ========

    >>> notices = StaleNotices(1000)
    >>> address = ('10.0.0.1', 7000)
    >>> [notices.record_if_due(now_ms, address) for now_ms in (0, 999, 1000)]
    [True, False, True]
    """

    def __init__(self, period_ms: int):
        self._period_ms = period_ms
        self._last_notice_ms: dict[ids.Address, int] = {}

    def record_if_due(self, now_ms: int, balancer: ids.Address) -> bool:
        """Returns True, and records a notice, if one to `balancer` is due."""
        last_ms = self._last_notice_ms.get(balancer)
        if last_ms is not None and now_ms - last_ms < self._period_ms:
            return False
        if len(self._last_notice_ms) >= MAX_BALANCERS:
            self._last_notice_ms.clear()
        self._last_notice_ms[balancer] = now_ms
        return True
