"""Selects the balancer that carries the replies of a flow."""

import collections

from figdrum.core import ids

# A balancer that has sent nothing for longer gets no replies if another one has
# sent something since. Any balancer can carry any reply.
SILENT_AFTER_MS = 1500
MAX_BALANCERS = 1000
MAX_FLOWS = 20_000


class ReplyRoutes:
    """Records when each balancer last sent something and what it carried.

    Examples
    ========

    >>> routes = ReplyRoutes()
    >>> routes.record_carried(0, 'flow', ('10.0.0.1', 7000))
    >>> routes.record_carried(5000, 'other flow', ('10.0.0.2', 7000))
    >>> routes.choose(1000, 'flow')
    ('10.0.0.1', 7000)
    >>> routes.choose(5100, 'flow')
    ('10.0.0.2', 7000)
    """

    def __init__(self):
        self._last_received_ms: dict[ids.Address, int] = {}
        self._balancers: collections.OrderedDict[ids.FlowKey, ids.Address] = (
            collections.OrderedDict())

    def record_received(self, now_ms: int, balancer: ids.Address) -> None:
        """Records that a balancer sent a datagram."""
        self._last_received_ms.pop(balancer, None)
        self._last_received_ms[balancer] = now_ms
        if len(self._last_received_ms) > MAX_BALANCERS:
            del self._last_received_ms[next(iter(self._last_received_ms))]

    def record_carried(self, now_ms: int, flow: ids.FlowKey,
                       balancer: ids.Address) -> None:
        """Records that a balancer carried a packet of a flow."""
        self.record_received(now_ms, balancer)
        self.set_balancer(flow, balancer)

    def set_balancer(self, flow: ids.FlowKey, balancer: ids.Address) -> None:
        """Sets the balancer of a flow, as after a handover."""
        self._balancers[flow] = balancer
        self._balancers.move_to_end(flow)
        if len(self._balancers) > MAX_FLOWS:
            self._balancers.popitem(last=False)

    def choose(self, now_ms: int, flow: ids.FlowKey) -> ids.Address | None:
        """Returns the balancer for a reply, or None if none is known."""
        balancer = self._balancers.get(flow)
        received_ms = self._last_received_ms.get(balancer)
        if not self._last_received_ms or (received_ms is not None and now_ms -
                                          received_ms < SILENT_AFTER_MS):
            return balancer
        return next(reversed(self._last_received_ms))

    def forget(self, flow: ids.FlowKey) -> None:
        """Removes a flow that ended."""
        self._balancers.pop(flow, None)
