"""Drops packets while the balancer's replica is not fresh or is behind."""

from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import packet_context
from figdrum.routing import serving


class PacketServingFilter(filter.Filter):
    """Drops packets while the serving gate gives a reason for it."""

    def __init__(self, gate: serving.ServingGate):
        self._gate = gate

    def apply(self, ctx: packet_context.PacketContext) -> filter.Verdict:
        reason = self._gate.drop_reason(ctx.now_ms)
        return filter.Pass(ctx) if reason is None else filter.Answer(reason)
