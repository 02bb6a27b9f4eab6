"""Drops packets while the balancer's own zone is out of service."""

from figdrum.core import ids
from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import packet_context
from figdrum.routing import drop_reason

_OWN_ZONE_OUT = filter.Answer(drop_reason.DropReason.OWN_ZONE_OUT)


class PacketZoneFilter(filter.Filter):
    """Drops all packets while operators have taken the balancer's zone out."""

    def __init__(self, zone: ids.ZoneName):
        self._zone = zone

    def apply(self, ctx: packet_context.PacketContext) -> filter.Verdict:
        if self._zone in ctx.contracts.zones_out:
            return _OWN_ZONE_OUT
        return filter.Pass(ctx)
