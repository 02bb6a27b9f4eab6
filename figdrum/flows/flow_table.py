"""The flows of one target, as its agent has seen them."""

import collections
import collections.abc
import enum
import typing

from figdrum.flows import class_history
from figdrum.flows import load_meter
from figdrum.flows import request_transfer
from figdrum.flows import routes
from figdrum.flows import segment as segment_module
from figdrum.flows import service_rate

# A flow without a packet for this time, in ms, is removed. Flows may be
# discarded when they are 60 s old.
IDLE_TIMEOUT_MS = 65_000

# Time in ms for which a closed flow is kept, so that late packets still match
# it. The longest time between two retransmissions is 1.6 s.
CLOSED_FLOW_TTL_MS = 5_000

# Time in ms without a packet after which a request in progress no longer counts
# as load: its client has given up, and the packet that says so was lost. A
# client that waits retransmits at least every 1.6 s, so this is the time of
# three lost retransmissions.
ABANDONED_REQUEST_MS = 5_000

# Shortest time in ms between two scans for expired flows. The times above are
# far longer.
EXPIRY_PERIOD_MS = 1_000

# Time in ms after a target's acceptance within which the client's first request
# arrives. It takes one round trip of 6 ms to a client. A flow without a request
# for longer was probably opened by a copy of the opening packet.
FIRST_REQUEST_TIMEOUT_MS = 100


class FlowPhase(enum.Enum):
    """What the target has to do for a flow.

    An ACCEPTED flow is about to have its first request. The client of an
    UNACKNOWLEDGED flow gives up its opening without an acceptance. The target
    does not have all of the request of a RECEIVING flow yet. The request of an
    ABANDONED flow had no answer when its client fell silent. A CLOSED flow gets
    no further requests.
    """
    ACCEPTED = 'accepted'
    UNACKNOWLEDGED = 'unacknowledged'
    IDLE = 'idle'
    RECEIVING = 'receiving'
    BUSY = 'busy'
    ABANDONED = 'abandoned'
    CLOSED = 'closed'


# Phases of flows that are no load, unless a packet of the client follows.
INACTIVE_PHASES = (FlowPhase.UNACKNOWLEDGED, FlowPhase.ABANDONED,
                   FlowPhase.CLOSED)


