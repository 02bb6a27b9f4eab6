"""Forwards and admits the packets of an agent's target.

Explanation
===========

All packets to a target pass through its agent, so the agent enforces the limits
on opening packets: none to a draining target or to a target of another service,
and a limited rate to a cold one. The agent also tracks which flows its target
holds. After a restart that table is empty. The agent then forwards a packet of
an unknown flow to the target, which returns it if it does not hold the flow.

Which target runs beside the agent is for that target to say. A heartbeat with
another name counts only once the target's health response has that name, and
flows are reset only if the name has changed between two such responses.
"""

import typing

from figdrum.core import checks
from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import revisions
from figdrum.flows import actions
from figdrum.flows import cold_limit
from figdrum.flows import failure_breaker
from figdrum.flows import flow_table
from figdrum.flows import identity_check
from figdrum.flows import messages
from figdrum.flows import pending_deliveries
from figdrum.flows import segment as segment_module
from figdrum.flows import target as target_module
from figdrum.flows import target_status

TargetState = target_module.TargetState
Reason = target_module.RefusalReason

# Time in ms within which a target returns a packet of a flow that it does not
# hold. The target does so at once, so this covers the scheduling delay of both
# processes.
RETURN_TIMEOUT_MS = 15

# Time in ms after which the agent stops waiting for a silent target that has
# neither accepted nor returned a packet. Clients retransmit after 200 ms.
DELIVERY_TIMEOUT_MS = 150

# Time in ms within which a live target answers an opening packet.
ACCEPT_TIMEOUT_MS = 60

# Longest lifetime of a flow in ms; older flows may be discarded. An agent that
# has run for this time has seen the packets of all open flows.
FLOW_LIFETIME_MS = 60_000

# Requests per slot at a target of short flows above which it gets no new flows.
# Six requests of 50 ms, as long as they take on a cold target, wait for 300 ms,
# which is longer than the users' strictest latency target. Longer queues make
# targets refuse requests, which then count as tries of their clients.
MAX_REQUESTS_PER_SLOT = 6

# A balancer that has sent nothing for this time, in ms, gets no further
# reports. Balancers send a hello every 2.5 s.
BALANCER_TIMEOUT_MS = 8_000

# Shortest period of the reports to one balancer, in ms: an eighth of the time
# constant of the average of requests in progress.
MIN_REPORT_PERIOD_MS = 250

# A report is sent by a tick that is at most this early, in ms.
TICK_TOLERANCE_MS = 25

# Shortest time in ms between two reads of the agent's registration because of
# balancers, which all see the same entry.
REGISTRATION_CHECK_PERIOD_MS = 1_000


class _Balancer:
    """A balancer that receives reports.

    Attributes:
      last_heard_ms: Time of its last message.
      next_report_ms: Time at which its next report is due.
    """
    __slots__ = ('last_heard_ms', 'next_report_ms')

    def __init__(self, now_ms: int):
        self.last_heard_ms = now_ms
        self.next_report_ms = now_ms


class _EarlierFlows(typing.NamedTuple):
    """The stored record of flows from before the agent started.

    Attributes:
      target: Identity of the incarnation that held the flows.
      flows: Key and last client acknowledgement of each flow.
    """
    target: str
    flows: tuple[tuple[bytes, int], ...]


class _OwnEntry:
    """What the agent knows of its registration in the store.

    Attributes:
      is_read: Whether the store's entry of when the agent started is known.
        That of a store that was restored may be older than the last one.
      at_start: Identity of the target in it, None without an entry.
      target: Identity of the target that the store is known to hold.
      next_check_ms: Time from which a balancer's request to check it counts.
    """
    __slots__ = ('is_read', 'at_start', 'target', 'next_check_ms')

    def __init__(self, now_ms: int):
        self.is_read = False
        self.at_start: str | None = None
        self.target = ''
        self.next_check_ms = now_ms


