"""Looks up the grant of a packet's destination address."""

from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import packet_context
from figdrum.routing import drop_reason

_UNKNOWN_ADDRESS = filter.Answer(drop_reason.DropReason.UNKNOWN_ADDRESS)


class PacketAddressFilter(filter.Filter):
    """Adds the destination's grant; drops packets to unknown addresses."""

    def apply(self, ctx: packet_context.PacketContext) -> filter.Verdict:
        grant = ctx.contracts.lookup(ctx.dst)
        if grant is None:
            return _UNKNOWN_ADDRESS
        return filter.Pass(
            packet_context.PacketContext(ctx.now_ms, ctx.src, ctx.dst,
                                         ctx.contracts, grant))
