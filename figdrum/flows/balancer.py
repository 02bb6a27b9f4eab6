"""Forwards clients' packets to the agents of their targets.

Explanation
===========

An opening packet goes to the target that `placement` chooses. Later packets go
to the agent whose target is known to hold the flow. If none is known, the
balancer queries agents in the flow's order of targets, and buffers further
packets of the flow until it has a result. A flow that all known agents have
denied is reset only after the store's current registrations were read.
"""

import typing

from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import revisions
from figdrum.flows import actions
from figdrum.flows import balancer_agents
from figdrum.flows import balancer_openings
from figdrum.flows import balancer_pacing
from figdrum.flows import balancer_searches
from figdrum.flows import balancer_state
from figdrum.flows import early_packets
from figdrum.flows import link_budget
from figdrum.flows import messages
from figdrum.flows import owner_search
from figdrum.flows import proof_queue
from figdrum.flows import routes
from figdrum.flows import segment as segment_module
from figdrum.flows import target as target_module
from figdrum.flows import target_view

if typing.TYPE_CHECKING:
    from figdrum.flows import recent_flow_collector

# Time in ms for which agents may report a newer configuration version before
# the balancer reads it without waiting for its watch. A version must be in
# force within 3 s.
MAX_CONFIGURATION_LAG_MS = 800

ColdRateTolerance = balancer_agents.ColdRateTolerance


