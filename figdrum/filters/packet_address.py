"""Looks up whose service a packet was sent to."""

from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import packet_context
from figdrum.routing import drop_reason

_UNKNOWN = filter.Answer(drop_reason.DropReason.UNKNOWN_ADDRESS)


class PacketAddressFilter(filter.Filter):
    """Adds the address's grant and drops packets to unknown addresses."""

    def apply(self, ctx: packet_context.PacketContext) -> filter.Verdict:
        grant = ctx.contracts.lookup(ctx.dst)
        if grant is None:
            return _UNKNOWN
        return filter.Pass(
            packet_context.PacketContext(ctx.now_ms, ctx.src, ctx.dst,
                                         ctx.contracts, grant))
