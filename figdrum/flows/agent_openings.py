"""Admits the opening packets of new flows to an agent's target.

Explanation
===========

All packets to a target pass through its agent, so the agent enforces the limits
on opening packets: none to a draining target or to a target of another service,
and a limited rate to a cold one.

Only the agent knows whether its target has a free slot now. Without one, it
sends the packet back if another target may have room, and keeps it otherwise
(`opening_queue`). Classes without a stated need do not wait: the target gets
their flows while its own queue has room.
"""

from figdrum.core import clock
from figdrum.core import ids
from figdrum.flows import actions
from figdrum.flows import agent_identity
from figdrum.flows import agent_ownership
from figdrum.flows import agent_reports
from figdrum.flows import class_history
from figdrum.flows import failure_breaker
from figdrum.flows import flow_table
from figdrum.flows import load_estimate
from figdrum.flows import messages
from figdrum.flows import opening_queue
from figdrum.flows import pending_deliveries
from figdrum.flows import routes
from figdrum.flows import segment as segment_module
from figdrum.flows import target as target_module
from figdrum.flows import target_status

TargetState = target_module.TargetState
Reason = target_module.RefusalReason

# Time in ms within which a live target answers an opening packet.
ACCEPT_TIMEOUT_MS = opening_queue.ACCEPT_TIMEOUT_MS

# Requests per slot from which a target gets no new flows. Six requests of 50
# ms, as long as they take on a cold target, wait for 300 ms, which is longer
# than the users' strictest latency target. Longer queues make targets refuse
# requests, which then count as tries of their clients.
MAX_REQUESTS_PER_SLOT = 6

# Requests per slot from which a target declines a flow that another one may
# take. A short flow waits for no other request if it can. A long flow is placed
# by the averages of many requests, unless requests wait at the target: its
# first one would wait as well, also if all clients open their flows at once.
SHORT_FLOW_REQUESTS_PER_SLOT = 1
LONG_FLOW_REQUESTS_PER_SLOT = 2

# Requests per slot from which opening packets wait at the agent. While one
# request runs, the next client gets the acceptance of the target and sends its
# request. Without that, a slot would be idle for a round trip to each client.
HANDOVER_REQUESTS_PER_SLOT = 2

# Time in ms since the last opening packet of a more urgent class for which room
# is kept for it.
URGENT_MEMORY_MS = 5_000

# Period in ms in which waiting packets are checked. A flow that its target has
# accepted stops counting without a packet.
QUEUE_CHECK_PERIOD_MS = 20