class Balancer:
    """Chooses the agent for each packet of a client.

    Attributes:
      targets: The registered targets.
      early_packets: Packets that came before the first configuration or the
        first list of registrations.
      collector: The flows that agents have opened lately, None before an agent
        has chosen this balancer.
    """

    def __init__(self, now_ms: int, packets: segment_module.PacketFormat,
                 zone: ids.ZoneName, bounds: ColdRateTolerance):
        state = self._state = balancer_state.BalancerState(packets, zone)
        self._behind_since_ms: int | None = None
        self._zones_out_revision = ids.StoreRevision(-1)
        # Acknowledgement numbers of flows without a route that wait for the
        # current configuration.
        self._unrouted: proof_queue.ProofQueue[int] = proof_queue.ProofQueue()
        self._agents = balancer_agents.Agents(now_ms, state, bounds,
                                              self._own_knowledge)
        self._searches = balancer_searches.Searches(state,
                                                    self._continue_search)
        self._openings = balancer_openings.Openings(state, self._searches,
                                                    self._agents)
        self._pacing = balancer_pacing.Pacing(now_ms, state, self._openings)
        self.targets = state.targets
        self._has_registrations = False
        # Packets are kept until the balancer can forward them for the first
        # time.
        self._is_started = False
        self.early_packets = early_packets.EarlyPackets()
        self.collector: 'recent_flow_collector.Collector | None' = None

    @property
    def is_ready(self) -> bool:
        """Whether the balancer has a configuration and a target."""
        return self._state.cfg is not None and len(self.targets) > 0

    @property
    def flow_count(self) -> int:
        """Number of flows whose agent is known."""
        return len(self._state.flows)

    @property
    def balancer_count(self) -> int:
        """Number of balancers, estimated from the period of agents' reports.

        Reports have a shortest period, so it is at least 6 after the first one.
        """
        return self._agents.balancer_count

    @property
    def search_count(self) -> int:
        """Number of owner searches in progress."""
        return len(self._searches)

    def on_registration(
            self, now_ms: int, name: str,
            registration: target_module.Registration) -> actions.Actions:
        """Adds or updates a target from its agent's entry in the store."""
        return self._agents.on_registration(now_ms, name, registration)

    def on_registrations_listed(self, now_ms: int) -> actions.Actions:
        """Called when all registrations of a list have been handed over."""
        self._has_registrations = True
        return self._start(now_ms)

    def on_registration_removed(self, now_ms: int,
                                name: str) -> actions.Actions:
        """Removes a target whose entry was removed, unless its agent lives.

        An agent that lives is told, and writes its entry again.
        """
        return self._agents.on_registration_removed(now_ms, name)

    def on_registration_unreadable(self, now_ms: int,
                                   name: str) -> actions.Actions:
        """Tells a live agent that its entry cannot be read."""
        return self._agents.on_registration_unreadable(now_ms, name)

    def on_configuration(self, now_ms: int,
                         cfg: routes.Configuration) -> actions.Actions:
        """Applies a configuration unless it is older than the current one."""
        current = self._state.cfg
        if current is not None and cfg.version <= current.version:
            return [
                actions.LogEvent('configuration not newer', {
                    'version': cfg.version,
                    'current': current.version
                })
            ]
        self._state.cfg = cfg
        self._pacing.on_configuration(cfg)
        self._behind_since_ms = None
        log_event = actions.LogEvent(
            'configuration', {
                'version': cfg.version,
                'routes': len(cfg.routes),
                'cold_per_s': {
                    name: limits.cold_per_s
                    for name, limits in cfg.services.items()
                }
            })
        return ([log_event] + self._agents.send_hellos(now_ms) +
                self._start(now_ms))

    def on_zones_out(self, now_ms: int, zones: frozenset[ids.ZoneName],
                     revision: ids.StoreRevision) -> actions.Actions:
        """Applies the set of zones that operators have taken out.

        Args:
          now_ms: Time.
          zones: All zones that are out.
          revision: Store revision at which the zones were read. The call has no
            effect if it is older than that of the last call.
        """
        if revision < self._zones_out_revision:
            return []
        is_restored = 0 <= revisions.era(
            self._zones_out_revision) < revisions.era(revision)
        self._zones_out_revision = revision
        if zones == self._state.zones_out:
            # Agents learn from a hello that the store may have lost their
            # registrations.
            return self._agents.send_hellos(now_ms) if is_restored else []
        self._state.zones_out = zones
        log_event = actions.LogEvent(
            'zones out', {
                'zones': ','.join(sorted(zones)),
                'revision': revisions.describe(revision)
            })
        return [log_event] + self._agents.send_hellos(now_ms)

    def on_client_packet(self, now_ms: int, raw: bytes) -> actions.Actions:
        """Forwards a client's packet, or resets a flow that has no owner.

        A packet that comes too early is kept.
        """
        segment = self._state.packets.parse_client(raw)
        if segment is None:
            return []
        if self._is_started:
            return self._route_packet(now_ms, segment)
        result = self._start(now_ms)
        if self._is_started:
            return result + self._route_packet(now_ms, segment)
        self.early_packets.add(now_ms, segment)
        return []

    def _start(self, now_ms: int) -> actions.Actions:
        """Forwards the packets that were kept, once that is possible.

        A balancer whose list is empty does not wait for a target.
        """
        has_targets = self._has_registrations or len(self.targets) > 0
        if self._is_started or self._state.cfg is None or not has_targets:
            return []
        self._is_started = True
        early = self.early_packets
        age_ms = early.age_ms(now_ms)
        result: actions.Actions = []
        for raw in early.take(now_ms):
            segment = self._state.packets.parse_client(raw)
            if segment is not None:
                result += self._route_packet(now_ms, segment)
        if early.forwarded_count or early.dropped_count:
            result.append(
                actions.LogEvent(
                    'early packets', {
                        'forwarded': early.forwarded_count,
                        'dropped': early.dropped_count,
                        'oldest_ms': age_ms,
                        'targets': len(self.targets)
                    }))
        return result

    def _route_packet(self, now_ms: int,
                      segment: segment_module.Segment) -> actions.Actions:
        state = self._state
        assert state.cfg is not None
        route = state.cfg.routes.get(state.packets.service_address(segment.key))
        if route is None:
            return self._on_unrouted(segment)
        if self._pacing.is_active:
            return self._forward_limited(now_ms, route, segment)
        return self._forward(now_ms, route, segment)

    def _forward_limited(self, now_ms: int, route: routes.Route,
                         segment: segment_module.Segment) -> actions.Actions:
        """Forwards a packet on a machine with limited capacity."""
        is_bulk = route.is_bulk_upload
        if is_bulk and segment.is_opening:
            result = self._pacing.on_opening(now_ms, route, segment)
        else:
            result = self._forward(now_ms, route, segment)
        if is_bulk and not segment.is_opening:
            result += self._pacing.on_packet(now_ms, route, segment)
        self._pacing.record_traffic(now_ms, len(segment.raw), result, is_bulk)
        return result

    def _forward(self, now_ms: int, route: routes.Route,
                 segment: segment_module.Segment) -> actions.Actions:
        state = self._state
        if segment.is_opening:
            return self._openings.on_opening(now_ms, route, segment)
        flow = state.flows.get(segment.key)
        if flow is not None:
            flow.last_packet_ms = now_ms
            flow.is_accepted = True
            flow.ack = segment.ack
            if segment.is_closing or segment.is_reset:
                self._openings.remove_placed(flow)
            tag = messages.service_tag(route.shares[0].service)
            data = messages.encode_forwarded_packet(tag, False, segment.raw)
            return [actions.SendToPeer(flow.agent, data)]
        ended = state.ended.get(segment.key)
        if ended is not None and segment_module.is_near(ended.ack, segment.ack):
            if segment.is_reset:
                return []
            return self._reset(segment.key, segment.ack, 'flow ended')
        return self._find_owner(now_ms, route, segment)

    def _on_unrouted(self, segment: segment_module.Segment) -> actions.Actions:
        """Resets a flow without a route; an open one only on proof.

        The balancer's configuration may be older than the one by which another
        balancer has opened the flow.
        """
        if segment.is_opening:
            return self._reset(segment.key, segment.ack, 'no route')
        if (segment.key in self._unrouted or
                len(self._unrouted) >= proof_queue.MAX_WAITING):
            return []
        if self._unrouted.add(segment.key, segment.ack):
            return [actions.ReadConfiguration()]
        return []

    def on_configuration_read(self, is_current: bool) -> actions.Actions:
        """Resets the waiting flows that have no route.

        Args:
          is_current: Whether the configuration is at least as new as the
            `ReadConfiguration` action.
        """
        result: actions.Actions = []
        for key, ack in self._unrouted.finish().items():
            address = self._state.packets.service_address(key)
            if (is_current and self._state.cfg is not None and
                    address not in self._state.cfg.routes):
                result += self._reset(key, ack, 'no route')
        if self._unrouted.try_start():
            result.append(actions.ReadConfiguration())
        return result

    def on_message(self, now_ms: int, origin: ids.Address,
                   data: bytes) -> actions.Actions:
        """Handles a datagram from an agent."""
        view = self.targets.by_agent(origin)
        if view is None:
            return []
        try:
            message = messages.decode(data)
        except errors.MessageError as exc:
            return [
                actions.LogEvent('unreadable message', {'reason': exc.reason})
            ]
        view.record_contact(now_ms)
        result = self._dispatch(now_ms, origin, view, message)
        if self._pacing.is_active:
            self._pacing.record_traffic(now_ms, len(data), result, False)
        return result

    def _dispatch(self, now_ms: int, origin: ids.Address,
                  view: target_view.TargetView,
                  message: messages.Message) -> actions.Actions:
        if isinstance(message, messages.Report):
            return (self._agents.on_report(now_ms, view, message) +
                    self._compare_knowledge(now_ms, view, message.knowledge))
        if isinstance(message, messages.Held):
            return self._searches.on_held(now_ms, origin, message)
        if isinstance(message, messages.NotHeld):
            return self._searches.on_not_held(now_ms, origin, message)
        if isinstance(message, messages.Denial):
            return self._searches.on_denial(now_ms, origin, message)
        if isinstance(message, messages.Refused):
            return self._openings.on_refused(now_ms, view, message)
        if isinstance(message, messages.Declined):
            return self._openings.on_declined(now_ms, view, message)
        if isinstance(message, messages.RecentFlows):
            return self._on_recent_flows(now_ms, view, message)
        return []

    def _on_recent_flows(self, now_ms: int, view: target_view.TargetView,
                         message: messages.RecentFlows) -> actions.Actions:
        if self.collector is None:
            # Few balancers need the module, and none at its start.
            # pylint: disable-next=import-outside-toplevel
            from figdrum.flows import recent_flow_collector
            self.collector = recent_flow_collector.Collector(now_ms)
        self.collector.on_message(now_ms, view.name, message)
        return []

    def on_recent_flows_stored(
        self,
        receipts: 'collections.abc.Iterable[recent_flow_collector.Receipt]'
    ) -> actions.Actions:
        """Confirms the messages whose flows the store now has."""
        digests: dict[tuple[str, str], list[int]] = {}
        for agent, target, digest in receipts:
            digests.setdefault((agent, target), []).append(digest)
        result: actions.Actions = []
        for (agent, target), found in digests.items():
            view = self.targets.by_name(agent)
            # Agents of an earlier version cannot decode the message.
            if view is not None and (view.registration.message_version
                                     >= messages.RECENT_FLOWS_STORED_VERSION):
                message = messages.RecentFlowsStored(
                    target, tuple(found[-messages.MAX_DIGESTS:]))
                result.append(
                    actions.SendToPeer(view.agent, messages.encode(message)))
        return result

    def on_timer(self, now_ms: int) -> actions.Actions:
        """Sends batched queries, and continues what waits for time."""
        result = self._searches.on_timer(now_ms)
        if self._pacing.is_active:
            result += self._pacing.on_timer(now_ms)
            self._pacing.record_traffic(now_ms, None, result, False)
        return result

    def on_limits(self, now_ms: int,
                  limits: link_budget.Limits) -> actions.Actions:
        """Applies the limits of the machine from the next packet on."""
        return self._pacing.set_limits(now_ms, limits)

    def on_cpu_time(self, cpu_ms: float) -> None:
        """Records the CPU time that the process has used since its start."""
        self._pacing.record_cpu_time(cpu_ms)

    def capacity_gauges(self, now_ms: int) -> dict[str, float]:
        """Returns gauges of the machine's traffic; none without a limit."""
        return self._pacing.gauges(now_ms) if self._pacing.is_active else {}

    def on_registrations_read(self, now_ms: int,
                              is_current: bool) -> actions.Actions:
        """Continues the searches that wait for the current registrations.

        Args:
          now_ms: Time.
          is_current: Whether all registrations are known that the store had at
            the time of the `ReadRegistrations` action.
        """
        return self._searches.on_registrations_read(now_ms, is_current)

    def on_tick(self, now_ms: int) -> actions.Actions:
        """Sends hellos and removes old flows; called every 250 ms."""
        self._state.expire_ended(now_ms)
        self.early_packets.expire(now_ms)
        if not self._agents.is_hello_due(now_ms):
            return []
        self._state.expire_flows(now_ms)
        return (self._agents.send_hellos(now_ms) +
                self._agents.remove_silent_registrations(now_ms))

    def _find_owner(self, now_ms: int, route: routes.Route,
                    segment: segment_module.Segment) -> actions.Actions:
        return self._searches.find_owner(now_ms, route, segment)

    def _continue_search(self, now_ms: int, key: bytes,
                         search: owner_search.OwnerSearch) -> actions.Actions:
        # A method, so that a subclass can change a search before its next step.
        return self._searches.advance(now_ms, key, search)

    def _reset(self, key: bytes, ack: int, cause: str) -> actions.Actions:
        return self._state.reset_flow(key, ack, cause)

    def _own_knowledge(self) -> messages.Knowledge:
        cfg = self._state.cfg
        return messages.Knowledge(cfg.version if cfg else -1,
                                  self._zones_out_revision,
                                  tuple(sorted(self._state.zones_out)))

    def _compare_knowledge(self, now_ms: int, view: target_view.TargetView,
                           reported: messages.Knowledge) -> actions.Actions:
        """Compares an agent's versions with those in force on this balancer.

        A newer set of zones is applied at once. An agent with an older
        configuration gets a hello. If agents have a newer configuration for
        some time, the balancer reads it from the store.
        """
        result: actions.Actions = []
        if reported.revision > self._zones_out_revision >= 0:
            zones = frozenset(ids.ZoneName(z) for z in reported.zones_out)
            if revisions.era(reported.revision) > revisions.era(
                    self._zones_out_revision):
                # A restored store may lack the zones for some seconds.
                zones |= self._state.zones_out
            result += self.on_zones_out(now_ms, zones, reported.revision)
        cfg = self._state.cfg
        if cfg is None or reported.version == cfg.version:
            return result
        if reported.version < cfg.version:
            return result + self._agents.resend_hello(now_ms, view)
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        elif now_ms - self._behind_since_ms >= MAX_CONFIGURATION_LAG_MS:
            self._behind_since_ms = now_ms
            result.append(actions.RefreshConfiguration())
        return result