class Agent:
    """Handles the packets and heartbeats of one target.

    Attributes:
      status: Last known state of the target.
    """

    def __init__(self, now_ms: int, packets: segment_module.PacketFormat,
                 zone: ids.ZoneName, service: ids.ServiceName,
                 heartbeat_period_ms: int, is_first_start: bool):
        self.status = target_status.TargetStatus(service, heartbeat_period_ms)
        self._packets = packets
        self._tag = messages.service_tag(service)
        self._is_first_start = is_first_start
        # The table has all flows that were opened since this time.
        self._complete_since_ms = now_ms
        self._table = flow_table.FlowTable(now_ms)
        self._cold_limit = cold_limit.ColdLimit()
        self._breaker = failure_breaker.FailureBreaker()
        self._pending = pending_deliveries.PendingDeliveries()
        self._identity_check = identity_check.IdentityCheck(heartbeat_period_ms)
        self._balancers: dict[ids.Address, _Balancer] = {}
        self._zone = zone
        self._own_entry = _OwnEntry(now_ms)
        self._earlier = _EarlierFlows('', ())
        self._agent_count = 1
        self._knowledge = messages.NO_KNOWLEDGE

    @property
    def flow_count(self) -> int:
        """Number of flows in the table."""
        return len(self._table)

    def on_message(self, now_ms: int, origin: ids.Address,
                   data: bytes) -> actions.Actions:
        """Handles a datagram from a balancer."""
        try:
            message = messages.decode(data)
        except errors.MessageError as exc:
            return [
                actions.LogEvent('unreadable message', {'reason': exc.reason})
            ]
        if isinstance(message, messages.Hello):
            return self._on_hello(now_ms, origin, message)
        if isinstance(message, messages.CheckRegistration):
            return self._on_registration_check(now_ms)
        if not isinstance(message, messages.Ask | messages.ForwardedPacket):
            return []
        # A new balancer gets a report at once. It tells the balancer which
        # versions this agent does not have yet.
        result = (self._send_due_reports(now_ms) if self._record_balancer(
            now_ms, origin) else [])
        if isinstance(message, messages.Ask):
            return result + self._on_owner_query(now_ms, origin, message)
        segment = self._packets.parse_client(message.raw)
        if segment is None:
            return result
        if segment.is_opening:
            return result + self._on_opening(now_ms, origin, message, segment)
        return result + self._on_client_packet(now_ms, origin,
                                               message.wants_reply, segment)

    def on_target_packet(self, now_ms: int, raw: bytes) -> actions.Actions:
        """Handles a packet that the target has sent or returned."""
        segment = self._packets.parse_target(raw)
        if segment is None:
            return [actions.LogEvent('unreadable packet', {'bytes': len(raw)})]
        self.status.last_heard_ms = now_ms
        if segment.is_returned:
            return self._on_returned(now_ms, segment)
        result: actions.Actions = [
            actions.SendToClient(self._packets.client_host(segment.key), raw)
        ]
        opening = None
        if segment.is_accepting or segment.is_reset:
            opening = self._pending.finish_opening(segment.key)
        flow = self._table.get(segment.key)
        if flow is None:
            is_new = not segment.is_reset
        else:
            is_new = (segment.is_accepting and
                      not flow.is_accepted_with(segment.seq))
        if is_new:
            flow = self._table.open(now_ms, segment.key, self.status.identity)
        if flow is not None:
            if opening is not None and segment.is_accepting:
                flow.client_first = opening.seq
            was_busy = flow.is_busy
            if self._table.record_target_packet(now_ms, flow, segment):
                result += self._on_request_broken(now_ms, flow)
            elif was_busy and not flow.is_busy:
                self._breaker.record_answer()
                result.append(
                    actions.ObserveHistogram('request_ms',
                                             now_ms - flow.request_started_ms))
        trial = self._pending.finish_trial(segment.key, segment.seq)
        if trial is not None:
            result += self._confirm_held(segment.key, trial)
        return result

    def on_heartbeat(self, now_ms: int, started_ms: int,
                     heartbeat: target_module.Heartbeat) -> actions.Actions:
        """Handles a heartbeat; ignores one that is stale or not the target's.

        Args:
          now_ms: Time.
          started_ms: Start of the target's incarnation, by the target's clock.
          heartbeat: The heartbeat.
        """
        if heartbeat.target not in (self._identity_check.stated_name,
                                    self.status.name):
            return self._on_unconfirmed(now_ms, started_ms, heartbeat)
        if heartbeat.target == self.status.name:
            if self.status.is_stale(started_ms, heartbeat):
                if self.status.state is not TargetState.DOWN:
                    return []
                # The target's clock may have been set back before its start.
                return self._on_unconfirmed(now_ms, started_ms, heartbeat)
            if (started_ms == self.status.started_ms and
                    heartbeat.service != self.status.service):
                return self._refuse_heartbeat(heartbeat, 'other service')
        result = self._apply_heartbeat(now_ms, started_ms, heartbeat)
        if not self.status.is_confirmed:
            result += self._ask_for_name(now_ms)
        return result

    def _on_unconfirmed(self, now_ms: int, started_ms: int,
                        heartbeat: target_module.Heartbeat) -> actions.Actions:
        """Keeps a heartbeat until the target has said whether it is its own."""
        self._identity_check.add(now_ms, started_ms, heartbeat)
        repeated = self._identity_check.take_repeated(
            now_ms, self.status.last_heartbeat_ms)
        if repeated is not None:
            return self._apply_heartbeat(now_ms, repeated.started_ms,
                                         repeated.heartbeat)
        return self._refuse_heartbeat(
            heartbeat, 'target not confirmed') + self._ask_for_name(now_ms)

    def _refuse_heartbeat(self, heartbeat: target_module.Heartbeat,
                          reason: str) -> actions.Actions:
        return [
            actions.LogEvent(
                'heartbeat refused', {
                    'sender': checks.show(heartbeat.target),
                    'service': checks.show(heartbeat.service),
                    'target': self.status.identity,
                    'reason': reason
                }),
            actions.RefuseHeartbeat()
        ]

    def _ask_for_name(self, now_ms: int) -> actions.Actions:
        return [actions.IdentifyTarget()
               ] if self._identity_check.try_start_query(now_ms) else []

    def on_identified(self, now_ms: int, name: str) -> actions.Actions:
        """Handles the name in a health response of the target."""
        confirmed = self._identity_check.on_stated(name)
        result: actions.Actions = []
        if name == self.status.name and not self.status.is_confirmed:
            self.status.is_confirmed = True
            self._check_table_complete(now_ms)
            result += self._reset_earlier_flows(now_ms)
        if confirmed is not None and not self._is_overtaken(confirmed):
            result += self._apply_heartbeat(now_ms, confirmed.started_ms,
                                            confirmed.heartbeat)
        return result

    def _is_overtaken(self, item: identity_check.Unconfirmed) -> bool:
        return (item.heartbeat.target == self.status.name and
                self.status.state is not TargetState.DOWN and
                self.status.is_stale(item.started_ms, item.heartbeat))

    def _apply_heartbeat(self, now_ms: int, started_ms: int,
                         heartbeat: target_module.Heartbeat) -> actions.Actions:
        before = self.status.identity
        lived_until_ms = (self.status.lived_until_ms
                          if self.status.is_confirmed else None)
        changed = self.status.apply_heartbeat(now_ms, started_ms, heartbeat)
        result: actions.Actions = []
        if self.status.identity != before:
            self.status.is_confirmed = (
                heartbeat.target == self._identity_check.stated_name)
            result += self._on_incarnation(now_ms, before, lived_until_ms)
        if changed:
            result += self._announce_state(now_ms, 'heartbeat')
        return result

    def on_leave(self, now_ms: int, name: str) -> actions.Actions:
        """Marks the target as down, if it is the one that is about to exit."""
        if not self.status.identity:
            return []
        if name != self.status.name:
            return [
                actions.LogEvent('leave refused', {
                    'sender': checks.show(name),
                    'target': self.status.identity
                }),
                actions.RefuseHeartbeat()
            ]
        self.status.state = TargetState.DOWN
        return self._announce_state(now_ms, 'leave')

    @property
    def open_flows(self) -> tuple[tuple[bytes, int], ...]:
        """Key and last client acknowledgement of each open flow."""
        return tuple((flow.key, flow.client_ack)
                     for flow in self._table.flows()
                     if flow.is_open and not flow.is_closed)

    @property
    def has_short_flows(self) -> bool:
        """Whether most flows are closed after their first request."""
        return self._table.has_short_flows

    @property
    def has_balancers(self) -> bool:
        """Whether a balancer has sent a message recently."""
        return bool(self._balancers)

    @property
    def agent_count(self) -> int:
        """Number of agents in the installation, as balancers report it."""
        return self._agent_count

    def on_stored_flows(self, now_ms: int, identity: str,
                        flows: tuple[tuple[bytes, int], ...],
                        has_short_flows: bool) -> actions.Actions:
        """Handles the stored record of flows from before this process started.

        The flows are reset once a heartbeat shows that the target has another
        incarnation than the one that held them.

        Args:
          now_ms: Time.
          identity: Identity of the incarnation that held the flows.
          flows: Key and last client acknowledgement of each flow.
          has_short_flows: Whether its flows were short.
        """
        self._earlier = _EarlierFlows(identity, flows)
        if has_short_flows:
            self._table.assume_short_flows()
        return self._reset_earlier_flows(now_ms)

    def _reset_earlier_flows(self, now_ms: int) -> actions.Actions:
        if (not self._earlier.flows or self.status.last_heartbeat_ms is None or
                not self._is_other_target(self._earlier.target)):
            return []
        lost = [(key, ack)
                for key, ack in self._earlier.flows
                if self._table.get(key) is None]
        self._earlier = _EarlierFlows('', ())
        return self._reset_flows(now_ms, lost,
                                 'target lost before the agent started')

    def on_stored_target(self,
                         now_ms: int,
                         identity: str | None,
                         is_restored: bool = False) -> actions.Actions:
        """Handles the registration that the store held when the agent started.

        Explanation
        ===========

        An agent admits flows to a target that is warming up only once the
        target is registered in the store. So if the store still has another
        incarnation while the target is warming up, no earlier process has
        admitted flows to it, and this agent has seen all of them.

        A process that starts again may have the settings of its first start. If
        an earlier one has registered itself, this one is not the first.

        A store that was restored may lack what an earlier process has written.
        So it proves nothing, and an agent that it lacks registers at once: the
        target may hold flows, whose owner balancers look for among the
        registered agents.

        Args:
          now_ms: Time.
          identity: Identity of the registered incarnation, empty if the agent
            had none when it registered, None if it has not registered.
          is_restored: Whether the store was ever restored from a copy.
        """
        self._own_entry.target = identity or ''
        if is_restored:
            return [actions.SaveRegistration()
                   ] if identity is None and not self.status.identity else []
        self._own_entry.is_read = True
        self._own_entry.at_start = identity
        if self._is_first_start and identity is None:
            self._mark_table_complete(now_ms)
        self._check_table_complete(now_ms)
        return []

    def _on_registration_check(self, now_ms: int) -> actions.Actions:
        if now_ms < self._own_entry.next_check_ms:
            return []
        self._own_entry.next_check_ms = now_ms + REGISTRATION_CHECK_PERIOD_MS
        return [actions.VerifyRegistration()]

    def on_registration_stored(self, identity: str) -> None:
        """Records which incarnation of the target the store now holds."""
        self._own_entry.target = identity

    def _check_table_complete(self, now_ms: int) -> None:
        if (self._own_entry.is_read and
                self._is_other_target(self._own_entry.at_start or '') and
                self.status.is_warming_up(now_ms)):
            self._mark_table_complete(now_ms)

    def _mark_table_complete(self, now_ms: int) -> None:
        """Records that the table has all open flows from now on."""
        self._complete_since_ms = now_ms - FLOW_LIFETIME_MS

    def _can_admit(self, now_ms: int) -> bool:
        return (self._own_entry.target == self.status.identity or
                not self.status.is_warming_up(now_ms))

    def on_registration(self, now_ms: int,
                        registration: target_module.Registration,
                        healthy_name: str) -> actions.Actions:
        """Restores what an earlier process of this agent had registered.

        The registration is ignored after the first heartbeat, and if its target
        or service differs from that of the health response or the settings.

        Args:
          now_ms: Time.
          registration: The entry in the store.
          healthy_name: Name of the target in its health response; empty if it
            is not healthy.
        """
        registered_name = target_status.target_name(registration.target)
        if (self.status.last_heartbeat_ms is not None or not healthy_name or
                registered_name != healthy_name or
                registration.service != self.status.service):
            return []
        self.status.restore_registration(now_ms, registration)
        self._identity_check.on_stated(healthy_name)
        self.status.is_confirmed = True
        return self._announce_state(now_ms, 'registration')

    def on_probe_result(self, now_ms: int,
                        alive: bool | None) -> actions.Actions:
        """Handles the result of a health probe.

        A target that gets no new flows is enough without a response. Its flows
        stay: it may have closed its health endpoint before its last flow, and
        some systems refuse connections while too many wait.

        Args:
          now_ms: Time.
          alive: True if the target responded, False if its machine refused the
            connection, None if no response came in time.
        """
        if alive:
            self.status.last_heard_ms = now_ms
            return []
        if self.status.was_heard_since_probe():
            return []
        self.status.state = TargetState.DOWN
        return self._announce_state(
            now_ms, 'health probe timed out'
            if alive is None else 'health connection refused')

    def on_target_gone(self, now_ms: int) -> actions.Actions:
        """Marks the target as down: no process has a socket for its flows."""
        if self.status.state is TargetState.DOWN and not self.flow_count:
            return []
        self.status.state = TargetState.DOWN
        # The process that held the flows is gone, and all packets of the next
        # one pass through this agent.
        self._mark_table_complete(now_ms)
        return (self._announce_state(now_ms, 'target gone') +
                self._end_flows(now_ms, now_ms, 'target gone'))

    def on_timer(self, now_ms: int) -> actions.Actions:
        """Handles packets that the target has not accepted or returned."""
        result: actions.Actions = []
        for key, delivery in self._pending.all():
            waited_ms = now_ms - delivery.sent_ms
            if delivery.is_opening:
                if waited_ms >= ACCEPT_TIMEOUT_MS:
                    self._pending.finish_opening(key)
                    result += self._on_unanswered(now_ms, key, delivery)
            elif waited_ms >= RETURN_TIMEOUT_MS and self.status.is_alive(
                    now_ms):
                self._pending.finish_trial(key, delivery.ack)
                flow = self._table.open(now_ms, key, self.status.identity)
                # The server has sent what the client acknowledges.
                flow.server_next = delivery.ack
                result.append(
                    actions.LogEvent('flow taken for held', {
                        'flow': self._packets.describe(key),
                        'waited_ms': waited_ms
                    }))
                result += self._confirm_held(key, delivery)
            elif waited_ms >= DELIVERY_TIMEOUT_MS:
                self._pending.finish_trial(key, delivery.ack)
                result += self._probe(now_ms)
        if self._pending:
            result.append(actions.StartTimer(RETURN_TIMEOUT_MS))
        return result

    def on_tick(self, now_ms: int) -> actions.Actions:
        """Sends the reports that are due; called every 250 ms."""
        result: actions.Actions = []
        if self.status.has_missed_heartbeats(now_ms):
            self.status.state = TargetState.DOWN
            result += self._announce_state(now_ms, 'heartbeats missed')
        if self._breaker.try_end_hold(now_ms):
            # Balancers may choose the target again, for a trial.
            result += self._report_at_once(now_ms)
        self._table.expire(now_ms)
        self._pending.expire(now_ms)
        self._identity_check.expire(now_ms)
        if self._identity_check.has_pending:
            result += self._ask_for_name(now_ms)
        return result + self._send_due_reports(now_ms)

    def _on_opening(self, now_ms: int, origin: ids.Address,
                    message: messages.ForwardedPacket,
                    segment: segment_module.Segment) -> actions.Actions:
        if not self._is_copy(now_ms, segment.key, segment.seq):
            reason = self._refusal_reason(now_ms, message.tag)
            if reason is None and self._should_decline(now_ms,
                                                       message.may_decline):
                declined = messages.Declined(self._expected_requests(now_ms),
                                             segment.raw)
                return self._send((origin,), declined)
            if reason is None and not self._breaker.try_admit(
                    now_ms, message.is_idempotent):
                reason = Reason.FAILING
            is_cold = (self.status.is_cold(now_ms) or
                       self._identity_check.may_be_cold())
            if (reason is None and is_cold and
                    not self._cold_limit.try_acquire(now_ms)):
                reason = Reason.COLD
            if reason is not None:
                return self._refuse(origin, reason, segment.raw)
        self._pending.start_opening(now_ms, segment, origin)
        return [
            actions.SendToTarget(segment.raw),
            actions.StartTimer(ACCEPT_TIMEOUT_MS)
        ]

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

    def _should_decline(self, now_ms: int, may_decline: bool) -> bool:
        """Returns whether a new flow should go to another target or wait.

        The later requests of a long flow load its target, too. Its placement
        therefore follows the balancers' averages, and not whether the target
        has a free slot at the moment.

        Args:
          now_ms: Time.
          may_decline: Whether the balancer knows further targets. Otherwise the
            flow has to be accepted unless too many requests wait.
        """
        limit = self.status.slots * (1
                                     if may_decline else MAX_REQUESTS_PER_SLOT)
        return (self._expected_requests(now_ms) >= limit and
                self._table.has_short_flows)

    def _expected_requests(self, now_ms: int) -> int:
        return (self._table.expected_requests(now_ms) +
                self._pending.opening_count)

    def _refusal_reason(self, now_ms: int, tag: int) -> Reason | None:
        if tag != self._tag:
            return Reason.OTHER_SERVICE
        if self.status.state is not TargetState.READY:
            return Reason.NOT_READY
        if not self._can_admit(now_ms):
            return Reason.NOT_REGISTERED
        if self._zone in self._knowledge.zones_out:
            return Reason.ZONE_OUT
        return None

    def _refuse(self, origin: ids.Address, reason: Reason,
                raw: bytes) -> actions.Actions:
        message = messages.encode(messages.Refused(reason.value, raw))
        return [actions.SendToPeer(origin, message)]

    def _on_client_packet(self, now_ms: int, origin: ids.Address,
                          wants_reply: bool,
                          segment: segment_module.Segment) -> actions.Actions:
        key = segment.key
        flow = self._current_flow(key)
        if flow is not None and flow.acknowledges(segment.ack):
            was_busy = flow.is_busy
            self._table.record_client_packet(now_ms, flow, segment)
            result: actions.Actions = [actions.SendToTarget(segment.raw)]
            if flow.is_busy and not was_busy:
                result.append(self._log_request(flow, segment.raw))
            if wants_reply:
                result += self._send((origin,), messages.Held(key, segment.ack))
            return result
        ended = self._ended_if_not_held(now_ms, key, segment.ack)
        if ended is not None:
            return self._log_denial(flow, key, segment.ack, ended) + self._send(
                (origin,), messages.NotHeld(key, segment.ack, ended))
        if self._pending.start_trial(now_ms, segment, origin):
            return [
                actions.SendToTarget(segment.raw),
                actions.StartTimer(RETURN_TIMEOUT_MS)
            ]
        return []

    def _log_request(self, flow: flow_table.Flow,
                     raw: bytes) -> actions.LogEvent:
        flow.request_id = self._packets.request_id(raw)
        return actions.LogEvent(
            'request', {
                'request': flow.request_id,
                'flow': self._packets.describe(flow.key),
                'target': self.status.identity,
                'busy': self._table.meter.current
            })

    def _on_owner_query(self, now_ms: int, origin: ids.Address,
                        ask: messages.Ask) -> actions.Actions:
        result: actions.Actions = []
        not_held: list[tuple[bytes, int]] = []
        unsure: list[tuple[bytes, int]] = []
        for key, ack in ask.flows:
            flow = self._current_flow(key)
            if flow is not None and flow.acknowledges(ack):
                result += self._send((origin,), messages.Held(key, ack))
                continue
            ended = self._ended_if_not_held(now_ms, key, ack)
            if ended is not None:
                result += self._log_denial(flow, key, ack, ended)
            if ended:
                result += self._send((origin,),
                                     messages.NotHeld(key, ack, True))
            else:
                (unsure if ended is None else not_held).append((key, ack))
        if not_held or unsure:
            denial = messages.Denial(tuple(not_held), tuple(unsure))
            result += self._send((origin,), denial)
        return result

    def _log_denial(self, flow: flow_table.Flow | None, key: bytes, ack: int,
                    ended: bool) -> actions.Actions:
        """Logs the denial of a flow whose addresses and ports are known.

        Denials of other flows are the rule in a search, and are not logged.
        """
        if flow is None and not ended:
            return []
        return [
            actions.LogEvent(
                'flow denied', {
                    'flow': self._packets.describe(key),
                    'ack': ack,
                    'server_first': flow.server_first if flow else None,
                    'closed': flow.is_closed if flow else None,
                    'ended': ended
                })
        ]

    def _current_flow(self, key: bytes) -> flow_table.Flow | None:
        """Returns the flow `key` of the target's current incarnation."""
        flow = self._table.get(key)
        if flow is not None and flow.target == self.status.identity:
            return flow
        return None

    def _ended_if_not_held(self, now_ms: int, key: bytes,
                           ack: int) -> bool | None:
        """Returns whether a flow that the target does not hold has ended.

        The caller has found that the packet does not belong to a flow in the
        table. If the table has a flow with this key, the packet acknowledges
        sequence numbers of another one, which the target does not hold as well.

        Returns:
          True if the target held the flow and it has ended, False if the target
          never held it, None if the agent cannot tell.
        """
        if self._current_flow(key) is not None:
            return False
        ended = self._pending.denied_flow_ended(now_ms, key, ack)
        if (ended is None and self._table.get(key) is None and
                self._has_complete_table(now_ms)):
            return False
        return ended

    def _confirm_held(
            self, key: bytes,
            delivery: pending_deliveries.PendingDelivery) -> actions.Actions:
        result: actions.Actions = [
            actions.SendToTarget(raw) for raw in delivery.buffered_packets
        ]
        return result + self._send(delivery.origins,
                                   messages.Held(key, delivery.ack))

    def _on_returned(self, now_ms: int,
                     segment: segment_module.Segment) -> actions.Actions:
        key, ack = segment.key, segment.ack
        if segment.is_opening:
            opening = self._pending.finish_opening(key)
            raw = self._packets.restore(segment)
            return [
                action for origin in (opening.origins if opening else ())
                for action in self._refuse(origin, Reason.RETURNED, raw)
            ]
        trial = self._pending.finish_trial(key, ack)
        flow = self._table.get(key)
        ended = False
        if flow is not None and flow.acknowledges(ack):
            self._table.remove(now_ms, key)
            ended = flow.is_open
        self._pending.add_denial(now_ms, key, ack, ended)
        origins = trial.origins if trial else tuple(self._balancers)
        return self._log_denial(flow, key, ack, ended) + self._send(
            origins, messages.NotHeld(key, ack, ended))

    def _on_unanswered(
            self, now_ms: int, key: bytes,
            delivery: pending_deliveries.PendingDelivery) -> actions.Actions:
        if self._is_copy(now_ms, key, delivery.seq):
            return []
        result = self._probe(now_ms)
        for origin in delivery.origins:
            result += self._refuse(origin, Reason.NOT_READY, delivery.raw)
        return result

    def _probe(self, now_ms: int) -> actions.Actions:
        return [actions.ProbeTarget()
               ] if self.status.try_start_probe(now_ms) else []

    def _on_incarnation(self, now_ms: int, before: str,
                        lived_until_ms: int | None) -> actions.Actions:
        """Handles a change of the target's identity.

        Flows that were opened while the previous target lived have ended with
        it. Later ones may belong to the new one, and so may all if it has the
        same name: the target returns their packets if it does not hold them.

        Args:
          now_ms: Time.
          before: The previous identity, empty if unknown.
          lived_until_ms: Time until which the previous target is known to have
            lived; None if it is not known to have run beside this agent.
        """
        self._check_table_complete(now_ms)
        self._breaker = failure_breaker.FailureBreaker()
        result: actions.Actions = [
            actions.LogEvent(
                'target started', {
                    'target': self.status.identity,
                    'sequence': self.status.sequence,
                    'before': before
                })
        ]
        result += self._reset_earlier_flows(now_ms)
        if not before:
            # Flows that were seen before the first heartbeat belong to this
            # target.
            for flow in self._table.flows():
                flow.target = self.status.identity
        elif lived_until_ms is not None and self._is_other_target(before):
            self._mark_table_complete(now_ms)
            result += self._end_flows(now_ms, lived_until_ms,
                                      'target restarted')
        return result

    def _is_other_target(self, identity: str) -> bool:
        """Returns whether the target has stated another name than that."""
        return (self.status.is_confirmed and
                target_status.target_name(identity) != self.status.name)

    def _end_flows(self, now_ms: int, opened_before_ms: int,
                   cause: str) -> actions.Actions:
        ended: list[tuple[bytes, int]] = []
        ended_requests: actions.Actions = []
        for flow in self._table.flows():
            if flow.opened_ms >= opened_before_ms:
                continue
            if flow.is_busy:
                ended_requests.append(
                    actions.LogEvent(
                        'request cut', {
                            'request': flow.request_id,
                            'flow': self._packets.describe(flow.key),
                            'target': flow.target,
                            'cause': cause
                        }))
            self._table.remove(now_ms, flow.key)
            if flow.is_open and not flow.is_closed:
                ended.append((flow.key, flow.client_ack))
        return ended_requests + self._reset_flows(now_ms, ended, cause)

    def _reset_flows(self, now_ms: int, flows: list[tuple[bytes, int]],
                     cause: str) -> actions.Actions:
        result: actions.Actions = []
        for key, ack in flows:
            self._pending.add_denial(now_ms, key, ack, True)
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
        self._record_balancer(now_ms, origin)
        if hello.knowledge.version >= self._knowledge.version:
            self._cold_limit.set_rate(hello.cold_limit)
            self._agent_count = hello.agent_count
        era = revisions.era(hello.knowledge.revision)
        is_restored = era > revisions.era(self._knowledge.revision)
        was_out = self._zone in self._knowledge.zones_out
        self._knowledge = messages.merge_knowledge(self._knowledge,
                                                   hello.knowledge)
        result: actions.Actions = []
        if was_out and self._zone not in self._knowledge.zones_out:
            # The zone's targets may have become cold while it was out.
            self.status.forget_warmth(now_ms)
            result.append(
                actions.LogEvent('zone returned',
                                 {'target': self.status.identity}))
            result += self._report_at_once(now_ms)
        result += self._send_due_reports(now_ms)
        if is_restored:
            result.append(actions.CheckStoreEra(era))
        return result

    def _record_balancer(self, now_ms: int, origin: ids.Address) -> bool:
        """Records a message of a balancer; returns whether it is a new one."""
        balancer = self._balancers.get(origin)
        if balancer is not None:
            balancer.last_heard_ms = now_ms
            return False
        self._balancers[origin] = _Balancer(now_ms)
        return True

    def _on_request_broken(self, now_ms: int,
                           flow: flow_table.Flow) -> actions.Actions:
        result: actions.Actions = [
            actions.LogEvent(
                'request broken off', {
                    'request': flow.request_id,
                    'flow': self._packets.describe(flow.key),
                    'target': self.status.identity
                })
        ]
        if self._breaker.record_failure(now_ms):
            result += self._report_at_once(now_ms)
        return result

    def _send(self, origins: typing.Iterable[ids.Address],
              message: messages.Message) -> actions.Actions:
        data = messages.encode(message)
        return [actions.SendToPeer(origin, data) for origin in origins]

    def _has_complete_table(self, now_ms: int) -> bool:
        return now_ms - self._complete_since_ms >= FLOW_LIFETIME_MS

    def _make_report(self, now_ms: int) -> messages.Report:
        state = self.status.state
        if state is TargetState.READY and self._breaker.is_open(now_ms):
            state = TargetState.FAILING
        return messages.Report(self._tag, self.status.identity, state.value,
                               self.status.is_cold(now_ms),
                               round(self._table.meter.average(now_ms), 2),
                               self._table.active_count, self.status.slots,
                               self._report_period_ms(), self._knowledge)

    def _report_period_ms(self) -> int:
        return max(MIN_REPORT_PERIOD_MS,
                   messages.REPORT_SPACING_MS * len(self._balancers))

    def _send_due_reports(self, now_ms: int) -> actions.Actions:
        due: list[ids.Address] = []
        period_ms = self._report_period_ms()
        for origin, balancer in tuple(self._balancers.items()):
            if now_ms - balancer.last_heard_ms > BALANCER_TIMEOUT_MS:
                del self._balancers[origin]
            elif balancer.next_report_ms <= now_ms:
                # After a late tick, the next one would come just before its
                # report is due; the tolerance lets it send the report.
                balancer.next_report_ms = now_ms + period_ms - TICK_TOLERANCE_MS
                due.append(origin)
        return self._send(due, self._make_report(now_ms)) if due else []

    def _announce_state(self, now_ms: int, cause: str) -> actions.Actions:
        log_event = actions.LogEvent(
            'target state', {
                'target': self.status.identity,
                'state': self.status.state.value,
                'cold': self.status.is_cold(now_ms),
                'cause': cause
            })
        return [log_event, actions.SaveRegistration()
               ] + self._report_at_once(now_ms)

    def _report_at_once(self, now_ms: int) -> actions.Actions:
        for balancer in self._balancers.values():
            balancer.next_report_ms = now_ms
        return self._send_due_reports(now_ms)
