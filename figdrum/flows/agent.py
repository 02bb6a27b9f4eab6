"""An agent's decisions about the packets of its target.

Explanation
===========

The agent alone hands packets to its target, so it keeps the limits that only
one place can keep: no opening packets to a draining, cold or foreign target.
It also knows which flows its target holds. After a restart it does not, and
lets the target answer: a packet of a flow that the target does not hold comes
back from it.
"""

import typing

from figdrum.core import errors
from figdrum.core import ids
from figdrum.flows import actions
from figdrum.flows import cold_limit
from figdrum.flows import flow_table
from figdrum.flows import messages
from figdrum.flows import pending_deliveries as deliveries_module
from figdrum.flows import segment as segment_module
from figdrum.flows import target as target_module
from figdrum.flows import target_status

TargetState = target_module.TargetState
Reason = target_module.RefusalReason

# Time in ms in which a target returns a packet of a flow that it does not hold;
# it answers at once, so this covers the delay of both processes.
RETURN_TIMEOUT_MS = 15

# Time in ms after which a packet that a silent target neither took nor returned
# is forgotten; the client retransmits after 200 ms.
DELIVERY_TIMEOUT_MS = 150

# Time in ms in which a target that lives answers an opening packet.
ACCEPT_TIMEOUT_MS = 60

# A flow is at most so old, in ms; older ones may be discarded. An agent that
# has run for so long has seen all open flows.
FLOW_LIFETIME_MS = 60_000

# A balancer that has sent nothing for this time, in ms, gets no reports. It
# greets the agent each 2.5 s.
BALANCER_TIMEOUT_MS = 8_000

# Shortest time between two reports to one balancer, in ms: an eighth of the
# time over which requests in progress are averaged.
MIN_REPORT_PERIOD_MS = 250

# Time in ms by which a tick may be early for a report.
TICK_TOLERANCE_MS = 25

# Time between the reports of one agent, in ms: with more balancers, each gets
# fewer. 25 reports of 90 bytes a second are 2.2 KB/s of the 5 KB/s for control.
REPORT_SPACING_MS = 40


class _Balancer:
    """A balancer that wants reports.

    Attributes:
      last_heard_ms: When it was last heard.
      report_ms: When it is to get the next report.
    """
    __slots__ = ('last_heard_ms', 'report_ms')

    def __init__(self, now_ms: int):
        self.last_heard_ms = now_ms
        self.report_ms = now_ms


