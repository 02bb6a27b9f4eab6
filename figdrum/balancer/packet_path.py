"""Forwards packets from the fabric to agents, and replies back.

Explanation
===========

This is the data path without sockets: it receives packets and agents' messages
and sends datagrams through the ports. Unexpected input is counted and dropped.
"""

import collections.abc

from figdrum.balancer import counters
from figdrum.core import ids
from figdrum.core import ports
from figdrum.messages import codec
from figdrum.messages import datagram
from figdrum.routing import router
from figdrum.sync import replica

OnStale = collections.abc.Callable[[int, datagram.Stale], None]


class PacketPath:
    """The balancer's data path."""

    def __init__(self, packet_router: router.Router,
                 local_replica: replica.Replica, fabric: ports.PacketPort,
                 agents: ports.PeerPort, on_stale: OnStale,
                 counts: counters.Counters):
        """Initializes the path.

        Args:
            packet_router: Decides where packets go.
            local_replica: The contracts and lists in force.
            fabric: Sends replies to callers.
            agents: Sends frames to agents.
            on_stale: Called with the time and an agent's report that this
                balancer has stale data.
            counts: Counts packets and errors.
        """
        self._router = packet_router
        self._replica = local_replica
        self._fabric = fabric
        self._agents = agents
        self._on_stale = on_stale
        self._counts = counts
        self._nonce = 0

    def on_packet(self, now_ms: int, src: ids.Address, dst: ids.Address,
                  payload: bytes) -> None:
        """Handles a caller's packet to a service address."""
        action = self._router.route(now_ms, src, dst, payload,
                                    self._replica.contracts,
                                    self._replica.service_list)
        if isinstance(action, router.Dropped):
            self._counts.incr(f'balancer.dropped.{action.reason.value}')
            return
        self._counts.incr('balancer.forwarded')
        self._agents.send(action.member.address, codec.encode(action.packet))

    def on_message(self, now_ms: int, agent: ids.Address,
                   message: codec.Message) -> None:
        """Handles a message from an agent."""
        self._router.on_heard(now_ms, agent)
        if isinstance(message, datagram.Reply):
            self._counts.incr('balancer.replies')
            self._fabric.send(message.flow.dst, message.flow.src,
                              message.payload)
        elif isinstance(message, datagram.Stale):
            self._counts.incr('balancer.stale_reports')
            self._on_stale(now_ms, message)
        elif not isinstance(message, datagram.Pong):
            self._counts.incr('balancer.unexpected_frame')

    def on_tick(self, now_ms: int) -> None:
        """Pings silent agents; call it every `suspicion.TICK_MS`."""
        for agent in self._router.due_pings(now_ms):
            self._nonce += 1
            self._counts.incr('balancer.pings')
            self._agents.send(agent, codec.encode(datagram.Ping(self._nonce)))

    def on_lists_changed(self) -> None:
        """Removes agents that are in no list any more from the router."""
        lists = (self._replica.service_list(name)
                 for name in self._replica.services())
        self._router.on_members(
            frozenset(m.address for one in lists for m in one.routable()))
