"""Simulated callers: flows, requests with retransmission, and their outcome.

Explanation
===========

A flow is a session that lasts from its first answer to its end. Its holder is
the agent that has the session. The flow is broken when one of its packets is
handled by a target without the session, when a request is not answered after
all retransmissions, or when its holder stops. The cause is a failure of the
holder, its zone being taken out by operators, or otherwise a planned change.
"""

import dataclasses
import random
import struct
import typing

from figdrum.core import ids
from figdrum.messages import datagram
from bench import agents as agents_lib
from bench import fleet as fleet_lib
from bench import sites

# RFC 7252, section 4.8.
ACK_TIMEOUT_MS = 2_000
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
RETRY_MS = 500
DEADLINE_MS = 30_000
# An observation is confirmed every 60 s (section 10), so no gap between
# packets is longer.
MAX_GAP_MS = 60_000
REQUEST_SHARE = 0.7

_CON = 0x40
_GET = 1
_EMPTY = 0


class FlowPlan(typing.NamedTuple):
    """A flow that is scheduled to start.

    Attributes:
      key: Source and destination.
      customer: Customer of the destination.
      service: Service of the destination.
      start_ms: Time of the first request.
      end_ms: No packet is sent after this time.
      gap_ms: Mean time between packets.
    """
    key: ids.FlowKey
    customer: str
    service: str
    start_ms: int
    end_ms: int
    gap_ms: float


@dataclasses.dataclass(slots=True)
class Flow:
    """A flow in progress and the name of its holder, or '' if none."""
    plan: FlowPlan
    holder: str = ''


@dataclasses.dataclass(slots=True)
class Request:
    """A request; it is sent again as a new datagram if it is refused."""
    flow: Flow
    sent_ms: int
    deadline_at_ms: int
    payload: bytes = b''
    transmissions: int = 0
    answered_ms: int | None = None


class Span(typing.NamedTuple):
    """Flows start evenly over `ramp_ms` from `start_ms` and end at `end_ms`."""
    start_ms: int
    ramp_ms: int
    end_ms: int


def make_key(site: sites.Site, customer: str, service: str,
             number: int) -> ids.FlowKey:
    """Returns the flow key of the caller with this number."""
    return ids.FlowKey(f'192.0.{number // 50_000}.{number % 250 + 1}',
                       1024 + number % 50_000, *site.address(customer, service))


def plan_flows(site: sites.Site, rng: random.Random, service: str, count: int,
               span: Span, gap_ms: float) -> list[FlowPlan]:
    """Returns `count` flows that last until the end of the span."""
    plans = []
    for n in range(count):
        customer = rng.choice(site.customers)
        plans.append(
            FlowPlan(make_key(site, customer, service, n), customer, service,
                     span.start_ms + n * span.ramp_ms // count, span.end_ms,
                     gap_ms))
    return plans


