"""Drops packets whose source network the customer's contract does not allow."""

from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import packet_context
from figdrum.routing import drop_reason

_NOT_ALLOWED = filter.Answer(drop_reason.DropReason.SOURCE_NOT_ALLOWED)

# An entry takes about 100 bytes. A balancer receives packets from far fewer
# hosts within a few seconds.
_MAX_CACHE_ENTRIES = 8192


class PacketSourceFilter(filter.Filter):
    """Drops packets from networks that the contract does not contain.

    Results for the current contract state are cached by customer, service and
    source host, because many flows come from the same host.
    """

    def __init__(self) -> None:
        self._contracts = None
        self._allowed_cache: dict[tuple, bool] = {}

    def apply(self, ctx: packet_context.PacketContext) -> filter.Verdict:
        if ctx.contracts is not self._contracts:
            self._contracts = ctx.contracts
            self._allowed_cache = {}
        key = (ctx.grant.customer, ctx.grant.service, ctx.src[0])
        allowed = self._allowed_cache.get(key)
        if allowed is None:
            allowed = ctx.contracts.allows(*key)
            if len(self._allowed_cache) >= _MAX_CACHE_ENTRIES:
                self._allowed_cache = {}
            self._allowed_cache[key] = allowed
        return filter.Pass(ctx) if allowed else _NOT_ALLOWED
