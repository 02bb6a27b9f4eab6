"""Places new flows: sends opening packets to the targets that are chosen."""

from figdrum.flows import actions
from figdrum.flows import balancer_agents
from figdrum.flows import balancer_searches
from figdrum.flows import balancer_state
from figdrum.flows import messages
from figdrum.flows import placement
from figdrum.flows import routes
from figdrum.flows import segment as segment_module
from figdrum.flows import target as target_module
from figdrum.flows import target_view


class Openings:
    """Chooses targets for opening packets and for those that are sent back."""

    def __init__(self, state: balancer_state.BalancerState,
                 searches: balancer_searches.Searches,
                 agents: balancer_agents.Agents):
        self._state = state
        self._searches = searches
        self._agents = agents

    def on_opening(self, now_ms: int, route: routes.Route,
                   segment: segment_module.Segment) -> actions.Actions:
        """Handles an opening packet or a copy of it."""
        flow = self._state.flows.get(segment.key)
        copies = segment.ack
        if flow is None or not flow.is_opened_by(now_ms, segment):
            # What is known of an earlier flow does not hold for this one.
            flow = None
            self._state.flows.pop(segment.key, None)
            self._searches.forget(segment.key)
            self._state.ended.pop(segment.key, None)
        elif flow.is_accepted:
            # A late copy: the client has acknowledged a target.
            return []
        if flow is not None and copies:
            # The client retransmits, so the chosen target has not answered.
            # Another one is chosen.
            view = self._state.targets.by_agent(flow.agent)
            if view is not None and view.name not in flow.declined:
                flow.failed_targets.add(view.name)
                view.record_unanswered(flow.last_packet_ms)
            flow.declined.clear()
        return self._place(now_ms, route, segment, flow)

    def _place(self, now_ms: int, route: routes.Route,
               segment: segment_module.Segment,
               flow: balancer_state.Flow | None) -> actions.Actions:
        service = routes.pick_service(route, segment.key)
        tag = messages.service_tag(service)
        failed_targets = flow.failed_targets if flow is not None else ()
        declined = flow.declined if flow is not None else {}
        candidates = placement.eligible_targets(
            now_ms, self._state.targets.flow_order(segment.key,
                                                   tag), self._state.zones_out,
            failed_targets, placement.CANDIDATE_COUNT + len(declined))
        untried = [view for view in candidates if view.name not in declined]
        may_decline = (len(declined) < placement.MAX_DECLINES and
                       len(candidates) > 1 and bool(untried))
        service_load = self._state.targets.service_load(tag)
        view = None
        if declined and not may_decline:
            view = placement.least_busy_target(candidates, declined)
        if view is None:
            view = placement.choose_target(now_ms, untried, self._state.zone,
                                           service_load)
        if view is None:
            self._state.flows.pop(segment.key, None)
            if len(self._state.targets
                  ) == 0 or self._state.targets.has_unknown_state(tag):
                # The client retransmits after 200 and 600 ms, while a reset
                # would cost it one of its attempts.
                return [
                    actions.LogEvent(
                        'no target yet', {
                            'flow': self._state.packets.describe(segment.key),
                            'service': service
                        })
                ]
            return self._state.reset_flow(segment.key, 0,
                                          f'no target of {service}')
        if flow is None:
            flow = self._state.flows[segment.key] = balancer_state.Flow(
                view.agent, now_ms)
        # What was sent back or not answered is no load at the former target.
        self.remove_placed(flow)
        flow.agent = view.agent
        flow.last_packet_ms = now_ms
        flow.client_first = segment.seq
        flow.may_decline = may_decline
        load_ms = service_load.wait_ms(now_ms, view.load)
        flow.placed_ms = now_ms
        view.load.placed += 1
        log_event = actions.LogEvent(
            'flow placed', {
                'flow': self._state.packets.describe(segment.key),
                'route': route.name,
                'target': view.name,
                'load_ms': round(load_ms, 1),
                'relative_work': round(view.load.relative_work, 2),
                'report_age_ms': (now_ms - view.load.reported_ms if
                                  view.load.reported_ms is not None else None),
                'copies': segment.ack
            })
        data = messages.encode_forwarded_packet(tag, False, segment.raw,
                                                may_decline,
                                                route.is_idempotent,
                                                route.request_class)
        return [actions.SendToPeer(view.agent, data), log_event]

    def remove_placed(self, flow: balancer_state.Flow) -> None:
        """Records that a flow is no longer load at its target."""
        view = self._state.targets.by_agent(flow.agent)
        if flow.placed_ms is not None and view is not None:
            view.load.remove_placed(flow.placed_ms)
        flow.placed_ms = None

    def _find_unplaced(
        self, view: target_view.TargetView, raw: bytes
    ) -> tuple[routes.Route, segment_module.Segment,
               balancer_state.Flow] | None:
        """Returns the flow whose opening packet an agent has sent back.

        The result is None if the flow has been placed elsewhere meanwhile, or
        if the target has accepted another copy of the opening packet.
        """
        segment = self._state.packets.parse_client(raw)
        if segment is None or self._state.cfg is None:
            return None
        route = self._state.cfg.routes.get(
            self._state.packets.service_address(segment.key))
        flow = self._state.flows.get(segment.key)
        if (route is None or flow is None or flow.agent != view.agent or
                flow.is_accepted or flow.client_first != segment.seq):
            return None
        return route, segment, flow

    def on_declined(self, now_ms: int, view: target_view.TargetView,
                    message: messages.Declined) -> actions.Actions:
        """Places a flow elsewhere that a busy target has declined."""
        unplaced = self._find_unplaced(view, message.raw)
        if unplaced is None:
            return []
        route, segment, flow = unplaced
        if not flow.may_decline:
            # The client retransmits after 200 and 600 ms, while a reset would
            # cost it one of its attempts.
            flow.declined.setdefault(view.name, message.requests)
            flow.returned_copies.add(segment.ack)
            return self._log_busy(segment, flow)
        flow.declined[view.name] = message.requests
        return self._place(now_ms, route, segment, flow)

    def _log_busy(self, segment: segment_module.Segment,
                  flow: balancer_state.Flow) -> actions.Actions:
        return [
            actions.LogEvent(
                'targets busy', {
                    'flow': self._state.packets.describe(segment.key),
                    'declined': dict(flow.declined)
                })
        ]

    def _on_busy(self, segment: segment_module.Segment,
                 flow: balancer_state.Flow) -> actions.Actions:
        """Resets a flow whose last copy finds no room, on proof.

        The client would wait for 0.8 s before its next attempt. The flow is
        certainly not open if all copies have gone through this balancer, and
        the agents that got them have sent them back without handing them to
        their targets. A target that did not answer may still accept one.
        """
        result = self._log_busy(segment, flow)
        if (not flow.failed_targets and
                flow.returned_copies.issuperset(range(segment.ack))):
            del self._state.flows[segment.key]
            result += self._state.reset_flow(segment.key, 0, 'targets busy')
        return result

    def on_refused(self, now_ms: int, view: target_view.TargetView,
                   message: messages.Refused) -> actions.Actions:
        """Places a flow elsewhere that a target has refused."""
        unplaced = self._find_unplaced(view, message.raw)
        if unplaced is None:
            return []
        route, segment, flow = unplaced
        if message.reason == target_module.RefusalReason.BUSY.value:
            return self._on_busy(segment, flow)
        flow.failed_targets.add(view.name)
        log_event = actions.LogEvent(
            'target refused', {
                'flow': self._state.packets.describe(segment.key),
                'target': view.name,
                'reason': message.reason
            })
        result: actions.Actions = [log_event]
        if message.reason == target_module.RefusalReason.COLD.value:
            # An agent that does not have the limit yet applies a low default.
            result += self._agents.resend_hello(now_ms, view)
        return result + self._place(now_ms, route, segment, flow)
