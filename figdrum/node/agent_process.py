"""The agent process."""

import functools
import typing

from figdrum.core import checks
from figdrum.core import clock
from figdrum.core import errors
from figdrum.core import ids
from figdrum.flows import actions
from figdrum.flows import agent
from figdrum.flows import messages
from figdrum.flows import recent_flows as recent_flow_decisions
from figdrum.flows import target as target_module
from figdrum.node import node
from figdrum.registry import flow_records
from figdrum.registry import object_writer
from figdrum.registry import recent_flows
from figdrum.registry import registrations
from figdrum.runtime import http_client
from figdrum.runtime import http_server
from figdrum.runtime import udp

LEFT = target_module.TargetState.LEFT

# Timeout of a health request to a target, in ms. On a busy target the request
# waits for a slot.
HEALTH_TIMEOUT_MS = 400

# Time in ms between two checks of the registration by an agent that no balancer
# greets. The first one comes once the last balancer has been silent for 8 s.
UNKNOWN_AGENT_CHECK_MS = 20_000

# Share of the store's write rate that all agents together use when they check
# what they have stored after a restore, and the longest time in ms that this
# takes. Balancers keep the registrations for 3 s meanwhile.
RESTORE_CHECK_SHARE = 0.5
MAX_RESTORE_CHECK_MS = 1_000


