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
from figdrum.flows import segment as segment_module
from figdrum.flows import target as target_module

TargetState = target_module.TargetState
Reason = target_module.RefusalReason

# Time in ms in which a target returns a packet of a flow that it does not hold;
# it answers at once, so this covers the delay of both processes.
TRIAL_MS = 15

# Packets of one flow that wait for a trial; an end has 16 in flight at most.
WAITING_PACKETS = 16

# Time in ms after which a packet that a silent target neither took nor returned
# is forgotten; the client retransmits after 200 ms.
TRIAL_LIMIT_MS = 150

# Time in ms for which a flow stays known as not held or ended. The client's
# retransmissions are at most 1.6 s apart.
DENIAL_MS = 2_000

# Time in ms in which a target that lives answers an opening packet.
ACCEPT_MS = 60

# A flow is at most so old, in ms; the platform allows to discard older ones
# (`maxFlowS`). An agent that has run for so long has seen all open flows.
FLOW_LIFETIME_MS = 60_000

# A balancer that has sent nothing for this time, in ms, gets no reports.
BALANCER_SILENCE_MS = 3_000

# Heartbeats that a target may miss before it counts as down.
MISSED_HEARTBEATS = 3

# Time in ms between two probes of one target: each takes a slot.
PROBE_PERIOD_MS = 500


class _Trial:
    """A packet that the target was given without knowing whose flow it is."""
    __slots__ = ('sent_ms', 'origins', 'is_opening', 'raw', 'waiting')

    def __init__(self, now_ms: int, is_opening: bool, raw: bytes):
        self.sent_ms = now_ms
        self.origins: set[ids.Address] = set()
        self.is_opening = is_opening
        self.raw = raw
        self.waiting: list[bytes] = []


class _Denial(typing.NamedTuple):
    """A flow that the target is known not to hold."""
    until_ms: int
    ended: bool


