"""Checks that the contract allows a packet's source network."""

from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import packet_context
from figdrum.routing import drop_reason

_NOT_ALLOWED = filter.Answer(drop_reason.DropReason.SOURCE_NOT_ALLOWED)

# About 100 bytes an entry; a balancer sees far fewer hosts in a few seconds.
_MAX_CACHED = 8192


class PacketSourceFilter(filter.Filter):
    """Drops packets from networks that the contract does not name.

    The answers of one contract state are remembered by customer, service and
    host, as many flows come from one host.
    """

    def __init__(self) -> None:
        self._contracts = None
        self._allowed: dict[tuple, bool] = {}

    def apply(self, ctx: packet_context.PacketContext) -> filter.Verdict:
        if ctx.contracts is not self._contracts:
            self._contracts = ctx.contracts
            self._allowed = {}
        key = (ctx.grant.customer, ctx.grant.service, ctx.src[0])
        allowed = self._allowed.get(key)
        if allowed is None:
            allowed = ctx.contracts.allows(*key)
            if len(self._allowed) >= _MAX_CACHED:
                self._allowed = {}
            self._allowed[key] = allowed
        return filter.Pass(ctx) if allowed else _NOT_ALLOWED
