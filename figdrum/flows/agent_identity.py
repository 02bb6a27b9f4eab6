"""Keeps an agent's knowledge of which target runs beside it, and registers it.

Explanation
===========

Which target runs beside the agent is for that target to say. A heartbeat with
another name counts only once the target's health response has that name, and
flows are reset only if the name has changed between two such responses.

A target that was lost before the agent started says nothing. Its machine then
refuses a datagram for it, which proves that no process has the target's socket.
The registered incarnation does not hold the flows of an earlier agent process:
it had its socket when it accepted them, and keeps it until it exits.
"""

from figdrum.core import checks
from figdrum.flows import actions
from figdrum.flows import agent_ownership
from figdrum.flows import agent_reports
from figdrum.flows import failure_breaker
from figdrum.flows import flow_table
from figdrum.flows import identity_check
from figdrum.flows import target as target_module
from figdrum.flows import target_status

TargetState = target_module.TargetState

# Shortest time in ms between two reads of the agent's registration because of
# balancers, which all see the same entry.
REGISTRATION_CHECK_PERIOD_MS = 1_000


class _OwnEntry:
    """What the agent knows of its registration in the store.

    Attributes:
      started_ms: Start of the agent's process.
      is_answered: Whether the store has answered the read at the start.
      is_read: Whether the store's entry of when the agent started is known.
        That of a store that was restored may be older than the last one.
      at_start: Identity of the target in it, None without an entry or before
        it is read.
      target: Identity of the target that the store is known to hold.
      may_say_left: Whether the entry may say that the target has left.
      next_check_ms: Time from which a balancer's request to check it counts.
      refused_ms: Time at which the target's machine refused a datagram before
        the entry was read, or None.
    """
    __slots__ = ('started_ms', 'is_answered', 'is_read', 'at_start', 'target',
                 'may_say_left', 'next_check_ms', 'refused_ms')

    def __init__(self, now_ms: int):
        self.started_ms = now_ms
        self.is_answered = False
        self.refused_ms: int | None = None
        self.is_read = False
        self.at_start: str | None = None
        self.target = ''
        self.may_say_left = False
        self.next_check_ms = now_ms


