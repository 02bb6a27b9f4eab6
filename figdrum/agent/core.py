"""The control logic of an agent, without sockets.

Explanation
===========

The core receives datagrams, changes of the replica and ticks, and executes the
decisions of the controllers through the interfaces of its environment.
`process` connects it to sockets and signals; tests and benchmarks connect it to
their own implementations.

References
==========

docs/design.md, sections 5.3 to 5.6 and 6.4.
"""

import collections.abc
import typing

from twisted.internet import defer

from figdrum.admission import controller
from figdrum.admission import retry_budget
from figdrum.agent import agent_state
from figdrum.agent import claim_service
from figdrum.agent import drain
from figdrum.agent import environment
from figdrum.agent import feeds
from figdrum.agent import held_flows
from figdrum.agent import list_waits
from figdrum.agent import membership
from figdrum.agent import pause_detector
from figdrum.agent import peer_queries
from figdrum.agent import reply_routes
from figdrum.agent import request_handler
from figdrum.agent import slot_waiter
from figdrum.agent import stale_notices
from figdrum.agent import target_monitor
from figdrum.coap import server
from figdrum.contracts import state as contract_state
from figdrum.core import clock as clock_lib
from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import states
from figdrum.filters import chain
from figdrum.filters import request_claim
from figdrum.filters import request_context
from figdrum.filters import request_contract
from figdrum.filters import request_deadline
from figdrum.filters import request_run
from figdrum.filters import request_slot
from figdrum.membership import leases
from figdrum.membership import list_writer
from figdrum.membership import service_list
from figdrum.messages import codec
from figdrum.messages import datagram
from figdrum.ownership import actions
from figdrum.ownership import owner
from figdrum.telemetry import logs
from figdrum.telemetry import trace as trace_lib

FEED_INTERVAL_MS = 1_000
# A request cut off sooner than this had a short deadline, which does not show
# that the target is down.
MIN_TIMEOUT_MS = 1_000

_log = logs.part('agent')

_OWNER_MESSAGES = (datagram.Heartbeat, datagram.Held, datagram.Refused,
                   datagram.Handover, datagram.HandoverReply)
_REFUSALS = frozenset(refusal.value for refusal in states.Refusal)


class _RunGuard(request_run.RunGuard):
    """Decides for the run filter if a request can run, and takes its result."""

    def __init__(self, state: agent_state.AgentState, clock: clock_lib.Clock,
                 admission: controller.AdmissionController,
                 slots: slot_waiter.SlotWaiter,
                 on_result: collections.abc.Callable[[bool], None]):
        self._on_result = on_result
        self._agent_state = state
        self._clock = clock
        self._admission = admission
        self._slots = slots

    def can_run(self) -> bool:
        return self._agent_state.can_run()

    def try_retry(self) -> bool:
        now_ms = self._clock.now_ms()
        return (self._admission.warmup.can_start(now_ms) and
                self._admission.retries.try_retry(now_ms) and
                self._admission.warmup.try_start(now_ms))

    def on_request_finished(self, ctx: request_context.RequestContext,
                            end: request_run.RunOutcome,
                            latency_ms: int) -> None:
        self._admission.on_request_finished(self._clock.now_ms(), ctx.number,
                                            end is request_run.RunOutcome.OK,
                                            latency_ms)
        if end in (request_run.RunOutcome.OK, request_run.RunOutcome.ERROR):
            self._on_result(True)
        elif (end is request_run.RunOutcome.NOT_CONNECTED or
              latency_ms >= MIN_TIMEOUT_MS):
            self._on_result(False)
        self._slots.start_requests()


