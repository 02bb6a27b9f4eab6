"""Checks that open flows stay at their servers."""

import collections
import typing

from standins.soak import layout
from standins.soak import observations as observations_module
from standins.soak import wire

# Packets of a flow at other servers within `layout.REORDER_MS` that violate the
# guarantee if its own server has got none meanwhile.
STRAY_LIMIT = 3


class Flow(typing.NamedTuple):
    """A flow of a client.

    Attributes:
      client: Address and port of the client.
      first_seq: Number of its opening packet; the client may use the address
        and port for several flows, one after the other.
      server_first: Number of the acceptance that the client has chosen.
      service: Address of the service.
    """
    client: wire.Address
    first_seq: int
    server_first: int
    service: wire.Address


class Holder(typing.NamedTuple):
    """A server that holds a flow.

    Attributes:
      server: Name of the server's incarnation.
      machine: Name of its machine.
    """
    server: str
    machine: str


class _Packets:
    """Packets of the flow that a client has opened last.

    Attributes:
      flow: The flow.
      balancers: Times in ms at which packets were sent to balancers, by name.
      held_ms: Time at which its own server got the last packet, or at which the
        client sent the first one after the opening packet or after a silence.
      sent_ms: Time at which the client sent the last packet.
      strays: Times in ms at which other servers got packets.
    """
    __slots__ = ('flow', 'balancers', 'held_ms', 'sent_ms', 'strays')

    def __init__(self, flow: Flow, now_ms: int):
        self.flow = flow
        self.balancers: dict[str, int] = {}
        self.held_ms = now_ms
        self.sent_ms = now_ms
        self.strays: collections.deque[int] = collections.deque()


class FlowChecker:
    """Records violations of the guarantee for open flows."""

    def __init__(self, observations: observations_module.Observations,
                 find_holders: typing.Callable[[Flow], list[Holder]]):
        self._observations = observations
        self._find_holders = find_holders
        self._packets: dict[wire.Address, _Packets] = {}

    def note_sent(self, now_ms: int, flow: Flow, balancer: str) -> None:
        """Records that a client has sent a packet after the opening packet."""
        packets = self._packets.get(flow.client)
        if packets is None or packets.flow != flow:
            packets = self._packets[flow.client] = _Packets(flow, now_ms)
        packets.balancers[balancer] = now_ms
        # A client that waits for an answer is silent for at most 1.6 s. The
        # balancer may have restarted while the flow was idle; the packet may
        # then be at other servers before its own.
        if now_ms - packets.sent_ms > layout.REORDER_MS:
            packets.held_ms = max(now_ms, packets.held_ms)
        packets.sent_ms = now_ms

    def note_held(self, now_ms: int, client: wire.Address,
                  first_seq: int) -> None:
        """Records that a flow's own server has got a packet."""
        packets = self._packets.get(client)
        if packets is not None and packets.flow.first_seq == first_seq:
            packets.held_ms = now_ms
            packets.strays.clear()

    def note_stray(self, now_ms: int, packet: wire.Packet, server: str) -> None:
        """Records that a server has got a packet that it does not hold.

        The flow of the packet is the last one that its client has opened, if
        the number of the packet follows that of the flow's opening packet.
        """
        packets = self._packets.get(packet.src)
        if (packets is None or
                not 0 < packet.seq - packets.flow.first_seq < 1 << 20):
            return
        holders = self._find_holders(packets.flow)
        if not holders or any(holder.server == server for holder in holders):
            return
        strays = packets.strays
        strays.append(now_ms)
        while strays[0] < now_ms - layout.REORDER_MS:
            strays.popleft()
        if (len(strays) >= STRAY_LIMIT and
                packets.held_ms < now_ms - layout.REORDER_MS and
                self._is_in_contact(now_ms, packets, holders)):
            self._observations.note_violation(
                'flow at other servers', now_ms,
                f'{packet.src} held by {holders}, at {server}')
            strays.clear()

    def check_reset(self, now_ms: int, flow: Flow) -> None:
        """Checks a reset that a client has got after an acceptance.

        The server may not have got the client's acknowledgement yet. A reset is
        wrong then, too: the server's agent knows the flow.
        """
        holders = self._find_holders(flow)
        if holders:
            self._observations.note_violation('open flow reset', now_ms,
                                              f'{flow} held by {holders}')

    def _is_in_contact(self, now_ms: int, packets: _Packets,
                       holders: list[Holder]) -> bool:
        balancers = [
            name for name, sent_ms in packets.balancers.items()
            if sent_ms >= now_ms - layout.REORDER_MS
        ]
        return all(
            self._observations.is_in_contact(name, now_ms)
            for name in [*balancers, *(h.machine for h in holders)])