# One object has all that is known of a flow, since there are many of them.
# pylint: disable-next=too-many-instance-attributes
class Flow:
    """A flow that the target has accepted or is assumed to hold.

    Attributes:
      key: Key of the flow.
      opened_ms: Time at which the agent first saw the flow.
      last_packet_ms: Time of the last packet in either direction.
      target: Identity of the target's incarnation at `opened_ms`.
      client_first: Number of the opening packet; None if the agent has not
        seen it.
      request_class: Class that the opening packet named; None if the agent has
        not seen it.
      server_first: Initial sequence number of the server; None if the agent
        started later than the flow.
      server_next: Sequence number after the last byte from the server; None
        before its first packet.
      client_next: Sequence number after the last byte from the client.
      client_ack: The client's last acknowledgement number.
      is_open: Whether the client has acknowledged this server, or the server
        has sent more than its answer to the opening packet.
      phase: What the target has to do for the flow.
      transfer: Bytes of the client that the target has; None before the first
        one.
      request_count: Number of requests that the agent has seen.
      request_started_ms: Time of the first packet of the request in progress
        or, if there is none, of the last one.
      request_id: Id of that request, or ''.
      client_closed: Whether the client has sent its last byte.
      server_closed: Whether the server has sent its last byte.
    """
    __slots__ = ('key', 'opened_ms', 'last_packet_ms', 'target', 'client_first',
                 'request_class', 'server_first', 'server_next', 'client_next',
                 'client_ack', 'is_open', 'phase', 'client_closed',
                 'server_closed', 'transfer', 'request_count',
                 'request_started_ms', 'request_id')

    def __init__(self, key: bytes, now_ms: int, target: str):
        self.key = key
        self.opened_ms = now_ms
        self.last_packet_ms = now_ms
        self.target = target
        self.client_first: int | None = None
        self.request_class: routes.RequestClass | None = None
        self.server_first: int | None = None
        self.server_next: int | None = None
        self.client_next: int | None = None
        self.client_ack = 0
        self.is_open = False
        self.phase = FlowPhase.IDLE
        self.transfer: request_transfer.RequestTransfer | None = None
        self.request_count = 0
        self.request_started_ms = now_ms
        self.request_id = ''
        self.client_closed = False
        self.server_closed = False

    @property
    def is_busy(self) -> bool:
        """Whether the target works on a request, or keeps it waiting."""
        return self.phase is FlowPhase.BUSY

    @property
    def has_request(self) -> bool:
        """Whether a request has neither been answered nor given up."""
        return self.phase in (FlowPhase.RECEIVING, FlowPhase.BUSY)

    @property
    def is_closed(self) -> bool:
        """Whether both ends have closed the flow."""
        return self.client_closed and self.server_closed

    def is_given_up(self, now_ms: int) -> bool:
        """Returns whether the client has given up the opening of the flow.

        The client sent its first opening packet before `opened_ms`, at which
        the target accepted a copy of it. A client that got the acceptance has
        acknowledged it.
        """
        return (self.server_first is not None and not self.is_open and
                now_ms - self.opened_ms > segment_module.OPENING_TIMEOUT_MS)

    def acknowledges(self, ack: int) -> bool:
        """Returns whether an acknowledgement number belongs to this flow.

        Several servers may answer copies of one opening packet, each with its
        own initial sequence number. The client acknowledges only the server
        that it chose, so a number outside this server's range is for another
        one, or for an earlier or later flow of the same addresses and ports.
        """
        if self.server_next is None:
            return True
        if self.server_first is None:
            return segment_module.is_near(self.server_next, ack)
        sent = (self.server_next -
                self.server_first) % segment_module.SEQUENCE_MODULUS
        return 0 < (ack -
                    self.server_first) % segment_module.SEQUENCE_MODULUS <= sent

    def is_accepted_with(self, seq: int) -> bool:
        """Returns whether an acceptance with the number `seq` is this flow's.

        A target that accepts an opening packet with another number holds a
        later flow of the same addresses and ports.
        """
        if self.server_first is not None:
            return self.server_first == seq
        return (self.server_next is None or
                segment_module.is_near(self.server_next, seq))


class _Acceptance(typing.NamedTuple):
    accepted_ms: int
    flow: Flow