class AgentCore:
    """One agent: its controllers and the state that they share.

    Args:
      cfg: Settings, see `figdrum.settings.schema.Settings`.
      address: Address of the frame port.
      env: The agent's clock, timers, network, target and store.
      fetch: Requests the changes since the known revision from the balancers.
      trace: Records the owner's decisions.
      feed_ms: Time between polls of an observed path, in ms.

    Attributes:
      agent_state: What the agent knows of its service and of itself.
      admission: Admits flows and requests to the target.
      flows: The flows held here.
      drain: The drain of the agent before it leaves.
    """

    def __init__(self,
                 cfg: typing.Any,
                 address: ids.Address,
                 env: environment.Environment,
                 fetch: collections.abc.Callable[[], None],
                 trace: trace_lib.Trace = trace_lib.NullTrace(),
                 feed_ms: int = FEED_INTERVAL_MS):
        self._env = env
        self._cfg = cfg.agent
        self._pause_detector = pause_detector.PauseDetector(
            self._cfg.wake_gap_ms)
        self._reply_routes = reply_routes.ReplyRoutes()
        self._stale_notices = stale_notices.StaleNotices(self._cfg.stale_ms)
        self._owner = trace.build('owner', owner.Owner,
                                  ids.AgentName(cfg.process.name),
                                  ids.ServiceName(self._cfg.service),
                                  ids.ZoneName(cfg.process.zone))
        self._membership = self._make_membership(cfg, address)
        self.agent_state = agent_state.AgentState(
            cfg, env.clock, self._owner, self._membership,
            list_waits.ListWaits(self._cfg.park_ms, fetch))
        self.admission = controller.AdmissionController(
            self.agent_state.name,
            controller.Capacity(self._cfg.slots, self._cfg.connections,
                                self._cfg.queue, self._cfg.cold_rate,
                                self._cfg.full_rate))
        self.admission.set_terms_lookup(self.agent_state.terms)
        self.admission.retries = retry_budget.RetryBudget(
            self._cfg.retry_percent / 100, self._cfg.retry_window_ms)
        self._claims = claim_service.ClaimService(
            self.agent_state, env,
            peer_queries.PeerQueries(env.timers, env.peers, self._cfg.repeat_ms,
                                     env.rng), self._cfg.claim_answer_ms,
            self._cfg.key_ms)
        self._slots = slot_waiter.SlotWaiter(env.clock, env.timers,
                                             self.admission, env.metrics)
        self._request_handler = self._make_requests()
        self.flows = held_flows.HeldFlows(self.agent_state.name, env,
                                          self._owner, self.admission,
                                          self._reply_routes,
                                          self._request_handler, self._claims)
        self._feeds = feeds.Feeds(feed_ms, self._poll,
                                  self._request_handler.notify)
        self._target_monitor = target_monitor.TargetMonitor(
            env, self.agent_state.service, self.admission, self.flows)
        self.drain = drain.Drain(self.flows, self._cfg.drain_ms,
                                 self._cfg.linger_ms)

    def start(self) -> None:
        """Joins the service's list."""
        self._membership.start()

    def start_drain(self) -> None:
        """Starts the drain; `drain.phase` becomes `DONE` at its end."""
        if self.drain.phase is not drain.Phase.SERVING:
            return
        now_ms = self._env.clock.now_ms()
        self.admission.flows_stopped = True
        self._membership.publish_draining()
        # The offers returned here are discarded, as the drain sends them at a
        # limited rate.
        self._owner.start_drain(now_ms)
        self.drain.start(now_ms)

    def publish_leave(self) -> defer.Deferred:
        """Publishes that the agent has left its service.

        The agent is published as lost if some claims were not taken over.

        Returns:
          A Deferred that fires when the list was written or the write failed.
        """
        state = states.MemberState.LEFT
        if self._claims.failed_copies:
            state = states.MemberState.LOST
            _log.warning('leaving as lost: %d copies of claims not taken over',
                         self._claims.failed_copies)
        return self._membership.publish_left(state)

    def stop(self) -> None:
        """Stops the retries of writes to the list."""
        self._membership.stop()

    def on_replica(self, members: service_list.ServiceList,
                   contracts: contract_state.ContractState) -> None:
        """Applies the newest list and contracts of the replica."""
        self.agent_state.contracts = contracts
        self._update_list(members)
        for flow, customer in self.flows.items():
            if not self.agent_state.allows(customer, flow.src_host):
                # The contract filter refuses further requests of the flow;
                # its observations end here.
                self._request_handler.forget(flow)

    def on_datagram(self, address: ids.Address, data: bytes) -> None:
        """Handles a datagram from a balancer or agent; drops invalid ones."""
        self._detect_pause()
        try:
            message = codec.decode(data, f'{address[0]}:{address[1]}')
        except errors.FigdrumError:
            self._env.metrics.incr('agent.malformed')
            return
        now_ms = self._env.clock.now_ms()
        if isinstance(message, datagram.Packet):
            self._on_packet(now_ms, address, message)
        elif isinstance(message, datagram.Ping):
            self._reply_routes.record_received(now_ms, address)
            self._send(address,
                       datagram.Pong(message.nonce, self.agent_state.name))
        elif isinstance(message, datagram.Claim):
            self._claims.on_claim(address, message)
        elif isinstance(message, datagram.AnswerQuery):
            self._claims.on_answer_query(address, message)
        elif isinstance(message,
                        (datagram.ClaimReply, datagram.AnswerQueryReply)):
            self._claims.on_reply(message)
        elif isinstance(message, _OWNER_MESSAGES):
            self._on_member_message(now_ms, message)
        else:
            self._env.metrics.incr('agent.unexpected')

    def tick(self) -> None:
        """Runs the periodic work; call it every `tick_ms`."""
        self._detect_pause()
        now_ms = self._env.clock.now_ms()
        self._membership.tick(now_ms)
        self._execute(now_ms, self._owner.on_tick(now_ms))
        for _ in range(self.agent_state.waits.expire(now_ms)):
            self._env.metrics.incr('agent.dropped.list_not_fetched')
        self._slots.start_requests()
        self._request_handler.tick()
        if self.agent_state.can_run():
            self._feeds.tick(now_ms)
        self._target_monitor.tick(now_ms, self.drain.phase
                                  is not drain.Phase.SERVING)
        self.drain.tick(now_ms)
        if self._pause_detector.try_start_second(now_ms):
            self._claims.expire()
            self._report_metrics()

    def _make_membership(self, cfg: typing.Any,
                         address: ids.Address) -> membership.Membership:
        agent, env = cfg.agent, self._env
        writer = list_writer.ListWriter(
            env.db, env.timers, agent.service, cfg.process.name, address,
            cfg.process.zone, env.rng,
            list_writer.ListWriterLimits(agent.lost_window_ms,
                                         agent.tombstone_ms))
        lease_table = leases.LeaseTable(
            cfg.process.name,
            leases.LeaseLimits(agent.heartbeat_ms, agent.skip_after_ms,
                               agent.lost_after_ms, agent.wake_gap_ms))
        return membership.Membership(cfg.process.name, env, writer, lease_table,
                                     agent.key_ms, self._on_joined)

    def _make_requests(self) -> request_handler.RequestHandler:
        env = self._env
        contract = request_contract.RequestContractFilter(
            self.agent_state.service, lambda: self.agent_state.contracts)
        slot = request_slot.RequestSlotFilter(self._slots)
        run = request_run.RequestRunFilter(
            env.target, env.clock,
            _RunGuard(self.agent_state, env.clock, self.admission, self._slots,
                      self._on_result))
        filters = chain.FilterChain(
            contract, request_deadline.RequestDeadlineFilter(env.clock),
            request_claim.RequestClaimFilter(self._claims), slot, run)
        return request_handler.RequestHandler(
            server.CoapServer(env.rng, self._cfg.notify_ms,
                              self._cfg.deadline_ms), filters,
            chain.FilterChain(contract, slot, run), self._claims, env.clock,
            env.metrics,
            request_handler.Callbacks(self._send_reply, self._on_observed,
                                      self._on_observation_ended))

    def _detect_pause(self) -> None:
        """Detects a pause of this process, before any decision is made."""
        now_ms = self._env.clock.now_ms()
        pause_ms = self._pause_detector.record_event(now_ms)
        if pause_ms:
            self._env.metrics.incr('agent.woken')
            _log.warning('the process was paused for %d ms', pause_ms)
            self._membership.on_pause(now_ms)

    def _on_joined(self, incarnation: ids.Incarnation,
                   members: service_list.ServiceList) -> None:
        now_ms = self._env.clock.now_ms()
        self._execute(now_ms, self._owner.join(now_ms, incarnation))
        self._update_list(members)

    def _update_list(self, members: service_list.ServiceList) -> None:
        now_ms = self._env.clock.now_ms()
        state = self.agent_state
        state.update_list(members)
        self._execute(
            now_ms,
            self._owner.on_list(now_ms, state.members,
                                state.contracts.zones_out))
        self._membership.on_list(now_ms, state.members)
        if state.update_zone():
            self._on_zone_changed(now_ms)
        self.admission.on_members(now_ms, state.admitting_members())
        for packet in self.agent_state.waits.on_list(state.members.version):
            self._execute(now_ms,
                          self._owner.on_packet(now_ms, packet, self.admission))

    def _on_zone_changed(self, now_ms: int) -> None:
        """Forgets all flows and resets the warm-up when the zone changes.

        After the zone returns, the agent starts at the cold rate and inquires
        of the other members about flows.
        """
        state = self.agent_state
        _log.info('zone %s is %s', state.zone,
                  'out' if state.is_zone_out else 'in service')
        if state.is_zone_out:
            self._env.metrics.incr('agent.given_up_flows', len(self.flows))
        if state.incarnation:
            self._execute(now_ms, self._owner.forget(now_ms))
        self.admission.warmup.reset_to_cold(now_ms)

    def _on_packet(self, now_ms: int, address: ids.Address,
                   packet: datagram.Packet) -> None:
        self._reply_routes.record_carried(now_ms, packet.flow, packet.balancer)
        state = self.agent_state
        if packet.change > state.contracts.change:
            state.waits.fetch()
        behind = (packet.change < state.contracts.change or
                  packet.list_version < state.members.version)
        direct = address == packet.balancer
        if behind and direct and self._stale_notices.record_if_due(
                now_ms, address):
            self._send(
                address,
                datagram.Stale(state.contracts.change, state.service,
                               state.members.version))
        self._execute(now_ms,
                      self._owner.on_packet(now_ms, packet, self.admission))

    def _on_member_message(self, now_ms: int, message: typing.Any) -> None:
        if (isinstance(message, datagram.Refused) and
                message.refusal not in _REFUSALS):
            self._env.metrics.incr('agent.malformed')
            return
        if isinstance(message, datagram.Heartbeat):
            self._membership.on_heartbeat(now_ms, message)
        decided = self._owner.on_message(now_ms, message, self.admission)
        if isinstance(message, datagram.Handover):
            self.flows.take_over(now_ms, message, decided)
        self._execute(now_ms, decided)

    def _execute(self, now_ms: int,
                 decided: collections.abc.Iterable[actions.Action]) -> None:
        for action in decided:
            if isinstance(action, actions.Deliver):
                self._deliver(now_ms, action.packet)
            elif isinstance(action, actions.Send):
                self._send(action.to.address, action.message)
            elif isinstance(action, actions.Refuse):
                packet = action.packet
                self._request_handler.refuse(packet.flow, packet.payload,
                                             _origin(packet), action.refusal)
            elif isinstance(action, actions.Drop):
                self._env.metrics.incr(f'agent.dropped.{action.reason.value}')
            elif isinstance(action, actions.FetchList):
                if not self.agent_state.waits.park(now_ms, action.packet):
                    self._env.metrics.incr('agent.dropped.too_many_parked')
            elif isinstance(action, actions.Release):
                self.flows.remove(action.flow)

    def _deliver(self, now_ms: int, packet: datagram.Packet) -> None:
        self.flows.add(now_ms, packet.flow, ids.CustomerId(packet.customer))
        self._request_handler.deliver(packet.flow, packet.payload,
                                      _origin(packet))

    def _on_result(self, answered: bool) -> None:
        self._target_monitor.on_result(answered)

    def _on_observed(self, customer: ids.CustomerId,
                     event: server.ObservationRegistered) -> None:
        self._feeds.add(self._env.clock.now_ms(), customer, event)

    def _on_observation_ended(self, event: server.ObservationEnded) -> None:
        self._feeds.remove(event.flow, event.token)

    def _poll(self, flow: ids.FlowKey, customer: ids.CustomerId,
              req: typing.Any) -> defer.Deferred:
        return self._request_handler.poll(
            flow, request_handler.Origin(customer, self.agent_state.service),
            req)

    def _send_reply(self, reply: server.Datagram) -> None:
        balancer = self._reply_routes.choose(self._env.clock.now_ms(),
                                             reply.flow)
        if balancer is None:
            self._env.metrics.incr('agent.dropped.no_balancer')
            return
        self._send(balancer, datagram.Reply(reply.flow, reply.payload))

    def _send(self, address: ids.Address, message: codec.Message) -> None:
        self._env.peers.send(address, codec.encode(message))

    def _report_metrics(self) -> None:
        metrics = self._env.metrics
        metrics.gauge('agent.flows', len(self.flows))
        metrics.gauge('agent.rate', self.admission.warmup.rate)
        metrics.gauge('agent.utilisation', self.admission.utilisation)
        metrics.gauge('agent.queue', self.admission.slots.waiting)


def _origin(packet: datagram.Packet) -> request_handler.Origin:
    return request_handler.Origin(ids.CustomerId(packet.customer),
                                  ids.ServiceName(packet.service),
                                  packet.outcome_unknown)
