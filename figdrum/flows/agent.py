"""Forwards and admits the packets of an agent's target.

Explanation
===========

All packets to a target pass through its agent. The agent tracks which flows its
target holds. After a restart that table is empty. The agent then forwards a
packet of an unknown flow to the target, which returns it if it does not hold
the flow.

This module has the table and the packets from the target. Opening packets are
in `agent_openings`, the search for a flow's owner is in `agent_ownership`, what
is known of the target in `agent_identity`, and reports are in `agent_reports`.
"""

from figdrum.core import errors
from figdrum.core import ids
from figdrum.flows import actions
from figdrum.flows import agent_identity
from figdrum.flows import agent_openings
from figdrum.flows import agent_ownership
from figdrum.flows import agent_recent_flows
from figdrum.flows import agent_reports
from figdrum.flows import failure_breaker
from figdrum.flows import flow_table
from figdrum.flows import messages
from figdrum.flows import packed_flows
from figdrum.flows import pending_deliveries
from figdrum.flows import recent_flows
from figdrum.flows import restored_flows
from figdrum.flows import segment as segment_module
from figdrum.flows import target as target_module
from figdrum.flows import target_status

RETURN_TIMEOUT_MS = agent_ownership.RETURN_TIMEOUT_MS
DELIVERY_TIMEOUT_MS = agent_ownership.DELIVERY_TIMEOUT_MS
ACCEPT_TIMEOUT_MS = agent_openings.ACCEPT_TIMEOUT_MS
MAX_REQUESTS_PER_SLOT = agent_openings.MAX_REQUESTS_PER_SLOT


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
        self._table = flow_table.FlowTable(now_ms)
        self._pending = pending_deliveries.PendingDeliveries()
        self._breaker = failure_breaker.FailureBreaker()
        self._reports = agent_reports.Reports(zone, self.status, self._table,
                                              self._breaker)
        self._restored = restored_flows.RestoredFlows(now_ms)
        self._ownership = agent_ownership.Ownership(now_ms, packets,
                                                    self.status, self._table,
                                                    self._pending,
                                                    self._reports,
                                                    self._restored)
        self._identity = agent_identity.Identity(now_ms, heartbeat_period_ms,
                                                 is_first_start, self.status,
                                                 self._table, self._breaker,
                                                 self._reports, self._ownership)
        self._recent_flows = agent_recent_flows.RecentFlows(
            now_ms, zone, self.status, self._table, self._ownership,
            self._identity, self._restored)
        self._openings = agent_openings.Openings(packets, self.status,
                                                 self._table, self._pending,
                                                 self._breaker, self._reports,
                                                 self._ownership,
                                                 self._identity)

    @property
    def flow_count(self) -> int:
        """Number of flows in the table."""
        return len(self._table)

    @property
    def restored(self) -> restored_flows.RestoredFlows:
        """Flows of the target from before the agent's start."""
        return self._restored

    @property
    def open_flows(self) -> packed_flows.Flows:
        """Key and last client acknowledgement of each open flow.

        Restored flows are among them, so that the next record still has them if
        the agent starts again or its machine loses power.
        """
        known = tuple((flow.key, flow.client_ack)
                      for flow in self._table.flows()
                      if flow.is_open and not flow.is_closed)
        return known + tuple(
            (key, ack)
            for key, ack in self._restored.remaining(self.status.identity)
            if self._table.get(key) is None)

    @property
    def may_be_collected(self) -> bool:
        """Whether a collector may have stored flows of the present target."""
        return self._recent_flows.may_be_collected

    def is_collected(self, now_ms: int) -> bool:
        """Returns whether the store has all flows but for the youngest.

        They are in the agent's own record or in a collector's object.
        """
        return self._recent_flows.is_collected(now_ms)

    @property
    def has_short_flows(self) -> bool:
        """Whether most flows are closed after their first request."""
        return self._table.has_short_flows

    @property
    def waiting_count(self) -> int:
        """Number of opening packets that wait for a slot of the target."""
        return self._openings.waiting_count

    @property
    def has_balancers(self) -> bool:
        """Whether a balancer has sent a message recently."""
        return bool(self._reports.balancers)

    @property
    def agent_count(self) -> int:
        """Number of agents in the installation, as balancers report it."""
        return self._reports.agent_count

    def rate_per_s(self, now_ms: int) -> float:
        """Returns the target's requests per second and slot, 0 if unknown."""
        return self._reports.rate_per_s(now_ms)

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
            self._recent_flows.on_hello(now_ms, origin, message)
            return self._reports.on_hello(now_ms, origin, message)
        if isinstance(message, messages.RecentFlowsStored):
            self._recent_flows.on_stored(origin, message)
            return []
        if isinstance(message, messages.CheckRegistration):
            return self._identity.on_registration_check(now_ms)
        if not isinstance(message, messages.Ask | messages.ForwardedPacket):
            return []
        # A new balancer gets a report at once. It tells the balancer which
        # versions this agent does not have yet.
        result = (self._reports.send_due(now_ms)
                  if self._reports.record_balancer(now_ms, origin) else [])
        if isinstance(message, messages.Ask):
            return result + self._ownership.on_owner_query(
                now_ms, origin, message)
        if message.reads_rate:
            self._reports.record_reads_rate(origin)
        segment = self._packets.parse_client(message.raw)
        if segment is None:
            return result
        if segment.is_opening:
            return result + self._openings.on_opening(now_ms, origin, message,
                                                      segment)
        return result + self._ownership.on_client_packet(
            now_ms, origin, message.wants_reply, segment)

    def on_target_packet(self, now_ms: int, raw: bytes) -> actions.Actions:
        """Handles a packet that the target has sent or returned."""
        segment = self._packets.parse_target(raw)
        if segment is None:
            return [actions.LogEvent('unreadable packet', {'bytes': len(raw)})]
        self.status.last_heard_ms = now_ms
        if segment.is_returned:
            if segment.is_opening:
                return self._openings.on_returned(
                    segment) + self._openings.serve_queue(now_ms)
            return self._ownership.on_returned(now_ms, segment)
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
            self._restored.confirm(segment.key)
        if flow is not None:
            if is_new and segment.is_accepting:
                # Also known if the acceptance comes after its time-out, so that
                # a later opening packet from the port is not taken for a copy.
                flow.client_first = (segment.ack -
                                     1) % segment_module.SEQUENCE_MODULUS
            if opening is not None and segment.is_accepting:
                flow.client_first = opening.seq
                flow.request_class = opening.request_class
            had_request = flow.has_request
            if self._table.record_target_packet(now_ms, flow, segment):
                result += self._on_request_broken(now_ms, flow)
            elif had_request and not flow.has_request:
                self._breaker.record_answer()
                result.append(
                    actions.ObserveHistogram('request_ms',
                                             now_ms - flow.request_started_ms))
        trial = self._pending.finish_trial(segment.key, segment.seq)
        if trial is not None:
            result += self._ownership.confirm_held(segment.key, trial)
        return result + self._openings.serve_queue(now_ms)

    def on_heartbeat(self, now_ms: int, started_ms: int,
                     heartbeat: target_module.Heartbeat) -> actions.Actions:
        """Handles a heartbeat, as `agent_identity.Identity` does."""
        result = self._identity.on_heartbeat(now_ms, started_ms, heartbeat)
        return result + self._recent_flows.on_identity(now_ms)

    def on_identified(self, now_ms: int, name: str) -> actions.Actions:
        """Handles the name in a health response of the target."""
        result = self._identity.on_identified(now_ms, name)
        return result + self._recent_flows.on_identity(now_ms)

    def on_leave(self, now_ms: int, name: str) -> actions.Actions:
        """Marks the target as down, if it is the one that is about to exit."""
        return self._identity.on_leave(now_ms, name)

    def on_stored_flows(
        self,
        now_ms: int,
        identity: str,
        flows: packed_flows.Flows,
        has_short_flows: bool,
        revision: ids.StoreRevision = ids.StoreRevision(0)
    ) -> actions.Actions:
        """Handles the stored record, as `agent_ownership.Ownership` does.

        Args:
          now_ms: Time.
          identity: Identity of the incarnation that held the flows, empty
            without a record.
          flows: Key and last client acknowledgement of each flow.
          has_short_flows: Whether its flows were short.
          revision: Revision of the record, 0 if there is none.
        """
        result = self._ownership.on_stored_flows(now_ms, identity, flows,
                                                 has_short_flows)
        return result + self._recent_flows.on_own_record(
            now_ms, identity, flows, revision)

    def on_reads_started(self, now_ms: int) -> None:
        """Records that the reads of the agent's start are under way."""
        self._ownership.on_reads_started(now_ms)

    def on_flows_recorded(self, now_ms: int, identity: str,
                          flows: packed_flows.Flows) -> None:
        """Records which flows the store has in the agent's own record."""
        self._recent_flows.on_recorded(now_ms, identity, flows)

    def on_recent_flows(
            self, now_ms: int, stored: tuple[recent_flows.StoredFlows,
                                             ...]) -> actions.Actions:
        """Handles what collectors had stored when the agent started."""
        return self._recent_flows.on_list(now_ms, stored)

    def on_stored_target(self,
                         now_ms: int,
                         identity: str | None,
                         is_restored: bool = False,
                         has_left: bool = False) -> actions.Actions:
        """Handles the stored target, as `agent_identity.Identity` does."""
        result = self._identity.on_stored_target(now_ms, identity, is_restored,
                                                 has_left)
        return result + self._recent_flows.on_stored_target(now_ms, identity)

    def on_registration_stored(self,
                               identity: str,
                               has_left: bool = False) -> None:
        """Records which incarnation of the target the store now holds."""
        self._identity.on_registration_stored(identity, has_left)

    def on_registration(self,
                        now_ms: int,
                        registration: target_module.Registration,
                        stated_name: str,
                        is_healthy: bool = True) -> actions.Actions:
        """Restores a registration, as `agent_identity.Identity` does."""
        result = self._identity.on_registration(now_ms, registration,
                                                stated_name, is_healthy)
        return result + self._recent_flows.on_identity(now_ms)

    def on_probe_result(self, now_ms: int,
                        alive: bool | None) -> actions.Actions:
        """Handles a probe's result, as `agent_identity.Identity` does."""
        return self._identity.on_probe_result(now_ms, alive)

    def on_target_gone(self, now_ms: int) -> actions.Actions:
        """Handles a refused datagram, as `agent_identity.Identity` does."""
        result = self._identity.on_target_gone(now_ms)
        return result + self._recent_flows.on_identity(now_ms)

    def on_timer(self, now_ms: int) -> actions.Actions:
        """Handles packets that the target has not accepted or returned."""
        result = self._openings.on_timer(now_ms)
        result += self._ownership.on_timer(now_ms)
        if self._pending:
            result.append(actions.StartTimer(agent_ownership.RETURN_TIMEOUT_MS))
        return result

    def on_tick(self, now_ms: int) -> actions.Actions:
        """Sends the reports that are due; called every 250 ms."""
        result = self._identity.check_heartbeats(now_ms)
        if self._breaker.try_end_hold(now_ms):
            # Balancers may choose the target again, for a trial.
            result += self._reports.report_at_once(now_ms)
        self._table.expire(now_ms)
        self._restored.expire(now_ms)
        self._pending.expire(now_ms)
        result += self._identity.on_tick(now_ms)
        result += self._recent_flows.on_tick(now_ms)
        result += self._openings.serve_queue(now_ms)
        return result + self._reports.send_due(now_ms)

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
            result += self._reports.report_at_once(now_ms)
        return result