class Agent:
    """Decides on the packets and heartbeats of one target."""

    def __init__(self, now_ms: int, packets: segment_module.PacketFormat,
                 service: ids.ServiceName, heartbeat_ms: int,
                 is_first_start: bool):
        self._packets = packets
        self._service = service
        self._tag = messages.service_tag(service)
        self._heartbeat_ms = heartbeat_ms
        self._started_ms = now_ms
        # Flows from before this time may be unknown to the table.
        self._complete_since_ms = (now_ms -
                                   FLOW_LIFETIME_MS if is_first_start else
                                   now_ms)
        self._table = flow_table.FlowTable(now_ms)
        self._cold = cold_limit.ColdLimit()
        self._trials: dict[bytes, _Trial] = {}
        self._denials: dict[bytes, _Denial] = {}
        self._balancers: dict[ids.Address, int] = {}
        self._knowledge = -1
        self._zone_out = False
        self._target = ''
        self._born_ms = 0
        self._sequence = -1
        self._state = TargetState.UNKNOWN
        self._slots = 1
        self._cold_until_ms: int | None = None
        self._heartbeat_at_ms: int | None = None
        self._heard_ms: int | None = None
        self._probed_ms = -PROBE_PERIOD_MS

    @property
    def state(self) -> TargetState:
        """State of the target."""
        return self._state

    @property
    def target(self) -> str:
        """Identity of the target's incarnation, empty if unknown."""
        return self._target

    @property
    def service(self) -> ids.ServiceName:
        """Service of the target."""
        return self._service

    @property
    def flows(self) -> int:
        """Flows in the table."""
        return len(self._table)

    def is_cold(self, now_ms: int) -> bool:
        """Returns whether the target may have started a short time ago."""
        return self._cold_until_ms is None or now_ms < self._cold_until_ms

    def on_message(self, now_ms: int, origin: ids.Address,
                   data: bytes) -> actions.Actions:
        """Takes a datagram from a balancer."""
        try:
            message = messages.decode(data)
        except errors.MessageError as exc:
            return [actions.Note('unreadable message', {'reason': exc.reason})]
        if isinstance(message, messages.Carry):
            self._balancers[origin] = now_ms
            segment = self._packets.parse_client(message.raw)
            if segment is None:
                return []
            if segment.is_opening:
                return self._on_opening(now_ms, origin, message, segment)
            return self._on_client(now_ms, origin, message, segment)
        if isinstance(message, messages.Hello):
            return self._on_hello(now_ms, origin, message)
        return []

    def on_target_packet(self, now_ms: int, raw: bytes) -> actions.Actions:
        """Takes a packet that the target has sent or returned."""
        segment = self._packets.parse_target(raw)
        if segment is None:
            return [actions.Note('unreadable packet', {'bytes': len(raw)})]
        self._heard_ms = now_ms
        if segment.is_returned:
            return self._on_returned(now_ms, segment)
        result: actions.Actions = [
            actions.ToClient(self._packets.client_host(segment.key), raw)
        ]
        flow = self._table.get(segment.key)
        trial = self._trials.pop(segment.key, None)
        if flow is None and not segment.is_reset:
            flow = self._table.open(now_ms, segment.key, self._target)
        if flow is not None:
            self._table.note_target(now_ms, flow, segment)
        if trial is not None and not trial.is_opening:
            result += self._confirm(segment.key, trial)
        return result

    def on_heartbeat(
            self, now_ms: int, born_ms: int,
            heartbeat: target_module.Heartbeat) -> actions.Actions:
        """Takes what the target says about itself.

        Args:
          now_ms: Time.
          born_ms: Start of the target's incarnation, by its own clock.
          heartbeat: The heartbeat.
        """
        identity = f'{heartbeat.target}@{born_ms}'
        if identity == self._target:
            if heartbeat.sequence < self._sequence:
                return []
        elif born_ms < self._born_ms:
            # A delayed heartbeat of an incarnation that has been replaced.
            return []
        result: actions.Actions = []
        before = (self._target, self._state, self.is_cold(now_ms))
        if identity != self._target:
            result += self._on_incarnation(now_ms, identity, born_ms)
        self._sequence = heartbeat.sequence
        self._slots = max(1, heartbeat.slots)
        self._heartbeat_at_ms = self._heard_ms = now_ms
        self._cold_until_ms = now_ms + heartbeat.warmup_left_ms
        self._state = (heartbeat.state if heartbeat.service == self._service
                       else TargetState.UNKNOWN)
        if (self._target, self._state, self.is_cold(now_ms)) != before:
            result += self._announce(now_ms, 'heartbeat')
        return result

    def on_leave(self, now_ms: int) -> actions.Actions:
        """Notes that the target is about to exit."""
        self._state = TargetState.DOWN
        return self._announce(now_ms, 'leave')

    def on_registration(
            self, now_ms: int,
            registration: target_module.Registration,
            healthy_target: str) -> actions.Actions:
        """Takes up what an earlier process of this agent had registered.

        Args:
          now_ms: Time.
          registration: The entry in the store.
          healthy_target: Identity that the target's health answer gave, without
            the time of its start; empty if it did not answer as healthy.
        """
        known = registration.target.rpartition('@')[0]
        if (self._heartbeat_at_ms is not None or not healthy_target or
                known != healthy_target or
                registration.service != self._service):
            return []
        self._target = registration.target
        self._state = registration.state
        self._heard_ms = now_ms
        if not registration.is_cold:
            self._cold_until_ms = now_ms
        return self._announce(now_ms, 'registration')

    def on_probe(self, now_ms: int, alive: bool | None) -> actions.Actions:
        """Takes the outcome of a probe.

        Args:
          now_ms: Time.
          alive: True if the target answered, False if its machine refused the
            connection, None if nothing came in time.
        """
        if alive:
            self._heard_ms = now_ms
            return []
        if alive is None:
            if (self._heard_ms is not None and
                    now_ms - self._heard_ms < PROBE_PERIOD_MS):
                return []
            self._state = TargetState.DOWN
            return self._announce(now_ms, 'no answer to a probe')
        return self.on_target_gone(now_ms)

    def on_target_gone(self, now_ms: int) -> actions.Actions:
        """Notes that no process listens at the target's address."""
        if self._state is TargetState.DOWN and not len(self._table):
            return []
        self._state = TargetState.DOWN
        return (self._announce(now_ms, 'target gone') +
                self._end_flows(now_ms, now_ms))

    def on_due(self, now_ms: int) -> actions.Actions:
        """Decides on packets that the target has neither taken nor returned."""
        result: actions.Actions = []
        for key, trial in tuple(self._trials.items()):
            waited_ms = now_ms - trial.sent_ms
            if trial.is_opening:
                if waited_ms >= ACCEPT_MS:
                    del self._trials[key]
                    result += self._on_unanswered(now_ms, key, trial)
            elif waited_ms >= TRIAL_MS and self._is_alive(now_ms):
                del self._trials[key]
                self._table.open(now_ms, key, self._target)
                result += self._confirm(key, trial)
            elif waited_ms >= TRIAL_LIMIT_MS:
                del self._trials[key]
                result += self._probe(now_ms)
        if self._trials:
            result.append(actions.Wake(TRIAL_MS))
        return result

    def on_tick(self, now_ms: int) -> actions.Actions:
        """Reports to the balancers; called each 250 ms."""
        result: actions.Actions = []
        limit_ms = MISSED_HEARTBEATS * self._heartbeat_ms
        if (self._state in (TargetState.READY, TargetState.DRAINING) and
                self._heartbeat_at_ms is not None and
                now_ms - self._heartbeat_at_ms > limit_ms):
            self._state = TargetState.DOWN
            result += self._announce(now_ms, 'heartbeats missed')
        self._table.expire(now_ms)
        for key, denial in tuple(self._denials.items()):
            if denial.until_ms <= now_ms:
                del self._denials[key]
        return result + self._report(now_ms)

    def _on_opening(self, now_ms: int, origin: ids.Address,
                    carry: messages.Carry,
                    segment: segment_module.Segment) -> actions.Actions:
        flow = self._table.get(segment.key)
        if flow is None:
            reason = self._refusal(now_ms, carry.tag)
            if reason is not None:
                return self._refuse(origin, reason, segment.raw)
        trial = self._trials.get(segment.key)
        if trial is None:
            trial = _Trial(now_ms, True, segment.raw)
            self._trials[segment.key] = trial
        trial.origins.add(origin)
        self._denials.pop(segment.key, None)
        return [actions.ToTarget(segment.raw), actions.Wake(ACCEPT_MS)]

    def _refusal(self, now_ms: int, tag: int) -> Reason | None:
        if tag != self._tag:
            return Reason.OTHER_SERVICE
        if self._state is not TargetState.READY:
            return Reason.NOT_READY
        if self._zone_out:
            return Reason.ZONE_OUT
        if self.is_cold(now_ms) and not self._cold.take(now_ms):
            return Reason.COLD
        return None

    def _refuse(self, origin: ids.Address, reason: Reason,
                raw: bytes) -> actions.Actions:
        message = messages.encode(messages.Refused(reason.value, raw))
        return [actions.ToPeer(origin, message)]

    def _on_client(self, now_ms: int, origin: ids.Address,
                   carry: messages.Carry,
                   segment: segment_module.Segment) -> actions.Actions:
        flow = self._table.get(segment.key)
        if flow is not None and flow.target == self._target:
            if not flow.acknowledges(segment):
                return self._deny(origin, segment.key, False)
            self._table.note_client(now_ms, flow, segment)
            result: actions.Actions = [actions.ToTarget(segment.raw)]
            if carry.asks:
                result += self._tell((origin,), messages.Held(segment.key))
            return result
        denial = self._denials.get(segment.key)
        if denial is not None and denial.until_ms > now_ms:
            return self._deny(origin, segment.key, denial.ended)
        if flow is None and self._remembers_all(now_ms):
            return self._deny(origin, segment.key, False)
        return self._try(now_ms, origin, segment)

    def _try(self, now_ms: int, origin: ids.Address,
             segment: segment_module.Segment) -> actions.Actions:
        trial = self._trials.get(segment.key)
        if trial is not None:
            # One packet shows whether the target holds the flow.
            trial.origins.add(origin)
            if len(trial.waiting) < WAITING_PACKETS:
                trial.waiting.append(segment.raw)
            return []
        trial = _Trial(now_ms, False, segment.raw)
        trial.origins.add(origin)
        self._trials[segment.key] = trial
        return [actions.ToTarget(segment.raw), actions.Wake(TRIAL_MS)]

    def _confirm(self, key: bytes, trial: _Trial) -> actions.Actions:
        result: actions.Actions = [
            actions.ToTarget(raw) for raw in trial.waiting
        ]
        return result + self._tell(trial.origins, messages.Held(key))

    def _on_returned(self, now_ms: int,
                     segment: segment_module.Segment) -> actions.Actions:
        trial = self._trials.pop(segment.key, None)
        raw = self._packets.restore(segment)
        if segment.is_opening:
            origins = trial.origins if trial else ()
            return [
                action for origin in origins
                for action in self._refuse(origin, Reason.RETURNED, raw)
            ]
        flow = self._table.remove(now_ms, segment.key)
        ended = flow is not None and flow.is_open
        self._denials[segment.key] = _Denial(now_ms + DENIAL_MS, ended)
        origins = trial.origins if trial else tuple(self._balancers)
        return self._tell(origins, messages.NotHeld(segment.key, ended))

    def _on_unanswered(self, now_ms: int, key: bytes,
                       trial: _Trial) -> actions.Actions:
        flow = self._table.get(key)
        if flow is not None and flow.server_first is not None:
            return []
        result = self._probe(now_ms)
        for origin in trial.origins:
            result += self._refuse(origin, Reason.NOT_READY, trial.raw)
        return result

    def _probe(self, now_ms: int) -> actions.Actions:
        if now_ms - self._probed_ms < PROBE_PERIOD_MS:
            return []
        self._probed_ms = now_ms
        return [actions.Probe()]

    def _on_incarnation(self, now_ms: int, identity: str,
                        born_ms: int) -> actions.Actions:
        result: actions.Actions = [
            actions.Note('target started', {
                'target': identity,
                'before': self._target
            })
        ]
        if self._target and self._heartbeat_at_ms is not None:
            # Flows from before the last heartbeat of the earlier incarnation
            # were held by it and ended with it. Later ones are tried.
            result += self._end_flows(now_ms, self._heartbeat_at_ms)
            self._complete_since_ms = now_ms - FLOW_LIFETIME_MS
        elif self._target:
            self._complete_since_ms = now_ms
        else:
            # Flows that were seen before the first heartbeat are this target's.
            for flow in self._table.flows():
                flow.target = identity
        self._target = identity
        self._born_ms = born_ms
        self._sequence = -1
        return result

    def _end_flows(self, now_ms: int, opened_before_ms: int) -> actions.Actions:
        result: actions.Actions = []
        for flow in self._table.flows():
            if flow.opened_ms >= opened_before_ms:
                continue
            self._table.remove(now_ms, flow.key)
            if flow.is_closed or not flow.is_open:
                continue
            self._denials[flow.key] = _Denial(now_ms + DENIAL_MS, True)
            result.append(
                actions.ToClient(
                    self._packets.client_host(flow.key),
                    self._packets.build_reset(flow.key, flow.client_ack)))
        if result:
            result.append(
                actions.Note('flows ended with their target', {
                    'target': self._target,
                    'flows': len(result)
                }))
        return result

    def _on_hello(self, now_ms: int, origin: ids.Address,
                  hello: messages.Hello) -> actions.Actions:
        is_new = origin not in self._balancers
        self._balancers[origin] = now_ms
        if hello.knowledge >= self._knowledge:
            self._knowledge = hello.knowledge
            self._zone_out = hello.is_zone_out
            self._cold.set_rate(hello.cold_limit)
        if is_new:
            return self._tell((origin,), self._make_report(now_ms))
        return []

    def _deny(self, origin: ids.Address, key: bytes,
              ended: bool) -> actions.Actions:
        return self._tell((origin,), messages.NotHeld(key, ended))

    def _tell(self, origins: typing.Iterable[ids.Address],
              message: messages.Message) -> actions.Actions:
        data = messages.encode(message)
        return [actions.ToPeer(origin, data) for origin in origins]

    def _remembers_all(self, now_ms: int) -> bool:
        return now_ms - self._complete_since_ms >= FLOW_LIFETIME_MS

    def _is_alive(self, now_ms: int) -> bool:
        return (self._heard_ms is not None and
                self._state is not TargetState.DOWN and
                now_ms - self._heard_ms <
                MISSED_HEARTBEATS * self._heartbeat_ms)

    def _make_report(self, now_ms: int) -> messages.Report:
        return messages.Report(self._tag, self._target, self._state.value,
                               self.is_cold(now_ms),
                               round(self._table.meter.average(now_ms), 2),
                               len(self._table), self._slots)

    def _report(self, now_ms: int) -> actions.Actions:
        for origin, heard_ms in tuple(self._balancers.items()):
            if now_ms - heard_ms > BALANCER_SILENCE_MS:
                del self._balancers[origin]
        return self._tell(self._balancers, self._make_report(now_ms))

    def _announce(self, now_ms: int, cause: str) -> actions.Actions:
        return [
            actions.Note(
                'target state', {
                    'target': self._target,
                    'state': self._state.value,
                    'cold': self.is_cold(now_ms),
                    'cause': cause
                }),
            actions.Register()
        ] + self._report(now_ms)
