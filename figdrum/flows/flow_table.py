"""The flows of one target, as its agent has seen them."""

import collections.abc

from figdrum.flows import load_meter
from figdrum.flows import segment as segment_module

# A flow without a packet for this time, in ms, is removed. Flows may be
# discarded when they are 60 s old.
IDLE_TIMEOUT_MS = 65_000

# Time in ms for which a closed flow is kept, so that late packets still match
# it. The longest time between two retransmissions is 1.6 s.
CLOSED_FLOW_TTL_MS = 5_000

# Shortest time in ms between two scans for expired flows. Both times above are
# far longer.
EXPIRY_PERIOD_MS = 1_000


class Flow:
    """A flow that the target has accepted or is assumed to hold.

    Attributes:
      key: Key of the flow.
      opened_ms: Time at which the agent first saw the flow.
      last_packet_ms: Time of the last packet in either direction.
      target: Identity of the target's incarnation at `opened_ms`.
      server_first: Initial sequence number of the server; None if the agent
        started later than the flow.
      server_next: Sequence number after the last byte from the server.
      client_next: Sequence number after the last byte from the client.
      client_ack: The client's last acknowledgement number.
      is_open: Whether the client has acknowledged this server, or the server
        has sent more than its answer to the opening packet.
      is_busy: Whether a request is in progress.
      request_started_ms: Start time of the request in progress or, if there is
        none, of the last one.
      request_id: Id of that request, or ''.
      client_closed: Whether the client has sent its last byte.
      server_closed: Whether the server has sent its last byte.
    """
    __slots__ = ('key', 'opened_ms', 'last_packet_ms', 'target', 'server_first',
                 'server_next', 'client_next', 'client_ack', 'is_open',
                 'is_busy', 'client_closed', 'server_closed',
                 'request_started_ms', 'request_id')

    def __init__(self, key: bytes, now_ms: int, target: str):
        self.key = key
        self.opened_ms = now_ms
        self.last_packet_ms = now_ms
        self.target = target
        self.server_first: int | None = None
        self.server_next = 0
        self.client_next: int | None = None
        self.client_ack = 0
        self.is_open = False
        self.is_busy = False
        self.request_started_ms = now_ms
        self.request_id = ''
        self.client_closed = False
        self.server_closed = False

    @property
    def is_closed(self) -> bool:
        """Whether both ends have closed the flow."""
        return self.client_closed and self.server_closed

    def acknowledges(self, ack: int) -> bool:
        """Returns whether an acknowledgement number belongs to this flow.

        Several servers may answer copies of one opening packet, each with its
        own initial sequence number. The client acknowledges only the server
        that it chose, so a number outside this server's range is for another
        one.
        """
        if self.server_first is None:
            return True
        sent = (self.server_next -
                self.server_first) % segment_module.SEQUENCE_MODULUS
        return 0 < (ack -
                    self.server_first) % segment_module.SEQUENCE_MODULUS <= sent


class FlowTable:
    """The flows of one target.

    Attributes:
      meter: Average number of requests in progress on all flows.
    """

    def __init__(self, now_ms: int):
        self._flows: dict[bytes, Flow] = {}
        self._expired_ms = now_ms
        self.meter = load_meter.LoadMeter(now_ms)

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: bytes) -> Flow | None:
        """Returns the flow `key`, or None."""
        return self._flows.get(key)

    def open(self, now_ms: int, key: bytes, target: str) -> Flow:
        """Adds a flow; replaces an earlier one with the same key."""
        self.remove(now_ms, key)
        flow = self._flows[key] = Flow(key, now_ms, target)
        return flow

    def remove(self, now_ms: int, key: bytes) -> Flow | None:
        """Removes the flow `key` and returns it, or None."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._set_busy(now_ms, flow, False)
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
        if segment.is_closing or segment.is_reset:
            flow.client_closed = True
        if segment.is_reset:
            flow.server_closed = True
            self._set_busy(now_ms, flow, False)
        if segment.length:
            end = (segment.seq +
                   segment.length) % segment_module.SEQUENCE_MODULUS
            if (flow.client_next is None or
                    segment_module.follows(flow.client_next, end)):
                flow.client_next = end
                self._set_busy(now_ms, flow, True)

    def record_target_packet(self, now_ms: int, flow: Flow,
                             segment: segment_module.Segment) -> None:
        """Updates a flow with a packet of the target."""
        flow.last_packet_ms = now_ms
        if not segment.is_accepting:
            flow.is_open = True
        if segment.is_accepting and flow.server_first is None:
            flow.server_first = segment.seq
            flow.server_next = (segment.seq +
                                1) % segment_module.SEQUENCE_MODULUS
        end = (segment.seq + segment.length +
               segment.is_closing) % segment_module.SEQUENCE_MODULUS
        if segment_module.follows(flow.server_next, end):
            flow.server_next = end
        if segment.length:
            self._set_busy(now_ms, flow, False)
        if segment.is_closing or segment.is_reset:
            flow.server_closed = True
        if segment.is_reset:
            flow.client_closed = True
            self._set_busy(now_ms, flow, False)

    def expire(self, now_ms: int) -> None:
        """Removes flows that have been idle or closed for too long."""
        if now_ms - self._expired_ms < EXPIRY_PERIOD_MS:
            return
        self._expired_ms = now_ms
        for flow in self.flows():
            limit_ms = CLOSED_FLOW_TTL_MS if flow.is_closed else IDLE_TIMEOUT_MS
            if now_ms - flow.last_packet_ms > limit_ms:
                self.remove(now_ms, flow.key)

    def _set_busy(self, now_ms: int, flow: Flow, is_busy: bool) -> None:
        if flow.is_busy != is_busy:
            flow.is_busy = is_busy
            if is_busy:
                flow.request_started_ms = now_ms
            self.meter.add(now_ms, 1 if is_busy else -1)