class Openings:
    """Decides which opening packets the target gets."""

    def __init__(self, packets: segment_module.PacketFormat,
                 status: target_status.TargetStatus,
                 table: flow_table.FlowTable,
                 pending: pending_deliveries.PendingDeliveries,
                 breaker: failure_breaker.FailureBreaker,
                 reports: agent_reports.Reports,
                 ownership: agent_ownership.Ownership,
                 identity: agent_identity.Identity):
        self._packets = packets
        self._status = status
        self._table = table
        self._pending = pending
        self._breaker = breaker
        self._reports = reports
        self._ownership = ownership
        self._identity = identity
        self._tag = messages.service_tag(status.service)
        self._queue = opening_queue.OpeningQueue()
        self._next_check_ms: int | None = None
        # Time of the last opening packet of each stated priority.
        self._seen_ms: dict[int, int] = {}

    @property
    def waiting_count(self) -> int:
        """Number of opening packets that wait for a slot."""
        return len(self._queue)

    def on_opening(self, now_ms: int, origin: ids.Address,
                   message: messages.ForwardedPacket,
                   segment: segment_module.Segment) -> actions.Actions:
        """Handles an opening packet that a balancer has forwarded."""
        opening = opening_queue.Opening(
            now_ms, segment, message.tag, message.is_idempotent,
            message.request_class or routes.DEFAULT_CLASS)
        opening.origins.add(origin)
        if (self._is_copy(now_ms, segment.key, segment.seq) or
                self._pending.has_opening(segment)):
            return self._hand_over(now_ms, opening)
        waiting = self._queue.remove(segment.key)
        if waiting is not None and waiting.segment.seq == segment.seq:
            opening.continue_wait(waiting)
        reason = self.refusal_reason(now_ms, message.tag)
        if reason is not None:
            return self._refuse(opening, reason)
        if opening.request_class.is_stated:
            self._seen_ms[opening.request_class.priority] = now_ms
        if self._should_decline(now_ms, opening, message.may_decline):
            return self._decline(now_ms, opening)
        if opening.request_class.is_stated and self._is_full(now_ms):
            return self._keep(now_ms, opening)
        return self._admit(now_ms, opening)

    def _work_ms(self, now_ms: int) -> float:
        """Returns the work of a request at the target, in ms."""
        rate_per_s = self._table.service_rate.per_s(now_ms)
        if not rate_per_s:
            return load_estimate.DEFAULT_WORK_MS
        return clock.MS_PER_S / rate_per_s

    def serve_queue(self, now_ms: int) -> actions.Actions:
        """Hands waiting packets to the target, and ends waits that are over."""
        if not self._queue:
            return []
        result: actions.Actions = []
        if self.refusal_reason(now_ms, self._tag) is not None:
            for opening in self._queue.take_all():
                result += self._admit(now_ms, opening)
            return result
        while not self._is_full(now_ms):
            opening = self._queue.take_first(now_ms, self._work_ms(now_ms))
            if opening is None:
                break
            result.append(
                self._log_wait(now_ms, opening, 'opening handed over',
                               'free slot'))
            result += self._admit(now_ms, opening)
        for opening in self._queue.take_due(now_ms):
            result += self._end_wait(now_ms, opening)
        return result

    def _admit(self, now_ms: int,
               opening: opening_queue.Opening) -> actions.Actions:
        """Hands over a packet unless the state of the target forbids it."""
        reason = self.refusal_reason(now_ms, opening.tag)
        if reason is None and not self._breaker.try_admit(
                now_ms, opening.is_idempotent):
            reason = Reason.FAILING
        is_cold = self._status.is_cold(now_ms) or self._identity.may_be_cold
        if (reason is None and is_cold and
                not self._reports.cold_limit.try_acquire(now_ms)):
            reason = Reason.COLD
        if reason is not None:
            return self._refuse(opening, reason)
        return self._hand_over(now_ms, opening)

    def _hand_over(self, now_ms: int,
                   opening: opening_queue.Opening) -> actions.Actions:
        for origin in opening.origins:
            self._pending.start_opening(now_ms, opening.segment, origin,
                                        opening.request_class)
        return [
            actions.SendToTarget(opening.segment.raw),
            actions.StartTimer(ACCEPT_TIMEOUT_MS)
        ]

    def _keep(self, now_ms: int,
              opening: opening_queue.Opening) -> actions.Actions:
        """Lets a packet wait, unless its client would give up before."""
        work_ms = self._work_ms(now_ms)
        ahead = self._queue.count_before(now_ms, work_ms, opening)
        before = self._expected_requests(now_ms) + ahead
        answer_ms = now_ms + (before / self._status.slots + 1) * work_ms
        if answer_ms > opening.give_up_ms:
            return self._turn_away(now_ms, opening, 'too many before')
        self._queue.slots = self._status.slots
        self._queue.add(opening)
        result: actions.Actions = []
        if len(self._queue) > opening_queue.MAX_WAITING:
            last = self._queue.take_last(now_ms, work_ms)
            result += self._turn_away(now_ms, last, 'queue full')
        if self._next_check_ms is None:
            result.append(self._start_check(now_ms))
        return result

    def _start_check(self, now_ms: int) -> actions.StartTimer:
        self._next_check_ms = now_ms + QUEUE_CHECK_PERIOD_MS
        return actions.StartTimer(QUEUE_CHECK_PERIOD_MS)

    def _end_wait(self, now_ms: int,
                  opening: opening_queue.Opening) -> actions.Actions:
        """Handles a packet that must not wait any longer.

        After the last copy, a place in the target's own queue is better than
        none, unless others wait whose requests can still be answered in time.
        """
        if not opening.is_last_copy:
            return self._turn_away(now_ms, opening, 'copy due')
        work_ms = self._work_ms(now_ms)
        first = self._queue.first(now_ms, work_ms)
        has_better = (opening.is_late(now_ms, work_ms) and first is not None and
                      not first.is_late(now_ms, work_ms))
        limit = MAX_REQUESTS_PER_SLOT * self._status.slots
        if has_better or self._expected_requests(now_ms) >= limit:
            return self._turn_away(now_ms, opening, 'last copy')
        return [
            self._log_wait(now_ms, opening, 'opening handed over', 'last copy')
        ] + self._admit(now_ms, opening)

    def _turn_away(self, now_ms: int, opening: opening_queue.Opening,
                   cause: str) -> actions.Actions:
        """Drops a packet of which a copy comes, and refuses the last copy."""
        if opening.is_last_copy:
            event = self._log_wait(now_ms, opening, 'opening refused', cause)
            return [event] + self._refuse(opening, Reason.BUSY)
        event = self._log_wait(now_ms, opening, 'opening dropped', cause)
        return [event] + self._decline(now_ms, opening)

    def _log_wait(self, now_ms: int, opening: opening_queue.Opening, event: str,
                  cause: str) -> actions.LogEvent:
        return actions.LogEvent(
            event, {
                'flow': self._packets.describe(opening.segment.key),
                'priority': opening.request_class.priority,
                'copies': opening.segment.ack,
                'waited_ms': now_ms - opening.arrived_ms,
                'left_ms': opening.answer_limit_ms - now_ms,
                'work_ms': round(self._work_ms(now_ms)),
                'requests': self._expected_requests(now_ms),
                'waiting': len(self._queue),
                'cause': cause
            })

    def _decline(self, now_ms: int,
                 opening: opening_queue.Opening) -> actions.Actions:
        declined = messages.Declined(
            self._expected_requests(now_ms) + len(self._queue),
            opening.segment.raw)
        return self._reports.send(opening.origins, declined)

    def _is_copy(self, now_ms: int, key: bytes, seq: int) -> bool:
        """Returns whether the target has accepted the opening packet `seq`.

        An opening packet of a later flow from the same address and port has
        another number, unless the client always uses the same one.
        """
        flow = self._table.get(key)
        if flow is None or flow.is_closed or (
                now_ms - flow.opened_ms >= segment_module.OPENING_TIMEOUT_MS):
            return False
        if flow.client_first is None:
            return not flow.is_open
        return flow.client_first == seq

    def _should_decline(self, now_ms: int, opening: opening_queue.Opening,
                        may_decline: bool) -> bool:
        """Returns whether a new flow should go to another target.

        Long flows, and flows of which this is not known yet, are limited only
        where the configuration states what their callers need.

        Args:
          now_ms: Time.
          opening: The opening packet.
          may_decline: Whether the balancer knows further targets.
        """
        cls = opening.request_class
        kind = self._table.history.flow_kind(cls)
        if kind is class_history.FlowKind.SHORT:
            per_slot = SHORT_FLOW_REQUESTS_PER_SLOT
        elif cls.is_stated:
            per_slot = LONG_FLOW_REQUESTS_PER_SLOT
        else:
            return False
        if not may_decline:
            # A class with a stated need waits.
            if cls.is_stated:
                return False
            per_slot = MAX_REQUESTS_PER_SLOT
        limit = per_slot * self._status.slots
        if cls.is_stated and self._has_more_urgent(now_ms, cls.priority):
            limit = max(1, limit - self._status.slots)
        return self._expected_requests(now_ms) >= limit

    def _is_full(self, now_ms: int) -> bool:
        """Returns whether opening packets have to wait for a slot."""
        limit = HANDOVER_REQUESTS_PER_SLOT * self._status.slots
        return self._expected_requests(now_ms) >= limit

    def _has_more_urgent(self, now_ms: int, priority: int) -> bool:
        """Returns whether the target gets flows of a more urgent class."""
        return any(other < priority and now_ms - seen_ms < URGENT_MEMORY_MS
                   for other, seen_ms in self._seen_ms.items())

    def _expected_requests(self, now_ms: int) -> int:
        return (self._table.expected_requests(now_ms) +
                self._pending.opening_count)

    def refusal_reason(self, now_ms: int, tag: int) -> Reason | None:
        """Returns why the target gets no new flow of a service, or None."""
        if tag != self._tag:
            return Reason.OTHER_SERVICE
        if self._status.state is not TargetState.READY:
            return Reason.NOT_READY
        if not self._identity.can_admit(now_ms):
            return Reason.NOT_REGISTERED
        if self._reports.is_zone_out:
            return Reason.ZONE_OUT
        return None

    def _refuse(self, opening: opening_queue.Opening,
                reason: Reason) -> actions.Actions:
        return self._reports.send(
            opening.origins, messages.Refused(reason.value,
                                              opening.segment.raw))

    def _on_unanswered(
            self, now_ms: int, key: bytes,
            delivery: pending_deliveries.PendingDelivery) -> actions.Actions:
        if self._is_copy(now_ms, key, delivery.seq):
            return []
        return self._ownership.probe_target(now_ms) + self._reports.send(
            delivery.origins,
            messages.Refused(Reason.NOT_READY.value, delivery.raw))

    def on_returned(self, segment: segment_module.Segment) -> actions.Actions:
        """Handles an opening packet that the target has returned."""
        opening = self._pending.finish_opening(segment.key)
        raw = self._packets.restore(segment)
        return self._reports.send(opening.origins if opening else (),
                                  messages.Refused(Reason.RETURNED.value, raw))

    def on_timer(self, now_ms: int) -> actions.Actions:
        """Handles opening packets that the target has not accepted in time."""
        result: actions.Actions = []
        for key, delivery in self._pending.openings():
            if now_ms - delivery.sent_ms >= ACCEPT_TIMEOUT_MS:
                self._pending.finish_opening(key)
                result += self._on_unanswered(now_ms, key, delivery)
        result += self.serve_queue(now_ms)
        if self._next_check_ms is not None and now_ms >= self._next_check_ms:
            self._next_check_ms = None
            if self._queue:
                result.append(self._start_check(now_ms))
        return result
