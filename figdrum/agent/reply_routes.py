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
    >>> routes.carried(0, 'flow', ('10.0.0.1', 7000))
    >>> routes.carried(5000, 'other flow', ('10.0.0.2', 7000))
    >>> routes.choose(1000, 'flow')
    ('10.0.0.1', 7000)
    >>> routes.choose(5100, 'flow')
    ('10.0.0.2', 7000)
    """

    def __init__(self):
        self._heard: dict[ids.Address, int] = {}
        self._flows: collections.OrderedDict[ids.FlowKey, ids.Address] = (
            collections.OrderedDict())

    def heard(self, now_ms: int, balancer: ids.Address) -> None:
        """Records that a balancer sent a datagram."""
        self._heard.pop(balancer, None)
        self._heard[balancer] = now_ms
        if len(self._heard) > MAX_BALANCERS:
            del self._heard[next(iter(self._heard))]

    def carried(self, now_ms: int, flow: ids.FlowKey,
                balancer: ids.Address) -> None:
        """Records that a balancer carried a packet of a flow."""
        self.heard(now_ms, balancer)
        self.set(flow, balancer)

    def set(self, flow: ids.FlowKey, balancer: ids.Address) -> None:
        """Sets the balancer of a flow, as after a handover."""
        self._flows[flow] = balancer
        self._flows.move_to_end(flow)
        if len(self._flows) > MAX_FLOWS:
            self._flows.popitem(last=False)

    def choose(self, now_ms: int, flow: ids.FlowKey) -> ids.Address | None:
        """Returns the balancer for a reply, or None if none is known."""
        balancer = self._flows.get(flow)
        at_ms = self._heard.get(balancer)
        if not self._heard or (at_ms is not None and
                               now_ms - at_ms < SILENT_AFTER_MS):
            return balancer
        return next(reversed(self._heard))

    def forget(self, flow: ids.FlowKey) -> None:
        """Removes a flow that ended."""
        self._flows.pop(flow, None)
