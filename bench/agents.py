"""A simulated agent: figdrum's controllers around a modelled target.

Explanation
===========

Ownership, admission, the pacing of offers and the handling of a zone that is
taken out are figdrum's own code. Only the code that connects them belongs to
the bench; it follows `figdrum.agent.core`.
"""

import collections
import typing

from bench import target as target_lib
from figdrum.admission import controller
from figdrum.agent import offer_pacer
from figdrum.contracts import state as contract_state
from figdrum.core import ids
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.ownership import actions
from figdrum.ownership import owner

TICK_MS = 100
HEARTBEAT_MS = 500
FETCH_DELAY_MS = 50
DRAIN_TIMEOUT_MS = 30_000
LINGER_MS = 10_000
PARK_TIMEOUT_MS = 1_000
QUEUE_LENGTH = 64
MAX_CONNECTIONS = 2_000


class Identity(typing.NamedTuple):
    """Name, service, zone and address of an agent."""
    name: str
    service: str
    zone: str
    address: ids.Address


class _DrainState(typing.NamedTuple):
    """State of a drain in progress."""
    offer_pacer: offer_pacer.OfferPacer
    since_ms: int


class Agent(offer_pacer.OfferSender):
    """One agent and its target.

    Args:
      identity: Name, service, zone and address.
      fleet: The `bench.fleet.Fleet` that transports its messages.
      slots: Number of requests that the target runs at once.
      connections: Maximum number of flows held.
    """

    def __init__(self,
                 identity: Identity,
                 fleet,
                 slots: int,
                 connections: int = MAX_CONNECTIONS):
        self.identity = identity
        self.alive = True
        self.held: dict[ids.FlowKey, str] = {}
        self.target = target_lib.Target(fleet.rng)
        self.members = service_list.ServiceList.empty(identity.service)
        self.contracts = contract_state.ContractState.empty()
        self.incarnation = 0
        self.admission = controller.AdmissionController(
            identity.name,
            controller.Capacity(slots, connections, QUEUE_LENGTH,
                                target_lib.COLD_RATE, target_lib.FULL_RATE))
        self.admission.set_terms_lookup(self._terms)
        self._fleet = fleet
        self._owner = owner.Owner(ids.AgentName(identity.name),
                                  ids.ServiceName(identity.service),
                                  ids.ZoneName(identity.zone))
        self._drain: _DrainState | None = None
        self._parked: list[tuple[int, datagram.Packet]] = []
        self._is_fetching = False
        self._pending: dict[int, datagram.Packet] = {}
        self._is_answered: collections.OrderedDict[
            bytes, bool] = collections.OrderedDict()
        self._wake_at_ms: int | None = None

    @property
    def name(self) -> str:
        """Name of the agent."""
        return self.identity.name

    @property
    def _events(self):
        return self._fleet.events

    @property
    def is_own_zone_out(self) -> bool:
        """Whether this agent knows that its own zone is taken out."""
        return self.identity.zone in self.contracts.zones_out

    @property
    def in_progress(self) -> int:
        """Number of requests running and waiting."""
        return self.admission.slots.running + self.admission.slots.waiting

    def join(self, incarnation: int) -> None:
        """Joins the service as this incarnation."""
        self.incarnation = incarnation
        self._execute(
            self._owner.join(self._events.now_ms, ids.Incarnation(incarnation)))

    def apply_update(self, members: service_list.ServiceList,
                     contracts: contract_state.ContractState) -> None:
        """Applies what is newer than known, as `AgentCore.on_replica` does."""
        now_ms = self._events.now_ms
        was_out = self.is_own_zone_out
        if contracts.change > self.contracts.change:
            self.contracts = contracts
        if members.version > self.members.version:
            self.members = members
        self._owner.on_list(now_ms, self.members, self.contracts.zones_out)
        if self.is_own_zone_out != was_out:
            self._fleet.on_zone_change(self)
            self._execute(self._owner.forget(now_ms))
            self.admission.warmup.reset_to_cold(now_ms)
        self.admission.on_members(
            now_ms, (m.name
                     for m in self.members.routable(self.contracts.zones_out)
                     if m.state is states.MemberState.ACTIVE))
        parked, self._parked = self._parked, []
        for since_ms, packet in parked:
            if now_ms - since_ms < PARK_TIMEOUT_MS:
                self._handle_packet(packet)

    def on_packet(self, packet: datagram.Packet) -> None:
        """Handles a packet from a balancer or another agent."""
        if not self.alive:
            return
        if packet.change > self.contracts.change:
            self._fetch()
        self._handle_packet(packet)

    def on_message(self, message) -> None:
        """Handles a message from another agent."""
        if not self.alive:
            return
        now_ms = self._events.now_ms
        decided = self._owner.on_message(now_ms, message, self.admission)
        if isinstance(message, datagram.Handover) and any(
                isinstance(a, actions.Send) and a.message.accepted
                for a in decided):
            self._add_flow(message.flow, message.customer)
            self._fleet.on_adopted(self, message.flow)
        self._execute(decided)

    def tick(self) -> None:
        """Runs the periodic work of the owner, admission and the drain."""
        now_ms = self._events.now_ms
        self._execute(self._owner.on_tick(now_ms))
        self.start_requests()
        if self._drain is not None:
            self._drain.offer_pacer.tick(now_ms)

    def heartbeat(self) -> datagram.Heartbeat:
        """Returns the heartbeat to send to the other agents."""
        return datagram.Heartbeat(self.name, self.incarnation,
                                  self.members.version)

    def start_drain(self) -> None:
        """Stops admitting flows and starts to hand over the held ones."""
        self.admission.flows_stopped = True
        self._owner.start_drain(self._events.now_ms)
        self._drain = _DrainState(offer_pacer.OfferPacer(self),
                                  self._events.now_ms)

    def has_drained(self) -> bool:
        """Whether no flow is left or the drain has timed out."""
        return not self.held or (self._events.now_ms - self._drain.since_ms
                                 >= DRAIN_TIMEOUT_MS)

    def crash(self) -> None:
        """Stops at once and loses all sessions."""
        self.alive = False
        self.held.clear()

    def offers(self):
        return self._owner.offers(self._events.now_ms)

    def send_offer(self, offer: actions.Offer) -> None:
        message = datagram.Handover(self.name, offer.flow,
                                    self.held.get(offer.flow, ''), ('', 0), (),
                                    0, offer.attempt)
        self._fleet.send_message(offer.to, message)

    def start_requests(self) -> None:
        """Starts as many requests as the slots and the start rate allow."""
        now_ms = self._events.now_ms
        for request in self.admission.pop_expired(now_ms):
            self._complete(request, False)
        while start := self.admission.start_next(now_ms):
            self._fleet.on_start(self)
            run_ms = self.target.start(now_ms)
            self._events.after(run_ms, self._on_finished, start.name, run_ms)
        at_ms = self.admission.next_start_ms(now_ms)
        if at_ms is not None and at_ms > now_ms and at_ms != self._wake_at_ms:
            self._wake_at_ms = at_ms
            self._events.at(at_ms, self.start_requests)

    def _terms(self, customer: str) -> controller.Terms | None:
        contract = self.contracts.contract(customer)
        if contract is None:
            return None
        limits = contract.limits
        return controller.Terms(
            contract.rank,
            controller.shares.Limits(limits.flows, limits.new_flows,
                                     limits.requests))

    def _fetch(self) -> None:
        if not self._is_fetching:
            self._is_fetching = True
            self._events.after(FETCH_DELAY_MS, self._on_fetched)

    def _on_fetched(self) -> None:
        self._is_fetching = False
        if self.alive:
            self.apply_update(*self._fleet.get_latest(self.identity.service))

    def _handle_packet(self, packet: datagram.Packet) -> None:
        self._execute(
            self._owner.on_packet(self._events.now_ms, packet, self.admission))

    def _execute(self, decided) -> None:
        for action in decided:
            if isinstance(action, actions.Deliver):
                self._deliver(action.packet)
            elif isinstance(action, actions.Send):
                self._fleet.send_message(action.to, action.message)
            elif isinstance(action, actions.Refuse):
                self._fleet.reply(self, action.packet, False)
            elif isinstance(action, actions.FetchList):
                self._parked.append((self._events.now_ms, action.packet))
                self._fetch()
            elif isinstance(action, actions.Drop):
                self._fleet.on_drop(self, action)
            elif isinstance(action, actions.Release):
                self._remove_flow(action.flow)

    def _add_flow(self, flow: ids.FlowKey, customer: str) -> None:
        if flow not in self.held:
            self.held[flow] = customer
            self.admission.on_flow_admitted(self._events.now_ms, customer)

    def _remove_flow(self, flow: ids.FlowKey) -> None:
        customer = self.held.pop(flow, None)
        if customer is not None:
            self.admission.on_flow_ended(customer)

    def _deliver(self, packet: datagram.Packet) -> None:
        self._fleet.on_delivered(self, packet)
        self._add_flow(packet.flow, packet.customer)
        if not packet.can_start_flow:
            return
        # A retransmitted datagram is not run again, as in `coap.server`.
        if packet.payload in self._is_answered:
            if self._is_answered[packet.payload]:
                self._fleet.reply(self, packet, True)
            return
        self._is_answered[packet.payload] = False
        if len(self._is_answered) > QUEUE_LENGTH * QUEUE_LENGTH:
            self._is_answered.popitem(last=False)
        now_ms = self._events.now_ms
        name = self._fleet.next_number()
        self._pending[name] = packet
        offer = self.admission.offer(now_ms, name, packet.customer,
                                     self._fleet.deadline_at_ms(packet))
        if offer.displaced is not None:
            self._complete(offer.displaced, False)
        if offer.denial is not None:
            self._complete(name, False)
        self.start_requests()

    def _on_finished(self, name: int, run_ms: int) -> None:
        if not self.alive:
            return
        self.target.finish()
        self.admission.on_request_finished(self._events.now_ms, name, True,
                                           run_ms)
        self._complete(name, True)
        self.start_requests()

    def _complete(self, name: int, ok: bool) -> None:
        packet = self._pending.pop(name)
        if ok:
            self._is_answered[packet.payload] = True
        else:
            self._is_answered.pop(packet.payload, None)
        self._fleet.reply(self, packet, ok)
