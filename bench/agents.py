"""An agent of the bench: the product's controllers around a modelled target.

Explanation
===========

Only the wiring is the bench's own, and it follows `figdrum.agent.core`.
Ownership, admission, the pace of offers and the fall of a zone are the
product's code.
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
FETCH_MS = 50
DRAIN_MS = 30_000
LINGER_MS = 10_000
PARK_MS = 1_000
QUEUE = 64
CONNECTIONS = 2_000


class Identity(typing.NamedTuple):
    """Who an agent is."""
    name: str
    service: str
    zone: str
    address: ids.Address


class _Leave(typing.NamedTuple):
    """A leave that has begun."""
    offer_pacer: offer_pacer.OfferPacer
    since_ms: int


class Agent(offer_pacer.OfferSender):
    """One agent and its target.

    Args:
      identity: Who it is.
      fleet: The `bench.fleet.Fleet` that carries its messages.
      slots: Requests that the target runs at once.
      connections: Flows held at most.
    """

    def __init__(self,
                 identity: Identity,
                 fleet,
                 slots: int,
                 connections: int = CONNECTIONS):
        self.identity = identity
        self.alive = True
        self.held: dict[ids.FlowKey, str] = {}
        self.target = target_lib.Target(fleet.rng)
        self.members = service_list.ServiceList.empty(identity.service)
        self.contracts = contract_state.ContractState.empty()
        self.incarnation = 0
        self.admission = controller.AdmissionController(
            identity.name,
            controller.Capacity(slots, connections, QUEUE, target_lib.COLD_RATE,
                                target_lib.FULL_RATE))
        self.admission.set_terms_lookup(self._terms)
        self._fleet = fleet
        self._owner = owner.Owner(ids.AgentName(identity.name),
                                  ids.ServiceName(identity.service),
                                  ids.ZoneName(identity.zone))
        self._leave: _Leave | None = None
        self._parked: list[tuple[int, datagram.Packet]] = []
        self._fetching = False
        self._asks: dict[int, datagram.Packet] = {}
        self._done: collections.OrderedDict[bytes,
                                            bool] = collections.OrderedDict()
        self._wake_at_ms: int | None = None

    @property
    def name(self) -> str:
        """Its name."""
        return self.identity.name

    @property
    def _events(self):
        return self._fleet.events

    @property
    def out(self) -> bool:
        """Whether this agent knows that its zone is out."""
        return self.identity.zone in self.contracts.zones_out

    @property
    def in_progress(self) -> int:
        """Requests running and waiting."""
        return self.admission.slots.running + self.admission.slots.waiting

    def join(self, incarnation: int) -> None:
        """Starts to take part as this incarnation."""
        self.incarnation = incarnation
        self._act(
            self._owner.join(self._events.now_ms, ids.Incarnation(incarnation)))

    def take(self, members: service_list.ServiceList,
             contracts: contract_state.ContractState) -> None:
        """Takes what is newer than known, as `AgentCore.on_replica`."""
        now_ms = self._events.now_ms
        was_out = self.out
        if contracts.change > self.contracts.change:
            self.contracts = contracts
        if members.version > self.members.version:
            self.members = members
        self._owner.on_list(now_ms, self.members, self.contracts.zones_out)
        if self.out != was_out:
            self._fleet.on_zone(self)
            self._act(self._owner.forget(now_ms))
            self.admission.warmup.reset_to_cold(now_ms)
        self.admission.on_members(
            now_ms, (m.name
                     for m in self.members.routable(self.contracts.zones_out)
                     if m.state is states.MemberState.ACTIVE))
        parked, self._parked = self._parked, []
        for since_ms, packet in parked:
            if now_ms - since_ms < PARK_MS:
                self._decide(packet)

    def on_packet(self, packet: datagram.Packet) -> None:
        """Takes a packet of a balancer or another agent."""
        if not self.alive:
            return
        if packet.change > self.contracts.change:
            self._fetch()
        self._decide(packet)

    def on_message(self, message) -> None:
        """Takes a message of another agent."""
        if not self.alive:
            return
        now_ms = self._events.now_ms
        decided = self._owner.on_message(now_ms, message, self.admission)
        if isinstance(message, datagram.Handover) and any(
                isinstance(a, actions.Send) and a.message.accepted
                for a in decided):
            self._begin(message.flow, message.customer)
            self._fleet.on_adopted(self, message.flow)
        self._act(decided)

    def tick(self) -> None:
        """Does what is due."""
        now_ms = self._events.now_ms
        self._act(self._owner.on_tick(now_ms))
        self.pump()
        if self._leave is not None:
            self._leave.offer_pacer.tick(now_ms)

    def heartbeat(self) -> datagram.Heartbeat:
        """Returns this agent's sign of life."""
        return datagram.Heartbeat(self.name, self.incarnation,
                                  self.members.version)

    def start_drain(self) -> None:
        """Begins to leave."""
        self.admission.flows_stopped = True
        self._owner.start_drain(self._events.now_ms)
        self._leave = _Leave(offer_pacer.OfferPacer(self), self._events.now_ms)

    def has_drained(self) -> bool:
        """Whether no flow is left or the time for the drain is over."""
        return not self.held or (self._events.now_ms - self._leave.since_ms
                                 >= DRAIN_MS)

    def crash(self) -> None:
        """Ends at once."""
        self.alive = False
        self.held.clear()

    def offers(self):
        return self._owner.offers(self._events.now_ms)

    def send_offer(self, offer: actions.Offer) -> None:
        message = datagram.Handover(self.name, offer.flow,
                                    self.held.get(offer.flow, ''), ('', 0), (),
                                    0, offer.attempt)
        self._fleet.carry(offer.to, message)

    def pump(self) -> None:
        """Starts requests that the slots and the rate allow."""
        now_ms = self._events.now_ms
        for request in self.admission.pop_expired(now_ms):
            self._answer(request, False)
        while start := self.admission.start_next(now_ms):
            self._fleet.on_start(self)
            run_ms = self.target.start(now_ms)
            self._events.after(run_ms, self._finish, start.name, run_ms)
        at_ms = self.admission.next_start_ms(now_ms)
        if at_ms is not None and at_ms > now_ms and at_ms != self._wake_at_ms:
            self._wake_at_ms = at_ms
            self._events.at(at_ms, self.pump)

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
        if not self._fetching:
            self._fetching = True
            self._events.after(FETCH_MS, self._fetched)

    def _fetched(self) -> None:
        self._fetching = False
        if self.alive:
            self.take(*self._fleet.newest(self.identity.service))

    def _decide(self, packet: datagram.Packet) -> None:
        self._act(
            self._owner.on_packet(self._events.now_ms, packet, self.admission))

    def _act(self, decided) -> None:
        for action in decided:
            if isinstance(action, actions.Deliver):
                self._deliver(action.packet)
            elif isinstance(action, actions.Send):
                self._fleet.carry(action.to, action.message)
            elif isinstance(action, actions.Refuse):
                self._fleet.reply(self, action.packet, False)
            elif isinstance(action, actions.FetchList):
                self._parked.append((self._events.now_ms, action.packet))
                self._fetch()
            elif isinstance(action, actions.Drop):
                self._fleet.on_drop(self, action)
            elif isinstance(action, actions.Release):
                self._end(action.flow)

    def _begin(self, flow: ids.FlowKey, customer: str) -> None:
        if flow not in self.held:
            self.held[flow] = customer
            self.admission.on_flow_admitted(self._events.now_ms, customer)

    def _end(self, flow: ids.FlowKey) -> None:
        customer = self.held.pop(flow, None)
        if customer is not None:
            self.admission.on_flow_ended(customer)

    def _deliver(self, packet: datagram.Packet) -> None:
        self._fleet.on_delivered(self, packet)
        self._begin(packet.flow, packet.customer)
        if not packet.can_start_flow:
            return
        # Copies of a datagram are answered once, as by `coap.server`.
        if packet.payload in self._done:
            if self._done[packet.payload]:
                self._fleet.reply(self, packet, True)
            return
        self._done[packet.payload] = False
        if len(self._done) > QUEUE * QUEUE:
            self._done.popitem(last=False)
        now_ms = self._events.now_ms
        name = self._fleet.next_number()
        self._asks[name] = packet
        offer = self.admission.offer(now_ms, name, packet.customer,
                                     self._fleet.deadline_at_ms(packet))
        if offer.displaced is not None:
            self._answer(offer.displaced, False)
        if offer.denial is not None:
            self._answer(name, False)
        self.pump()

    def _finish(self, name: int, run_ms: int) -> None:
        if not self.alive:
            return
        self.target.finish()
        self.admission.on_request_finished(self._events.now_ms, name, True,
                                           run_ms)
        self._answer(name, True)
        self.pump()

    def _answer(self, name: int, ok: bool) -> None:
        packet = self._asks.pop(name)
        if ok:
            self._done[packet.payload] = True
        else:
            self._done.pop(packet.payload, None)
        self._fleet.reply(self, packet, ok)
