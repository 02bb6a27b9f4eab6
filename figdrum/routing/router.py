"""Chooses the agent to which a balancer forwards a packet.

Explanation
===========

A packet that passes the filter chain goes to the first member in the flow's
rendezvous order that is not suspected. The packet names the suspected members
before it, because an agent may admit a flow only when every member ahead of it
has been visited or is known not to answer. When all members are suspected, the
fault is probably the balancer's own, and the packet goes to the first member
as if none were suspected.

The members' hash inputs are computed once per service list and set of zones
out of service. The router keeps no state per flow.

Examples
========

See `figdrum/routing/tests/test_router.py`.
"""

import collections.abc
import typing

import xxhash

from figdrum.core import errors
from figdrum.core import ids
from figdrum.filters import chain
from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import packet_address
from figdrum.filters import packet_context
from figdrum.filters import packet_serving
from figdrum.filters import packet_source
from figdrum.filters import packet_zone
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.routing import classifier
from figdrum.routing import drop_reason
from figdrum.routing import serving
from figdrum.routing import suspicion

ListLookup = collections.abc.Callable[[str], service_list.ServiceList]


class Forward(typing.NamedTuple):
    """Forwards `packet` to `member`."""
    member: service_list.Member
    packet: datagram.Packet


class Dropped(typing.NamedTuple):
    """Discards the packet for `reason`."""
    reason: drop_reason.DropReason


class _Candidates(typing.NamedTuple):
    """Routable members of a service list, with their hash inputs.

    Attributes:
        source: The service list from which `rows` was computed.
        zones_out: The zones whose members were excluded.
        rows: Pairs of a hash suffix, which follows the flow key in the hash
            input, and its member, sorted by member name.
    """
    source: service_list.ServiceList
    zones_out: frozenset[str]
    rows: tuple[tuple[bytes, service_list.Member], ...]


class Router:
    """Routes packets; keeps state per agent and none per flow."""

    def __init__(
            self,
            zone: ids.ZoneName,
            balancer: ids.Address,
            gate: serving.ServingGate,
            limits: suspicion.SuspicionLimits = suspicion.SuspicionLimits(),
            packet_classifier: classifier.PacketClassifier | None = None):
        """Initializes the router.

        Args:
            zone: The balancer's availability zone.
            balancer: The balancer's frame address, to which agents reply.
            gate: Decides whether the balancer routes packets at present.
            limits: Time limits and rate limit for pings and suspicion.
            packet_classifier: Parses callers' datagrams; CoAP by default.
        """
        self._balancer = balancer
        self._classifier = packet_classifier or classifier.CoapClassifier()
        self._suspicions = suspicion.SuspicionTable(limits)
        self._filters = chain.FilterChain(
            packet_serving.PacketServingFilter(gate),
            packet_zone.PacketZoneFilter(zone),
            packet_address.PacketAddressFilter(),
            packet_source.PacketSourceFilter())
        self._candidates: dict[str, _Candidates] = {}

    def on_heard(self, now_ms: int, agent: ids.Address) -> None:
        """Records a frame received from `agent`; ends its suspicion."""
        self._suspicions.on_heard(now_ms, agent)

    def on_members(self, agents: frozenset[ids.Address]) -> None:
        """Discards state of agents that are not in `agents`.

        Args:
            agents: Frame addresses of the members of all service lists.
        """
        self._suspicions.retain(agents)

    def due_pings(self, now_ms: int) -> tuple[ids.Address, ...]:
        """Returns the agents to ping now; see `SuspicionTable.due_pings`."""
        return self._suspicions.due_pings(now_ms)

    def suspected(self) -> tuple[ids.Address, ...]:
        """Returns the agents that routing currently skips."""
        return self._suspicions.suspected()

    def route(self, now_ms: int, src: ids.Address, dst: ids.Address,
              payload: bytes, contracts: typing.Any,
              lists: ListLookup) -> Forward | Dropped:
        """Decides whether and where to forward a packet.

        Args:
            now_ms: Own clock.
            src: The caller's address.
            dst: The service address that the caller sent to.
            payload: The caller's datagram.
            contracts: The `contracts.state.ContractState` in force.
            lists: Returns the service list of a service name, for example
                `Replica.service_list`.

        Returns:
            `Forward` with the chosen member, or `Dropped` with the reason.
        """
        verdict = self._filters.run(
            packet_context.PacketContext(now_ms, src, dst, contracts))
        if isinstance(verdict, filter.Answer):
            return Dropped(verdict.value)
        try:
            can_start_flow = self._classifier.can_start_flow(payload)
        except errors.MessageError:
            return Dropped(drop_reason.DropReason.MALFORMED)
        grant = verdict.ctx.grant
        members = lists(grant.service)
        flow = ids.FlowKey(*src, *dst)
        member, skipped = self._choose(flow, members, contracts.zones_out)
        if member is None:
            return Dropped(drop_reason.DropReason.NO_MEMBER)
        self._suspicions.on_sent(now_ms, member.address)
        return Forward(
            member,
            datagram.Packet(contracts.change, members.version, grant.customer,
                            grant.service, flow, can_start_flow, self._balancer,
                            payload, (), skipped))

    def _choose(
        self, flow: ids.FlowKey, members: service_list.ServiceList,
        zones_out: frozenset[str]
    ) -> tuple[service_list.Member | None, tuple[str, ...]]:
        """Returns the chosen member and the names of those skipped before it.

        The member is None if the service has no routable member.
        """
        if self._suspicions.any_suspected:
            return self._choose_unsuspected(
                members.order(flow.to_bytes(), zones_out))
        key = flow.to_bytes()
        best = None
        best_weight = -1
        # Same result as `rendezvous.order`: rows are sorted by name, so among
        # members of equal weight the first by name is chosen.
        for suffix, member in self._candidate_rows(members, zones_out):
            weight = xxhash.xxh3_64_intdigest(key + suffix)
            if weight > best_weight:
                best = member
                best_weight = weight
        return best, ()

    def _choose_unsuspected(
        self, order: tuple[service_list.Member, ...]
    ) -> tuple[service_list.Member | None, tuple[str, ...]]:
        for position, member in enumerate(order):
            if not self._suspicions.is_suspected(member.address):
                return member, tuple(m.name for m in order[:position])
        return (order[0] if order else None), ()

    def _candidate_rows(
        self, members: service_list.ServiceList, zones_out: frozenset[str]
    ) -> tuple[tuple[bytes, service_list.Member], ...]:
        candidates = self._candidates.get(members.service)
        if (candidates is None or candidates.source is not members or
                candidates.zones_out is not zones_out):
            rows = tuple((b'\0' + m.name.encode(), m)
                         for m in members.routable(zones_out))
            candidates = _Candidates(members, zones_out, rows)
            self._candidates[members.service] = candidates
        return candidates.rows