class FlowTable:
    """The flows of one target.

    Attributes:
      meter: Average number of requests in progress on all flows.
      history: Which request classes have short flows.
      service_rate: How fast the target completes requests.
    """

    def __init__(self, now_ms: int):
        self._flows: dict[bytes, Flow] = {}
        self._counts: collections.Counter[FlowPhase] = collections.Counter()
        self._accepted: collections.deque[_Acceptance] = collections.deque()
        self._expired_ms = now_ms
        self.meter = load_meter.LoadMeter(now_ms)
        self.history = class_history.ClassHistory()
        self.service_rate = service_rate.ServiceRate(now_ms)

    def __len__(self) -> int:
        return len(self._flows)

    @property
    def active_count(self) -> int:
        """Number of flows whose clients may send further requests."""
        return len(self._flows) - sum(self._counts[p] for p in INACTIVE_PHASES)

    @property
    def receiving_count(self) -> int:
        """Number of requests that the target does not have completely."""
        return self._counts[FlowPhase.RECEIVING]

    def expected_requests(self, now_ms: int) -> int:
        """Returns the number of requests that are in progress or about to be.

        Unlike the meter's count, it includes the first requests of flows that
        the target has just accepted. A request in transit does not count: it
        keeps no slot busy, and may need a hundred times as long to arrive as
        the target works on it.
        """
        start_ms = now_ms - FIRST_REQUEST_TIMEOUT_MS
        while self._accepted and self._accepted[0].accepted_ms <= start_ms:
            flow = self._accepted.popleft().flow
            if flow.phase is FlowPhase.ACCEPTED:
                self._set_phase(now_ms, flow, FlowPhase.IDLE)
        return self._counts[FlowPhase.BUSY] + self._counts[FlowPhase.ACCEPTED]

    @property
    def has_short_flows(self) -> bool:
        """Whether most flows are closed after their first request."""
        return self.history.has_short_flows

    def get(self, key: bytes) -> Flow | None:
        """Returns the flow `key`, or None."""
        return self._flows.get(key)

    def open(self, now_ms: int, key: bytes, target: str) -> Flow:
        """Adds a flow; replaces an earlier one with the same key."""
        self.remove(now_ms, key)
        flow = self._flows[key] = Flow(key, now_ms, target)
        self._counts[flow.phase] += 1
        return flow

    def remove(self, now_ms: int, key: bytes) -> Flow | None:
        """Removes the flow `key` and returns it, or None."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._set_phase(now_ms, flow, FlowPhase.CLOSED)
            self._counts[FlowPhase.CLOSED] -= 1
        return flow

    def flows(self) -> collections.abc.Iterable[Flow]:
        """Returns a snapshot of all flows."""
        return tuple(self._flows.values())

    def record_client_packet(self, now_ms: int, flow: Flow,
                             segment: segment_module.Segment) -> None:
        """Updates a flow with a packet of the client."""
        flow.last_packet_ms = now_ms
        flow.client_ack = segment.ack
        if flow.server_first is not None:
            flow.is_open = True
        if flow.phase is FlowPhase.UNACKNOWLEDGED:
            self._set_phase(now_ms, flow, FlowPhase.IDLE)
        if segment.is_closing:
            self._record_closing(flow)
        if segment.is_closing or segment.is_reset:
            flow.client_closed = True
        if segment.length:
            self._record_request(now_ms, flow, segment)
        if segment.is_reset:
            flow.server_closed = True
            self._set_phase(now_ms, flow, FlowPhase.CLOSED)

    def record_target_packet(self, now_ms: int, flow: Flow,
                             segment: segment_module.Segment) -> bool:
        """Updates a flow with a packet of the target.

        Returns:
          Whether the packet ends a request without an answer.
        """
        # A closing packet may overtake the answer. Its number shows that.
        ends_unanswered = segment.is_reset or (segment.is_closing and
                                               segment.seq == flow.server_next)
        # A target may also break off a request whose client has left.
        is_break = (flow.has_request and ends_unanswered and
                    not segment.length and not flow.client_closed)
        flow.last_packet_ms = now_ms
        if not segment.is_accepting:
            flow.is_open = True
        if segment.is_accepting and flow.server_first is None:
            flow.server_first = segment.seq
            if flow.phase is FlowPhase.IDLE and flow.client_next is None:
                self._set_phase(now_ms, flow, FlowPhase.ACCEPTED)
                self._accepted.append(_Acceptance(now_ms, flow))
        self._advance(flow, segment)
        if segment.length and flow.phase is not FlowPhase.CLOSED:
            self._set_phase(now_ms, flow, FlowPhase.IDLE)
        if segment.is_closing:
            self._record_closing(flow)
        if segment.is_closing or segment.is_reset:
            flow.server_closed = True
            self._set_phase(now_ms, flow, FlowPhase.CLOSED)
        if segment.is_reset:
            flow.client_closed = True
        return is_break

    def _advance(self, flow: Flow, segment: segment_module.Segment) -> None:
        """Updates the number after the last byte from the server.

        A far number belongs to an earlier flow of the same addresses and ports.
        """
        end = (segment.seq + segment.length + segment.is_accepting +
               segment.is_closing) % segment_module.SEQUENCE_MODULUS
        if flow.server_next is None:
            flow.server_next = end
        elif (segment_module.follows(flow.server_next, end) and
              segment_module.is_near(flow.server_next, end)):
            flow.server_next = end

    def expire(self, now_ms: int) -> None:
        """Removes flows that have been idle or closed for too long.

        A request whose client has been silent for too long no longer counts,
        and neither does a flow that the client has closed, or whose acceptance
        the client has not acknowledged by the time at which it gives up.
        """
        if now_ms - self._expired_ms < EXPIRY_PERIOD_MS:
            return
        self._expired_ms = now_ms
        for flow in self.flows():
            silence_ms = now_ms - flow.last_packet_ms
            limit_ms = CLOSED_FLOW_TTL_MS if flow.is_closed else IDLE_TIMEOUT_MS
            if silence_ms > limit_ms:
                self.remove(now_ms, flow.key)
            elif (flow.phase in (FlowPhase.ACCEPTED, FlowPhase.IDLE) and
                  flow.is_given_up(now_ms)):
                self._set_phase(now_ms, flow, FlowPhase.UNACKNOWLEDGED)
            elif silence_ms > ABANDONED_REQUEST_MS:
                if flow.has_request:
                    self._abandon(now_ms, flow)
                elif flow.client_closed:
                    # The server's closing packet, or the client's, was lost.
                    self._set_phase(now_ms, flow, FlowPhase.CLOSED)

    def _record_request(self, now_ms: int, flow: Flow,
                        segment: segment_module.Segment) -> None:
        end = (segment.seq + segment.length) % segment_module.SEQUENCE_MODULUS
        is_new = (flow.client_next is None or
                  segment_module.follows(flow.client_next, end))
        is_complete = self._record_transfer(flow, segment)
        if is_new:
            flow.client_next = end
            if not flow.has_request:
                flow.request_count += 1
                if flow.request_count > 1:
                    self.history.observe(flow.request_class, False)
        if flow.phase is FlowPhase.CLOSED:
            return
        # A retransmission shows that a silent client still waits.
        if is_new or flow.phase in (FlowPhase.RECEIVING, FlowPhase.ABANDONED):
            has_all = is_complete or flow.is_busy
            self._set_phase(now_ms, flow,
                            FlowPhase.BUSY if has_all else FlowPhase.RECEIVING)

    def _record_transfer(self, flow: Flow,
                         segment: segment_module.Segment) -> bool:
        """Returns whether the target has all of the flow's request.

        If the agent has not seen the opening packet, the packets before the
        first one that it has seen are taken to have arrived.
        """
        if flow.transfer is None:
            first = (segment.seq if flow.client_first is None else
                     (flow.client_first + 1) % segment_module.SEQUENCE_MODULUS)
            flow.transfer = request_transfer.RequestTransfer(first)
        return flow.transfer.record(segment.seq, segment.length)

    def _record_closing(self, flow: Flow) -> None:
        if flow.client_closed or flow.server_closed:
            return
        if flow.request_count == 1 and flow.server_first is not None:
            self.history.observe(flow.request_class, True)

    def _abandon(self, now_ms: int, flow: Flow) -> None:
        if flow.is_busy:
            self.service_rate.record(now_ms, self.meter.current, False)
            self.meter.withdraw(now_ms, flow.last_packet_ms)
        self._count_phase(flow, FlowPhase.ABANDONED)

    def _count_phase(self, flow: Flow, phase: FlowPhase) -> None:
        self._counts[flow.phase] -= 1
        self._counts[phase] += 1
        flow.phase = phase

    def _set_phase(self, now_ms: int, flow: Flow, phase: FlowPhase) -> None:
        was_busy = flow.is_busy
        had_request = flow.has_request
        self._count_phase(flow, phase)
        if flow.has_request and not had_request:
            flow.request_started_ms = now_ms
        if flow.is_busy != was_busy:
            self.service_rate.record(now_ms, self.meter.current, was_busy)
            self.meter.add(now_ms, flow.is_busy - was_busy)