class Identity:
    """The target's identity and state, and the agent's registration."""

    def __init__(self, now_ms: int, heartbeat_period_ms: int,
                 is_first_start: bool, status: target_status.TargetStatus,
                 table: flow_table.FlowTable,
                 breaker: failure_breaker.FailureBreaker,
                 reports: agent_reports.Reports,
                 ownership: agent_ownership.Ownership):
        self._is_first_start = is_first_start
        self._status = status
        self._table = table
        self._breaker = breaker
        self._reports = reports
        self._ownership = ownership
        self._identity_check = identity_check.IdentityCheck(heartbeat_period_ms)
        self._own_entry = _OwnEntry(now_ms)

    @property
    def may_be_cold(self) -> bool:
        """Whether a target that may have replaced the known one warms up."""
        return self._identity_check.may_be_cold()

    @property
    def early_name(self) -> str:
        """Name that the target has stated before its first heartbeat, or ''."""
        return '' if self._status.identity else self._identity_check.stated_name

    def has_replaced(self, identity: str) -> bool:
        """Returns whether that target is gone or replaced by another one."""
        if self._ownership.is_absent(identity):
            return True
        if self.early_name:
            return self.early_name != target_status.target_name(identity)
        return (self._status.last_heartbeat_ms is not None and
                self._ownership.is_other_target(identity))

    def on_heartbeat(self, now_ms: int, started_ms: int,
                     heartbeat: target_module.Heartbeat) -> actions.Actions:
        """Handles a heartbeat; ignores one that is stale or not the target's.

        Args:
          now_ms: Time.
          started_ms: Start of the target's incarnation, by the target's clock.
          heartbeat: The heartbeat.
        """
        if heartbeat.target not in (self._identity_check.stated_name,
                                    self._status.name):
            return self._on_unconfirmed(now_ms, started_ms, heartbeat)
        if heartbeat.target == self._status.name:
            if self._status.is_stale(started_ms, heartbeat):
                if not self._status.is_down:
                    return []
                # The target's clock may have been set back before its start.
                return self._on_unconfirmed(now_ms, started_ms, heartbeat)
            if (started_ms == self._status.started_ms and
                    heartbeat.service != self._status.service):
                return self._refuse_heartbeat(heartbeat, 'other service')
        result = self._apply_heartbeat(now_ms, started_ms, heartbeat)
        if not self._status.is_confirmed:
            result += self._ask_for_name(now_ms)
        return result

    def _on_unconfirmed(self, now_ms: int, started_ms: int,
                        heartbeat: target_module.Heartbeat) -> actions.Actions:
        """Keeps a heartbeat until the target has said whether it is its own."""
        self._identity_check.add(now_ms, started_ms, heartbeat)
        repeated = self._identity_check.take_repeated(
            now_ms, self._status.last_heartbeat_ms)
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
                    'target': self._status.identity,
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
        if name == self._status.name and not self._status.is_confirmed:
            self._status.is_confirmed = True
            self._check_table_complete(now_ms)
            result += self._ownership.reset_earlier_flows(now_ms)
        if confirmed is not None and not self._is_overtaken(confirmed):
            result += self._apply_heartbeat(now_ms, confirmed.started_ms,
                                            confirmed.heartbeat)
        return result

    def _is_overtaken(self, item: identity_check.Unconfirmed) -> bool:
        return (item.heartbeat.target == self._status.name and
                not self._status.is_down and
                self._status.is_stale(item.started_ms, item.heartbeat))

    def _apply_heartbeat(self, now_ms: int, started_ms: int,
                         heartbeat: target_module.Heartbeat) -> actions.Actions:
        before = self._status.identity
        lived_until_ms = (self._status.lived_until_ms
                          if self._status.is_confirmed else None)
        changed = self._status.apply_heartbeat(now_ms, started_ms, heartbeat)
        result: actions.Actions = []
        if self._status.identity != before:
            self._status.is_confirmed = (
                heartbeat.target == self._identity_check.stated_name)
            result += self._on_incarnation(now_ms, before, lived_until_ms)
        if changed:
            result += self._reports.announce_state(now_ms, 'heartbeat')
        return result

    def on_leave(self, now_ms: int, name: str) -> actions.Actions:
        """Marks the target as left, if it is the one that is about to exit."""
        if not self._status.identity:
            return []
        if name != self._status.name:
            return [
                actions.LogEvent('leave refused', {
                    'sender': checks.show(name),
                    'target': self._status.identity
                }),
                actions.RefuseHeartbeat()
            ]
        if (self._status.state is TargetState.DRAINING and
                self._status.is_confirmed):
            # It drained and has stated its name while this process ran, so the
            # agent sees all packets of the next target.
            self._ownership.mark_table_complete(now_ms)
        self._status.state = TargetState.LEFT
        self._own_entry.may_say_left = True
        return self._reports.announce_state(now_ms, 'leave')

    def on_stored_target(self,
                         now_ms: int,
                         identity: str | None,
                         is_restored: bool = False,
                         has_left: bool = False) -> actions.Actions:
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

        A target that has left holds no flows, and no other one has been given
        any as long as the entry says so. Until this agent hears a target, it
        knows of each flow that it is not here.

        Args:
          now_ms: Time.
          identity: Identity of the registered incarnation, empty if the agent
            had none when it registered, None if it has not registered.
          is_restored: Whether the store was ever restored from a copy.
          has_left: Whether the registered incarnation has left.
        """
        self._own_entry.is_answered = True
        self._own_entry.target = identity or ''
        self._own_entry.may_say_left = has_left
        if is_restored:
            if identity is None and not self._status.identity:
                return [actions.SaveRegistration()]
            return self._on_entry_after_refusal(now_ms)
        self._own_entry.is_read = True
        self._own_entry.at_start = identity
        self._ownership.has_earlier_left = has_left
        if self._is_first_start and identity is None:
            self._ownership.mark_table_complete(now_ms)
        self._check_table_complete(now_ms)
        return self._on_entry_after_refusal(now_ms)

    def on_registration_check(self, now_ms: int) -> actions.Actions:
        """Handles a balancer's request to check the registration."""
        if now_ms < self._own_entry.next_check_ms:
            return []
        self._own_entry.next_check_ms = now_ms + REGISTRATION_CHECK_PERIOD_MS
        return [actions.VerifyRegistration()]

    def on_registration_stored(self,
                               identity: str,
                               has_left: bool = False) -> None:
        """Records which incarnation of the target the store now holds.

        Args:
          identity: Its identity.
          has_left: Whether the entry says that it has left.
        """
        self._own_entry.target = identity
        # While the target has left, an entry that says so may be on its way.
        self._own_entry.may_say_left = (has_left or
                                        self._status.state is TargetState.LEFT)

    def _check_table_complete(self, now_ms: int) -> None:
        if (self._own_entry.is_read and self._ownership.is_other_target(
                self._own_entry.at_start or '') and
                self._status.is_warming_up(now_ms)):
            self._ownership.mark_table_complete(now_ms)

    def can_admit(self, now_ms: int) -> bool:
        """Returns whether the registration allows new flows to the target.

        Balancers take a silent agent whose entry says that its target has left
        for one without flows.
        """
        if self._own_entry.may_say_left:
            return False
        return (self._own_entry.target == self._status.identity or
                not self._status.is_warming_up(now_ms))

    def on_registration(self,
                        now_ms: int,
                        registration: target_module.Registration,
                        stated_name: str,
                        is_healthy: bool = True) -> actions.Actions:
        """Restores what an earlier process of this agent had registered.

        The registration is ignored after the first heartbeat, and if its target
        or service differs from that of the health response or the settings.

        Args:
          now_ms: Time.
          registration: The entry in the store.
          stated_name: Name of the target in its health response; empty if it
            has stated none.
          is_healthy: Whether the target says in that response that it is
            healthy. A target that starts may state its name before it is.
        """
        registered_name = target_status.target_name(registration.target)
        if (stated_name not in ('', registered_name) and
                self._status.last_heartbeat_ms is None and
                not self._identity_check.has_pending):
            # The target's next heartbeat needs no further request.
            return self.on_identified(now_ms, stated_name)
        if (self._status.last_heartbeat_ms is not None or not is_healthy or
                not stated_name or registered_name != stated_name or
                registration.service != self._status.service):
            return []
        self._status.restore_registration(now_ms, registration)
        self._identity_check.on_stated(stated_name)
        self._status.is_confirmed = True
        return self._reports.announce_state(now_ms, 'registration')

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
            self._status.last_heard_ms = now_ms
            return []
        if self._status.was_heard_since_probe():
            return []
        if not self._status.identity and (self._own_entry.target or
                                          self._own_entry.refused_ms
                                          is not None):
            # The registration keeps the name of the earlier target, of which
            # nothing is known.
            return []
        self._status.set_down()
        return self._reports.announce_state(
            now_ms, 'health probe timed out'
            if alive is None else 'health connection refused')

    def on_target_gone(self, now_ms: int) -> actions.Actions:
        """Marks the target as down: no process has a socket for its flows.

        If the target was not named since this process started, the registered
        one has left. If none was heard at all, the flows that it had when this
        process started are reset, also those that are read later.
        """
        if not self._status.identity and not self._own_entry.is_answered:
            # What the registration says is not overwritten before it is read.
            if self._own_entry.refused_ms is None:
                self._own_entry.refused_ms = now_ms
            self._status.set_down()
            self._ownership.mark_table_complete(now_ms)
            return (self._ownership.end_flows(now_ms, now_ms, 'target gone') +
                    self._ownership.deny_trials(now_ms))
        result = self._mark_registered_left(now_ms, now_ms)
        if not result:
            if self._status.is_down and not self._table:
                return []
            self._status.set_down()
        # The process that held the flows is gone, and all packets of the next
        # one pass through this agent.
        self._ownership.mark_table_complete(now_ms)
        return (result + self._reports.announce_state(now_ms, 'target gone') +
                self._ownership.reset_earlier_flows(now_ms) +
                self._ownership.end_flows(now_ms, now_ms, 'target gone') +
                self._ownership.deny_trials(now_ms))

    def _on_entry_after_refusal(self, now_ms: int) -> actions.Actions:
        """Applies a refusal from before the entry was read.

        It counts only if no target was heard since, which may be the registered
        one with a socket that it opened late.
        """
        refused_ms = self._own_entry.refused_ms
        if (refused_ms is None or self._status.identity or
                self._status.last_heard_ms is not None):
            return []
        result = self._mark_registered_left(now_ms, refused_ms)
        return (result + self._reports.announce_state(now_ms, 'target gone') +
                self._ownership.reset_earlier_flows(now_ms))

    def _mark_registered_left(self, now_ms: int,
                              refused_ms: int) -> actions.Actions:
        """Marks the target of the registration at the start as left.

        Args:
          now_ms: Time.
          refused_ms: Time at which its machine refused a datagram.

        Returns:
          The log line; empty if the target of this process has been named, or
          if the registration names none or is of a store that was restored.
        """
        entry = self._own_entry
        if self._status.identity or not entry.at_start:
            return []
        self._ownership.has_earlier_left = True
        self._status.set_lost(entry.at_start)
        # Flows are opened once the store says that a target is ready.
        entry.may_say_left = True
        return [
            actions.LogEvent(
                'registered target gone', {
                    'target': entry.at_start,
                    'process_ms': now_ms - entry.started_ms,
                    'refused_age_ms': now_ms - refused_ms,
                    'was_heard': self._status.last_heard_ms is not None
                })
        ]

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
        self._breaker.reset()
        result: actions.Actions = [
            actions.LogEvent(
                'target started', {
                    'target': self._status.identity,
                    'sequence': self._status.sequence,
                    'before': before
                })
        ]
        result += self._ownership.reset_earlier_flows(now_ms)
        if not before:
            # Flows that were seen before the first heartbeat belong to this
            # target.
            for flow in self._table.flows():
                flow.target = self._status.identity
        elif lived_until_ms is not None and self._ownership.is_other_target(
                before):
            self._ownership.mark_table_complete(now_ms)
            result += self._ownership.end_flows(now_ms, lived_until_ms,
                                                'target restarted')
        return result

    def on_tick(self, now_ms: int) -> actions.Actions:
        """Discards old heartbeats; asks the target about those that wait."""
        self._identity_check.expire(now_ms)
        return (self._ask_for_name(now_ms)
                if self._identity_check.has_pending else [])

    def check_heartbeats(self, now_ms: int) -> actions.Actions:
        """Marks the target as down if it has missed its heartbeats."""
        if not self._status.has_missed_heartbeats(now_ms):
            return []
        self._status.set_down()
        return self._reports.announce_state(now_ms, 'heartbeats missed')
