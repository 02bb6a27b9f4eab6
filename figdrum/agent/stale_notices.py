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
    >>> [notices.due(now_ms, ('10.0.0.1', 7000)) for now_ms in (0, 999, 1000)]
    [True, False, True]
    """

    def __init__(self, period_ms: int):
        self._period_ms = period_ms
        self._told: dict[ids.Address, int] = {}

    def due(self, now_ms: int, balancer: ids.Address) -> bool:
        """Returns True, and records a notice, if one to `balancer` is due."""
        last_ms = self._told.get(balancer)
        if last_ms is not None and now_ms - last_ms < self._period_ms:
            return False
        if len(self._told) >= MAX_BALANCERS:
            self._told.clear()
        self._told[balancer] = now_ms
        return True