class Callers(fleet_lib.Observer):
    """All callers of a fleet.

    Attributes:
      broken: First cause by broken flow.
      given_up: Flows that ended because their zone was taken out.
      packets: Number of packets sent.
      misrouted: Number of packets for which the balancer chose another agent
        than the holder; that agent forwards them.
      misdelivered: Number of sessions lost because a target without the session
        handled a packet, or a request was never answered.
      requests: All requests.
    """

    def __init__(self, fleet: fleet_lib.Fleet, deadline_ms: int = DEADLINE_MS):
        self.broken: dict[ids.FlowKey, str] = {}
        self.given_up: set[ids.FlowKey] = set()
        self.packets = 0
        self.misrouted = 0
        self.misdelivered = 0
        self.requests: list[Request] = []
        self.flows: dict[ids.FlowKey, Flow] = {}
        self._fleet = fleet
        self._events = fleet.events
        self._rng = fleet.rng
        self._deadline_ms = deadline_ms
        self._outstanding: dict[bytes, Request] = {}

    def add(self, plan: FlowPlan) -> None:
        """Schedules a flow."""
        self._events.at(plan.start_ms, self._start, plan)

    def on_first_hop(self, agent: str, flow: ids.FlowKey) -> None:
        holder = self.flows[flow].holder
        self.misrouted += bool(holder) and holder != agent

    def on_delivered(self, agent: agents_lib.Agent,
                     packet: datagram.Packet) -> None:
        flow = self.flows[packet.flow]
        if packet.flow not in agent.held:
            if flow.holder:
                self._record_lost_session(flow)
        flow.holder = agent.name

    def on_adopted(self, agent: agents_lib.Agent, flow: ids.FlowKey) -> None:
        self.flows[flow].holder = agent.name

    def on_zone_change(self, agent: agents_lib.Agent) -> None:
        for key in agent.held:
            if self.flows[key].holder == agent.name:
                self.given_up.add(key)
                self.flows[key].holder = ''

    def on_crash(self, agent: agents_lib.Agent) -> None:
        cause = 'planned' if agent.admission.flows_stopped else 'failure'
        for key in agent.held:
            flow = self.flows[key]
            if (flow.holder == agent.name and
                    flow.plan.end_ms > self._events.now_ms):
                flow.holder = ''
                self.broken.setdefault(key, cause)

    def on_reply(self, packet: datagram.Packet, ok: bool) -> None:
        req = self._outstanding.get(packet.payload)
        if req is None:
            return
        del self._outstanding[packet.payload]
        now_ms = self._events.now_ms
        if ok:
            req.answered_ms = now_ms
            return
        if now_ms + RETRY_MS < req.deadline_at_ms:
            self._events.after(RETRY_MS, self._send_new, req)

    def deadline_at_ms(self, packet: datagram.Packet) -> int:
        req = self._outstanding.get(packet.payload)
        return req.deadline_at_ms if req else self._events.now_ms

    def _start(self, plan: FlowPlan) -> None:
        flow = Flow(plan)
        self.flows[plan.key] = flow
        self._request(flow)
        self._schedule_next(flow)

    def _schedule_next(self, flow: Flow) -> None:
        gap_ms = min(MAX_GAP_MS, self._rng.expovariate(1 / flow.plan.gap_ms))
        if self._events.now_ms + gap_ms < flow.plan.end_ms:
            self._events.after(1 + round(gap_ms), self._send_next, flow)

    def _send_next(self, flow: Flow) -> None:
        if self._rng.random() < REQUEST_SHARE or not flow.holder:
            self._request(flow)
        else:
            self._transmit(flow, self._make_datagram(_EMPTY))
        self._schedule_next(flow)

    def _request(self, flow: Flow) -> None:
        now_ms = self._events.now_ms
        req = Request(flow, now_ms, now_ms + self._deadline_ms)
        self.requests.append(req)
        self._send_new(req)

    def _send_new(self, req: Request) -> None:
        req.payload = self._make_datagram(_GET)
        req.transmissions = 0
        self._outstanding[req.payload] = req
        timeout_ms = ACK_TIMEOUT_MS * self._rng.uniform(1, ACK_RANDOM_FACTOR)
        self._transmit_request(req, req.payload, round(timeout_ms))

    def _transmit_request(self, req: Request, payload: bytes,
                          timeout_ms: int) -> None:
        if payload not in self._outstanding:
            return
        if req.transmissions > MAX_RETRANSMIT:
            del self._outstanding[payload]
            if req.flow.holder:
                self._record_lost_session(req.flow)
            return
        req.transmissions += 1
        self._transmit(req.flow, payload)
        self._events.after(timeout_ms, self._transmit_request, req, payload,
                           2 * timeout_ms)

    def _transmit(self, flow: Flow, payload: bytes) -> None:
        self.packets += 1
        self._fleet.send(flow.plan.key, payload)

    def _record_lost_session(self, flow: Flow) -> None:
        holder = self._fleet.agents[flow.holder]
        key = flow.plan.key
        flow.holder = ''
        if self._fleet.is_zone_out(holder.identity.zone):
            self.given_up.add(key)
            return
        self.misdelivered += 1
        self.broken.setdefault(key, 'planned')

    def _make_datagram(self, code: int) -> bytes:
        number = self._fleet.next_number()
        return struct.pack('>BBHI', _CON, code, number & 0xffff, number)