class Agent:
    """Decides on the packets and heartbeats of one target.

    Attributes:
      status: What is known about the target.
    """

    def __init__(self, now_ms: int, packets: segment_module.PacketFormat,
                 zone: ids.ZoneName, service: ids.ServiceName,
                 heartbeat_period_ms: int, is_first_start: bool):
        self.status = target_status.TargetStatus(service, heartbeat_period_ms)
        self._packets = packets
        self._tag = messages.service_tag(service)
        # Flows from before this time may be unknown to the table.
        self._complete_since_ms = now_ms
        if is_first_start:
            self._mark_complete(now_ms)
        self._table = flow_table.FlowTable(now_ms)
        self._cold = cold_limit.ColdLimit()
        self._pending = deliveries_module.PendingDeliveries()
        self._balancers: dict[ids.Address, _Balancer] = {}
        self._zone = zone
        self._stored_target: str | None = None
        self._earlier_target = ''
        self._earlier_flows: tuple[tuple[bytes, int], ...] = ()
        self._agents = 1
        self._registered = ''
        self._knowledge = messages.NO_KNOWLEDGE

    @property
    def flows(self) -> int:
        """Flows in the table."""
        return len(self._table)

    def on_message(self, now_ms: int, origin: ids.Address,
                   data: bytes) -> actions.Actions:
        """Takes a datagram from a balancer."""
        try:
            message = messages.decode(data)
        except errors.MessageError as exc:
            return [
                actions.LogEvent('unreadable message', {'reason': exc.reason})
            ]
        if isinstance(message, messages.Hello):
            return self._on_hello(now_ms, origin, message)
        if not isinstance(message, messages.Ask | messages.Carry):
            return []
        # A balancer that is new here learns what this agent does not know yet.
        result = (self._report(now_ms)
                  if self._note_balancer(now_ms, origin) else [])
        if isinstance(message, messages.Ask):
            return result + self._on_owner_query(now_ms, origin, message)
        segment = self._packets.parse_client(message.raw)
        if segment is None:
            return result
        if segment.is_opening:
            return result + self._on_opening(now_ms, origin, message.tag,
                                             segment)
        return result + self._on_client_packet(now_ms, origin, message.asks,
                                               segment)

    def on_target_packet(self, now_ms: int, raw: bytes) -> actions.Actions:
        """Takes a packet that the target has sent or returned."""
        segment = self._packets.parse_target(raw)
        if segment is None:
            return [actions.LogEvent('unreadable packet', {'bytes': len(raw)})]
        self.status.last_heard_ms = now_ms
        if segment.is_returned:
            return self._on_returned(now_ms, segment)
        result: actions.Actions = [
            actions.SendToClient(self._packets.client_host(segment.key), raw)
        ]
        flow = self._table.get(segment.key)
        if flow is None and not segment.is_reset:
            flow = self._table.open(now_ms, segment.key, self.status.identity)
        if flow is not None:
            was_busy = flow.is_busy
            self._table.record_target_packet(now_ms, flow, segment)
            if was_busy and not flow.is_busy:
                result.append(
                    actions.ObserveHistogram('request_ms',
                                             now_ms - flow.busy_ms))
        trial = self._pending.finish(segment.key)
        if trial is not None and not trial.is_opening:
            result += self._confirm(segment.key, trial)
        return result

    def on_heartbeat(self, now_ms: int, started_ms: int,
                     heartbeat: target_module.Heartbeat) -> actions.Actions:
        """Takes what the target says about itself.

        Args:
          now_ms: Time.
          started_ms: Start of the target's incarnation, by its own clock.
          heartbeat: The heartbeat.
        """
        if self.status.is_stale(started_ms, heartbeat):
            return []
        before = self.status.identity
        last_ms = self.status.heartbeat_ms
        changed = self.status.apply_heartbeat(now_ms, started_ms, heartbeat)
        result: actions.Actions = []
        if self.status.identity != before:
            result += self._on_incarnation(now_ms, before, last_ms)
        if changed:
            result += self._announce(now_ms, 'heartbeat')
        return result

    def on_leave(self, now_ms: int) -> actions.Actions:
        """Notes that the target is about to exit."""
        self.status.state = TargetState.DOWN
        return self._announce(now_ms, 'leave')

    @property
    def open_flows(self) -> tuple[tuple[bytes, int], ...]:
        """Key and the client's last acknowledgement of each open flow."""
        return tuple((flow.key, flow.client_ack)
                     for flow in self._table.flows()
                     if flow.is_open and not flow.is_closed)

    @property
    def has_balancers(self) -> bool:
        """Whether a balancer was heard lately."""
        return bool(self._balancers)

    @property
    def agents(self) -> int:
        """Agents of the installation, as balancers say."""
        return self._agents

    def on_stored_flows(
            self, now_ms: int, identity: str,
            flows: tuple[tuple[bytes, int], ...]) -> actions.Actions:
        """Takes the flows that a target had before this process started.

        Args:
          now_ms: Time.
          identity: Identity of that target's incarnation.
          flows: Key and the client's last acknowledgement of each.
        """
        self._earlier_target, self._earlier_flows = identity, flows
        return self._reset_earlier_flows(now_ms)

    def _reset_earlier_flows(self, now_ms: int) -> actions.Actions:
        if (not self._earlier_flows or self.status.heartbeat_ms is None or
                self.status.identity == self._earlier_target):
            return []
        lost = [(key, ack)
                for key, ack in self._earlier_flows
                if self._table.get(key) is None]
        self._earlier_flows = ()
        return self._reset_flows(now_ms, lost, 'target lost before the start')

    def on_stored_target(self, now_ms: int, identity: str) -> None:
        """Takes the target that the store names, before this agent writes.

        Explanation
        ===========

        An agent admits flows to a target that is warming up only once the store
        names it. So if the store names another one while the target is still
        warming up, no earlier process has admitted flows to it, and this one
        has seen them all.

        Args:
          now_ms: Time.
          identity: Identity that the store names, empty for none.
        """
        self._stored_target = self._registered = identity
        self._check_table_complete(now_ms)

    def on_registration_stored(self, identity: str) -> None:
        """Notes that the store names an incarnation of the target."""
        self._registered = identity

    def _check_table_complete(self, now_ms: int) -> None:
        status = self.status
        if (self._stored_target is not None and status.identity and
                status.identity != self._stored_target and
                status.is_warming_up(now_ms)):
            self._mark_complete(now_ms)

    def _mark_complete(self, now_ms: int) -> None:
        """Notes that the table has all flows from now on."""
        self._complete_since_ms = now_ms - FLOW_LIFETIME_MS

    def _can_admit(self, now_ms: int) -> bool:
        return (self._registered == self.status.identity or
                not self.status.is_warming_up(now_ms))

    def on_registration(self, now_ms: int,
                        registration: target_module.Registration,
                        healthy_name: str) -> actions.Actions:
        """Takes up what an earlier process of this agent had registered.

        Args:
          now_ms: Time.
          registration: The entry in the store.
          healthy_name: Name that the target's health answer gave; empty if it
            did not answer as healthy.
        """
        known = target_status.target_name(registration.target)
        if (self.status.heartbeat_ms is not None or not healthy_name or
                known != healthy_name or
                registration.service != self.status.service):
            return []
        self.status.restore_registration(now_ms, registration)
        return self._announce(now_ms, 'registration')

    def on_probe_result(self, now_ms: int,
                        alive: bool | None) -> actions.Actions:
        """Takes the outcome of a probe.

        Args:
          now_ms: Time.
          alive: True if the target answered, False if its machine refused the
            connection, None if nothing came in time.
        """
        if alive:
            self.status.last_heard_ms = now_ms
            return []
        if alive is None:
            if self.status.was_heard_since_probe():
                return []
            self.status.state = TargetState.DOWN
            return self._announce(now_ms, 'no answer to a probe')
        return self.on_target_gone(now_ms)

    def on_target_gone(self, now_ms: int) -> actions.Actions:
        """Notes that no process listens at the target's address."""
        if self.status.state is TargetState.DOWN and not self.flows:
            return []
        self.status.state = TargetState.DOWN
        # No process holds flows, and those of the next one pass here.
        self._mark_complete(now_ms)
        return (self._announce(now_ms, 'target gone') +
                self._end_flows(now_ms, now_ms, 'target gone'))

    def on_timer(self, now_ms: int) -> actions.Actions:
        """Decides on packets that the target has neither taken nor returned."""
        result: actions.Actions = []
        for key, trial in self._pending.all():
            waited_ms = now_ms - trial.sent_ms
            if trial.is_opening:
                if waited_ms >= ACCEPT_TIMEOUT_MS:
                    self._pending.finish(key)
                    result += self._on_unanswered(now_ms, key, trial)
            elif waited_ms >= RETURN_TIMEOUT_MS and self.status.is_alive(
                    now_ms):
                self._pending.finish(key)
                self._table.open(now_ms, key, self.status.identity)
                result += self._confirm(key, trial)
            elif waited_ms >= DELIVERY_TIMEOUT_MS:
                self._pending.finish(key)
                result += self._probe(now_ms)
        if self._pending:
            result.append(actions.StartTimer(RETURN_TIMEOUT_MS))
        return result

    def on_tick(self, now_ms: int) -> actions.Actions:
        """Reports to balancers that are due; called each 250 ms."""
        result: actions.Actions = []
        if self.status.has_missed_heartbeats(now_ms):
            self.status.state = TargetState.DOWN
            result += self._announce(now_ms, 'heartbeats missed')
        self._table.expire(now_ms)
        self._pending.expire(now_ms)
        return result + self._report(now_ms)

    def _on_opening(self, now_ms: int, origin: ids.Address, tag: int,
                    segment: segment_module.Segment) -> actions.Actions:
        if self._table.get(segment.key) is None:
            reason = self._refusal_reason(now_ms, tag)
            if reason is not None:
                return self._refuse(origin, reason, segment.raw)
        self._pending.start(now_ms, segment.key, True, segment.raw, origin)
        return [
            actions.SendToTarget(segment.raw),
            actions.StartTimer(ACCEPT_TIMEOUT_MS)
        ]

    def _refusal_reason(self, now_ms: int, tag: int) -> Reason | None:
        if tag != self._tag:
            return Reason.OTHER_SERVICE
        if self.status.state is not TargetState.READY:
            return Reason.NOT_READY
        if not self._can_admit(now_ms):
            return Reason.NOT_REGISTERED
        if self._zone in self._knowledge.zones_out:
            return Reason.ZONE_OUT
        if self.status.is_cold(now_ms) and not self._cold.try_acquire(now_ms):
            return Reason.COLD
        return None

    def _refuse(self, origin: ids.Address, reason: Reason,
                raw: bytes) -> actions.Actions:
        message = messages.encode(messages.Refused(reason.value, raw))
        return [actions.SendToPeer(origin, message)]

    def _on_client_packet(self, now_ms: int, origin: ids.Address, asks: bool,
                          segment: segment_module.Segment) -> actions.Actions:
        key = segment.key
        flow = self._current_flow(key)
        if flow is not None and flow.acknowledges(segment.ack):
            was_busy = flow.is_busy
            self._table.record_client_packet(now_ms, flow, segment)
            result: actions.Actions = [actions.SendToTarget(segment.raw)]
            if flow.is_busy and not was_busy:
                result.append(self._note_request(flow, segment.raw))
            if asks:
                result += self._send((origin,), messages.Held(key))
            return result
        ended = self._ended_if_not_held(now_ms, key)
        if ended is not None:
            return self._send((origin,), messages.NotHeld(key, ended))
        if self._pending.start(now_ms, key, False, segment.raw, origin):
            return [
                actions.SendToTarget(segment.raw),
                actions.StartTimer(RETURN_TIMEOUT_MS)
            ]
        return []

    def _note_request(self, flow: flow_table.Flow,
                      raw: bytes) -> actions.LogEvent:
        flow.request = self._packets.request_id(raw)
        return actions.LogEvent(
            'request', {
                'request': flow.request,
                'flow': self._packets.describe(flow.key),
                'target': self.status.identity,
                'busy': self._table.meter.current
            })

    def _on_owner_query(self, now_ms: int, origin: ids.Address,
                        ask: messages.Ask) -> actions.Actions:
        result: actions.Actions = []
        not_held: list[bytes] = []
        unsure: list[bytes] = []
        for key, ack in ask.flows:
            flow = self._current_flow(key)
            if flow is not None and flow.acknowledges(ack):
                result += self._send((origin,), messages.Held(key))
                continue
            ended = self._ended_if_not_held(now_ms, key)
            if ended:
                result += self._send((origin,), messages.NotHeld(key, True))
            else:
                (unsure if ended is None else not_held).append(key)
        if not_held or unsure:
            denial = messages.Denial(tuple(not_held), tuple(unsure))
            result += self._send((origin,), denial)
        return result

    def _current_flow(self, key: bytes) -> flow_table.Flow | None:
        """Returns the flow `key` of the target's present incarnation."""
        flow = self._table.get(key)
        if flow is not None and flow.target == self.status.identity:
            return flow
        return None

    def _ended_if_not_held(self, now_ms: int, key: bytes) -> bool | None:
        """Returns whether a flow that is not held had ended, or None.

        A known flow whose packets acknowledge other numbers is another
        target's.
        """
        if self._current_flow(key) is not None:
            return False
        ended = self._pending.denial(now_ms, key)
        if (ended is None and self._table.get(key) is None and
                self._has_complete_table(now_ms)):
            return False
        return ended

    def _confirm(self, key: bytes,
                 trial: deliveries_module.PendingDelivery) -> actions.Actions:
        result: actions.Actions = [
            actions.SendToTarget(raw) for raw in trial.waiting
        ]
        return result + self._send(trial.origins, messages.Held(key))

    def _on_returned(self, now_ms: int,
                     segment: segment_module.Segment) -> actions.Actions:
        trial = self._pending.finish(segment.key)
        if segment.is_opening:
            raw = self._packets.restore(segment)
            return [
                action for origin in (trial.origins if trial else ())
                for action in self._refuse(origin, Reason.RETURNED, raw)
            ]
        flow = self._table.remove(now_ms, segment.key)
        ended = flow is not None and flow.is_open
        self._pending.add_denial(now_ms, segment.key, ended)
        origins = trial.origins if trial else tuple(self._balancers)
        return self._send(origins, messages.NotHeld(segment.key, ended))

    def _on_unanswered(
            self, now_ms: int, key: bytes,
            trial: deliveries_module.PendingDelivery) -> actions.Actions:
        flow = self._table.get(key)
        if flow is not None and flow.server_first is not None:
            return []
        result = self._probe(now_ms)
        for origin in trial.origins:
            result += self._refuse(origin, Reason.NOT_READY, trial.raw)
        return result

    def _probe(self, now_ms: int) -> actions.Actions:
        return [actions.ProbeTarget()
               ] if self.status.try_start_probe(now_ms) else []

    def _on_incarnation(self, now_ms: int, before: str,
                        last_heartbeat_ms: int | None) -> actions.Actions:
        self._check_table_complete(now_ms)
        note = actions.LogEvent(
            'target started', {
                'target': self.status.identity,
                'sequence': self.status.sequence,
                'before': before
            })
        if before and last_heartbeat_ms is not None:
            # Flows from before the last heartbeat of the earlier incarnation
            # were held by it and ended with it. Later ones are tried.
            self._mark_complete(now_ms)
            return [note] + self._end_flows(now_ms, last_heartbeat_ms,
                                            'target started again')
        if before:
            return [note]
        result = [note] + self._reset_earlier_flows(now_ms)
        # Flows that were seen before the first heartbeat are this target's.
        for flow in self._table.flows():
            flow.target = self.status.identity
        return result

    def _end_flows(self, now_ms: int, opened_before_ms: int,
                   cause: str) -> actions.Actions:
        ended: list[tuple[bytes, int]] = []
        cut: actions.Actions = []
        for flow in self._table.flows():
            if flow.opened_ms >= opened_before_ms:
                continue
            if flow.is_busy:
                cut.append(
                    actions.LogEvent(
                        'request cut', {
                            'request': flow.request,
                            'flow': self._packets.describe(flow.key),
                            'target': flow.target,
                            'cause': cause
                        }))
            self._table.remove(now_ms, flow.key)
            if flow.is_open and not flow.is_closed:
                ended.append((flow.key, flow.client_ack))
        return cut + self._reset_flows(now_ms, ended, cause)

    def _reset_flows(self, now_ms: int, flows: list[tuple[bytes, int]],
                     cause: str) -> actions.Actions:
        result: actions.Actions = []
        for key, ack in flows:
            self._pending.add_denial(now_ms, key, True)
            result.append(
                actions.SendToClient(self._packets.client_host(key),
                                     self._packets.build_reset(key, ack)))
        if result:
            result.append(
                actions.LogEvent(
                    'flows reset', {
                        'cause': cause,
                        'target': self.status.identity,
                        'flows': len(result)
                    }))
        return result

    def _on_hello(self, now_ms: int, origin: ids.Address,
                  hello: messages.Hello) -> actions.Actions:
        self._note_balancer(now_ms, origin)
        if hello.knowledge.version >= self._knowledge.version:
            self._cold.set_rate(hello.cold_limit)
            self._agents = hello.agents
        self._knowledge = messages.merge_knowledge(self._knowledge,
                                                   hello.knowledge)
        return self._report(now_ms)

    def _note_balancer(self, now_ms: int, origin: ids.Address) -> bool:
        """Returns whether nothing had come from this balancer lately."""
        balancer = self._balancers.get(origin)
        if balancer is not None:
            balancer.last_heard_ms = now_ms
            return False
        self._balancers[origin] = _Balancer(now_ms)
        return True

    def _send(self, origins: typing.Iterable[ids.Address],
              message: messages.Message) -> actions.Actions:
        data = messages.encode(message)
        return [actions.SendToPeer(origin, data) for origin in origins]

    def _has_complete_table(self, now_ms: int) -> bool:
        return now_ms - self._complete_since_ms >= FLOW_LIFETIME_MS

    def _make_report(self, now_ms: int) -> messages.Report:
        return messages.Report(self._tag, self.status.identity,
                               self.status.state.value,
                               self.status.is_cold(now_ms),
                               round(self._table.meter.average(now_ms), 2),
                               len(self._table), self.status.slots,
                               self._report_period_ms(), self._knowledge)

    def _report_period_ms(self) -> int:
        return max(MIN_REPORT_PERIOD_MS,
                   REPORT_SPACING_MS * len(self._balancers))

    def _report(self, now_ms: int) -> actions.Actions:
        due: list[ids.Address] = []
        period_ms = self._report_period_ms()
        for origin, balancer in tuple(self._balancers.items()):
            if now_ms - balancer.last_heard_ms > BALANCER_TIMEOUT_MS:
                del self._balancers[origin]
            elif balancer.report_ms <= now_ms:
                # Ticks that come late must not delay the reports after them.
                balancer.report_ms = now_ms + period_ms - TICK_TOLERANCE_MS
                due.append(origin)
        return self._send(due, self._make_report(now_ms)) if due else []

    def _announce(self, now_ms: int, cause: str) -> actions.Actions:
        note = actions.LogEvent(
            'target state', {
                'target': self.status.identity,
                'state': self.status.state.value,
                'cold': self.status.is_cold(now_ms),
                'cause': cause
            })
        for balancer in self._balancers.values():
            balancer.report_ms = now_ms
        return [note, actions.SaveRegistration()] + self._report(now_ms)