class AgentProcess(node.Node):
    """Connects an agent's flow controller to its sockets and the store."""

    def __init__(self, *args: typing.Any):
        super().__init__(*args)
        cfg = self.cfg.agent
        assert cfg is not None
        self._agent = agent.Agent(self.clock.now_ms(), self.adapter.packets,
                                  self.cfg.zone, cfg.service,
                                  int(cfg.heartbeat_ms), cfg.first_start)
        self._client_port = cfg.frames[1]
        self._frames = self.open_udp(cfg.frames, self._on_frame)
        self._packets = self.open_udp(cfg.target_packets,
                                      self._on_target_packet)
        self._to_target = udp.ConnectedUdpSocket(self.loop, cfg.frames[0],
                                                 cfg.target,
                                                 self._on_target_refused)
        self._object_name = registrations.object_name(cfg.frames)
        self._registration_writer = object_writer.ObjectWriter(
            self.adapter.store, registrations.KIND, self._object_name,
            self.loop, self.log, self.rng)

        self._flow_record_writer = object_writer.ObjectWriter(
            self.adapter.store, flow_records.KIND, self._object_name, self.loop,
            self.log, self.rng,
            lambda stored, wanted: flow_records.is_write_needed(
                stored, wanted, self._agent.may_be_collected))
        self._recent_flows_read = recent_flows.StartRead(
            self.adapter.store, self._object_name, self.loop, self.clock,
            self.log, self.rng)
        self._is_check_due = False
        self.adapter.store.on_restored(self._check_after_restore)
        self._next_unknown_check_ms = (self.clock.now_ms() +
                                       UNKNOWN_AGENT_CHECK_MS)
        # Random within the period, so that agents do not all write at once.
        self._record_schedule = flow_records.Schedule(
            self.clock.now_ms() +
            self.rng.randint(1, flow_records.MIN_WRITE_PERIOD_MS))

    def run(self) -> None:
        """Runs until the process receives SIGTERM."""
        cfg = self.cfg.agent
        assert cfg is not None
        self._agent.on_reads_started(self.clock.now_ms())
        self._registration_writer.load(self._on_registration, self._on_stored)
        self._flow_record_writer.load(self._on_flow_record,
                                      self._on_flow_record_stored)
        self._recent_flows_read.start(self._on_recent_flows)
        self.serve_readiness(cfg.ready, lambda: True)
        http_server.HttpServer(self.loop, cfg.control, self._on_control)
        self.start(cfg.frames[0])
        self.loop.run()

    def on_tick(self) -> None:
        now_ms = self.clock.now_ms()
        self._execute(self._agent.on_tick(now_ms))
        self.figures.gauges['flows'] = self._agent.flow_count
        self.figures.gauges['rate_per_s'] = self._agent.rate_per_s(now_ms)
        restored = self._agent.restored
        self.figures.gauges['restored_flows_confirmed'] = (
            restored.confirmed_count)
        self.figures.gauges['restored_flows_returned'] = restored.returned_count
        self.figures.gauges['openings_waiting'] = self._agent.waiting_count
        self.figures.gauges['packets_unsent'] = (self._packets.unsent_count +
                                                 self._frames.unsent_count +
                                                 self._to_target.unsent_count)
        record_period_ms = flow_records.write_period_ms(
            self._agent.agent_count, self.cfg.store_writes_per_s)
        if self._record_schedule.try_start(now_ms, record_period_ms,
                                           self._agent.is_collected(now_ms)):
            self._record_flows()
        if self._agent.has_balancers:
            self._next_unknown_check_ms = now_ms
        elif now_ms >= self._next_unknown_check_ms:
            self._next_unknown_check_ms = now_ms + UNKNOWN_AGENT_CHECK_MS
            self._registration_writer.verify()

    def on_timer(self) -> None:
        self._execute(self._agent.on_timer(self.clock.now_ms()))

    def on_stop(self) -> None:
        # The target's flows stay open, and the next agent process finds them.
        # Their packets are lost until it runs, so this one stops at once.
        self.stop()

    def _on_frame(self, data: bytes, address: ids.Address) -> None:
        self._execute(self._agent.on_message(self.clock.now_ms(), address,
                                             data))

    def _on_target_packet(self, data: bytes, _: ids.Address) -> None:
        self._execute(self._agent.on_target_packet(self.clock.now_ms(), data))

    def _on_target_refused(self) -> None:
        self._execute(self._agent.on_target_gone(self.clock.now_ms()))

    def _on_control(self, req: http_server.Request) -> http_server.Response:
        event = self.adapter.decode_target_request(req)
        if event is None:
            self.log.write('unreadable heartbeat', path=checks.show(req.path))
            return http_server.Response(400)
        now_ms = self.clock.now_ms()
        if event.heartbeat is None:
            result = self._agent.on_leave(now_ms, event.sender)
        else:
            result = self._agent.on_heartbeat(now_ms, event.started_ms,
                                              event.heartbeat)
        self._execute(result)
        if any(
                isinstance(action, actions.RefuseHeartbeat)
                for action in result):
            return http_server.Response(503)
        return http_server.Response(200, b'{}', 'application/json')

    def _record_flows(self) -> None:
        # Without a heartbeat, the stored record may be of another incarnation.
        # It is kept until its flows have been reset.
        if self._agent.status.last_heartbeat_ms is not None:
            is_short = self._agent.has_short_flows
            record = flow_records.FlowRecord(
                self._agent.status.identity,
                () if is_short else self._agent.open_flows, is_short)
            self._flow_record_writer.save(flow_records.encode(record))

    def _check_after_restore(self) -> None:
        """Reads soon what this agent has stored, since it may be lost."""
        if self._is_check_due:
            return
        self._is_check_due = True
        period_ms = clock.MS_PER_S * self._agent.agent_count / (
            self.cfg.store_writes_per_s * RESTORE_CHECK_SHARE)
        delay_ms = self.rng.randint(0, min(int(period_ms),
                                           MAX_RESTORE_CHECK_MS))
        self.log.write('store restored',
                       era=self.adapter.store.era,
                       check_after_ms=delay_ms)
        self.loop.call_later(delay_ms, self._verify_stored)

    def _verify_stored(self) -> None:
        self._is_check_due = False
        self._registration_writer.verify()
        self._flow_record_writer.verify()

    def _on_flow_record(self, value: object) -> None:
        record = (flow_records.decode(value) or
                  flow_records.FlowRecord('', (), False))
        self._execute(
            self._agent.on_stored_flows(self.clock.now_ms(), record.target,
                                        record.flows, record.has_short_flows,
                                        self._flow_record_writer.last_revision))

    def _on_flow_record_stored(self, value: object) -> None:
        record = flow_records.decode(value)
        if record is not None:
            self._agent.on_flows_recorded(self.clock.now_ms(), record.target,
                                          record.flows)

    def _on_recent_flows(
            self, stored: tuple[recent_flow_decisions.StoredFlows,
                                ...]) -> None:
        self._execute(self._agent.on_recent_flows(self.clock.now_ms(), stored))

    def _on_registration(self, value: object) -> None:
        registration = registrations.decode(self._object_name, value)
        if registration is None:
            # An entry that cannot be read may have had any target.
            if not self._registration_writer.has_object:
                self._on_stored_target(None, False)
            return
        self._on_stored_target(registration.target, registration.state is LEFT)
        self._query_health(
            functools.partial(self._restore_registration, registration))

    def _on_stored_target(self, identity: str | None, has_left: bool) -> None:
        self._execute(
            self._agent.on_stored_target(self.clock.now_ms(), identity,
                                         self.adapter.store.era > 0, has_left))

    def _on_stored(self, value: object) -> None:
        registration = registrations.decode(self._object_name, value)
        if registration is not None:
            self._agent.on_registration_stored(registration.target,
                                               registration.state is LEFT)

    def _restore_registration(self, registration: target_module.Registration,
                              result: http_client.Result) -> None:
        if isinstance(result, errors.StoreError):
            return
        self._execute(
            self._agent.on_registration(self.clock.now_ms(), registration,
                                        self._stated_name(result),
                                        result.status == 200))

    def _probe_target(self) -> None:

        def on_result(result: http_client.Result) -> None:
            alive: bool | None = True
            if isinstance(result, errors.StoreError):
                is_refused = isinstance(result, http_client.RefusedError)
                alive = False if is_refused else None
            self.log.write('target probed', alive=alive)
            self._execute(
                self._agent.on_probe_result(self.clock.now_ms(), alive))

        self._query_health(on_result)

    def _identify_target(self) -> None:

        def on_result(result: http_client.Result) -> None:
            name = self._stated_name(result)
            self.log.write('target identified', name=checks.show(name))
            if name:
                self._execute(
                    self._agent.on_identified(self.clock.now_ms(), name))

        self._query_health(on_result)

    def _stated_name(self, result: http_client.Result) -> str:
        """Returns the target's name in a health response, or ''."""
        if isinstance(result, errors.StoreError):
            return ''
        return result.headers.get(self.adapter.health_identity_header, '')

    def _query_health(self, on_result: http_client.OnResult) -> None:
        cfg = self.cfg.agent
        assert cfg is not None
        client = http_client.HttpClient(self.loop, cfg.target, 'health request')

        def finish(result: http_client.Result) -> None:
            client.close()
            on_result(result)

        client.call('GET', self.adapter.health_path, b'', HEALTH_TIMEOUT_MS,
                    finish)

    def _register(self) -> None:
        cfg = self.cfg.agent
        assert cfg is not None
        registration = target_module.Registration(
            cfg.frames,
            self.cfg.zone,
            self._agent.status.service,
            self._agent.status.identity,
            self._agent.status.state,
            self._agent.status.is_cold(self.clock.now_ms()),
            message_version=messages.VERSION)
        self._registration_writer.save(registrations.encode(registration))

    def _execute(self, result: actions.Actions) -> None:
        unhandled = self.execute(result, self._packets, self._frames,
                                 self._client_port)
        for action in unhandled:
            if isinstance(action, actions.SendToTarget):
                self._to_target.send(action.raw)
            elif isinstance(action, actions.ProbeTarget):
                self._probe_target()
            elif isinstance(action, actions.IdentifyTarget):
                self._identify_target()
            elif isinstance(action, actions.SaveRegistration):
                self._register()
            elif isinstance(action, actions.VerifyRegistration):
                self._registration_writer.verify()
            elif isinstance(action, actions.CheckStoreEra):
                if action.era > self.adapter.store.era:
                    self._check_after_restore()
