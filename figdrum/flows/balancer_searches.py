"""Searches for the owners of flows whose agent is not known.

Explanation
===========

Agents are queried in the flow's order of targets, and further packets of the
flow are buffered until there is a result. A flow that all known agents have
denied is reset only after the store's current registrations were read.
"""

import collections.abc

from figdrum.core import ids
from figdrum.flows import actions
from figdrum.flows import balancer_state
from figdrum.flows import messages
from figdrum.flows import owner_search
from figdrum.flows import proof_queue
from figdrum.flows import routes
from figdrum.flows import segment as segment_module
from figdrum.flows import target as target_module

# Owner searches in progress at most. Packets that would need another search are
# dropped; clients retransmit them.
MAX_SEARCHES = 512

# Time in ms for which queries to one agent are batched after a flow's first
# candidates have denied it, and the most queries in one message (600 bytes).
QUERY_BATCH_MS = 10
MAX_QUERIES_PER_MESSAGE = 32

# Continues a search: takes the time, the key of the flow and the search.
Continuation = collections.abc.Callable[[int, bytes, owner_search.OwnerSearch],
                                        actions.Actions]


def _make_query(agent: ids.Address,
                flows: list[tuple[bytes, int]]) -> actions.SendToPeer:
    return actions.SendToPeer(agent,
                              messages.encode(messages.Ask(tuple(flows))))


class Searches:
    """The owner searches in progress."""

    def __init__(self, state: balancer_state.BalancerState,
                 continue_search: Continuation):
        """Creates the object.

        Args:
          state: State that the parts of the balancer share.
          continue_search: Continues a search, usually by `advance`.
        """
        self._state = state
        self._continue_search = continue_search
        self._searches: dict[bytes, owner_search.OwnerSearch] = {}
        # Searches that wait for the current registrations.
        self._unproven: proof_queue.ProofQueue[owner_search.OwnerSearch] = (
            proof_queue.ProofQueue())
        self._queries: dict[ids.Address, list[tuple[bytes, int]]] = {}

    def __len__(self) -> int:
        return len(self._searches)

    def forget(self, key: bytes) -> None:
        """Ends the search for a flow, if there is one, without a result."""
        self._searches.pop(key, None)

    def find_owner(self, now_ms: int, route: routes.Route,
                   segment: segment_module.Segment) -> actions.Actions:
        """Searches for the owner of a flow, or continues the search."""
        search = self._searches.get(segment.key)
        if search is not None and search.is_for(segment.ack):
            search.buffer_packet(segment.raw)
            return []
        if len(self._searches) - len(self._unproven) >= MAX_SEARCHES:
            return []
        tags = {messages.service_tag(share.service) for share in route.shares}
        first: list[ids.Address] = []
        unresponsive: set[ids.Address] = set()
        for view in self._state.targets.all_in_flow_order(segment.key, tags):
            if view.is_silent(now_ms):
                if not view.was_heard_lately(now_ms):
                    continue
                unresponsive.add(view.agent)
            first.append(view.agent)
            if (len(first) -
                    len(unresponsive) == owner_search.INITIAL_QUERY_COUNT):
                break
        tag = messages.service_tag(routes.pick_service(route, segment.key))
        search = owner_search.OwnerSearch(now_ms, first, segment.raw,
                                          segment.ack, tag, unresponsive,
                                          self._queries_all_first())
        self._searches[segment.key] = search
        return self._continue_search(now_ms, segment.key, search) + [
            actions.StartTimer(owner_search.QUERY_TIMEOUT_MS)
        ]

    def _queries_all_first(self) -> bool:
        return (len(self._state.targets)
                <= owner_search.MAX_AGENTS_BEFORE_DELIVERY)

    def advance(self, now_ms: int, key: bytes,
                search: owner_search.OwnerSearch) -> actions.Actions:
        """Returns the next steps of a search, or its result."""
        if search.verdict is owner_search.Verdict.UNPROVEN:
            return []
        result: actions.Actions = []
        steps = search.steps(now_ms)
        if search.needs_all_agents:
            search.add_agents(self._all_agents(now_ms, key),
                              left=self._left_agents(),
                              unresponsive=self._silent_agents(now_ms))
            steps = search.steps(now_ms)
        for step in steps:
            result += self._send_step(step, key, search)
        if search.verdict is owner_search.Verdict.OPEN:
            return result
        if (search.verdict is owner_search.Verdict.UNPROVEN and
                len(self._unproven) < proof_queue.MAX_WAITING):
            if self._unproven.add(key, search):
                result.append(actions.ReadRegistrations())
            return result
        del self._searches[key]
        result.append(
            actions.ObserveHistogram('search_ms', now_ms - search.started_ms))
        result.append(
            actions.LogEvent(
                'owner not found', {
                    'flow': self._state.packets.describe(key),
                    'asked': search.query_count,
                    'silent': [agent[0] for agent in search.unexplained_silent],
                    'left': len(search.silent) - len(search.unexplained_silent),
                    'ms': now_ms - search.started_ms
                }))
        if search.verdict is owner_search.Verdict.NO_OWNER:
            self._state.end_flow(now_ms, key, search.ack)
            result += self._state.reset_flow(key, search.ack, 'no owner')
        return result

    def on_registrations_read(self, now_ms: int,
                              is_current: bool) -> actions.Actions:
        """Continues the searches that wait for the current registrations.

        Args:
          now_ms: Time.
          is_current: Whether all registrations are known that the store had at
            the time of the `ReadRegistrations` action.
        """
        result: actions.Actions = []
        for key, search in self._unproven.finish().items():
            if self._searches.get(key) is not search:
                continue
            if is_current:
                search.add_agents(self._all_agents(now_ms, key), True,
                                  self._left_agents())
                result += self._continue_search(now_ms, key, search)
            else:
                # The client retransmits, which starts another search.
                del self._searches[key]
                result.append(
                    actions.LogEvent(
                        'registrations not current', {
                            'flow': self._state.packets.describe(key),
                            'ms': now_ms - search.started_ms
                        }))
        if self._unproven.try_start():
            result.append(actions.ReadRegistrations())
        return result

    def _all_agents(self, now_ms: int, key: bytes) -> list[ids.Address]:
        """Returns all agents in a flow's order, the silent ones last."""
        views = list(self._state.targets.all_in_flow_order(key, ()))
        # The sort is stable, so both groups keep their order.
        views.sort(key=lambda view: view.is_silent(now_ms))
        return [view.agent for view in views]

    def _silent_agents(self, now_ms: int) -> frozenset[ids.Address]:
        return frozenset(view.agent
                         for view in self._state.targets.all()
                         if view.is_silent(now_ms))

    def _left_agents(self) -> frozenset[ids.Address]:
        """Returns the agents whose registrations say that the target left.

        One that has reported another target since is not among them: it could
        not read its entry when it started.
        """
        return frozenset(
            view.agent
            for view in self._state.targets.all()
            if view.registration.state is target_module.TargetState.LEFT and
            (view.report is None or view.report.target in
             ('', view.registration.target)))

    def on_held(self, now_ms: int, origin: ids.Address,
                message: messages.Held) -> actions.Actions:
        """Records the owner of a flow and sends it the buffered packets."""
        key = message.key
        search = self._searches.get(key)
        if search is not None and not search.is_for(message.ack):
            return []
        if search is None and key in self._state.flows:
            # The flow was found or opened meanwhile.
            return []
        flow = self._state.flows[key] = balancer_state.Flow(origin, now_ms)
        flow.is_accepted = True
        flow.ack = message.ack
        if search is None:
            return []
        del self._searches[key]
        log_event = actions.LogEvent(
            'owner found', {
                'flow': self._state.packets.describe(key),
                'agent': origin[0],
                'asked': search.query_count,
                'ms': now_ms - search.started_ms
            })
        packets = search.buffered_packets
        if not search.has_delivered_to(origin):
            packets = [search.raw] + packets
        observation = actions.ObserveHistogram('search_ms',
                                               now_ms - search.started_ms)
        return [log_event, observation] + [
            actions.SendToPeer(
                origin, messages.encode_forwarded_packet(
                    search.tag, False, raw)) for raw in packets
        ]

    def on_not_held(self, now_ms: int, origin: ids.Address,
                    message: messages.NotHeld) -> actions.Actions:
        """Forgets the agent of a flow, or continues the search for it."""
        key = message.key
        flow = self._state.flows.get(key)
        search = self._searches.get(key)
        if search is not None and not search.is_for(message.ack):
            search = None
        if message.ended:
            if flow is not None and (flow.agent != origin or
                                     not flow.has_number(message.ack)):
                return []
            self._state.flows.pop(key, None)
            self._state.end_flow(now_ms, key, message.ack)
            if search is not None:
                del self._searches[key]
            if search is None:
                # The next packet has the acknowledgement number that a reset
                # needs.
                return []
            return self._state.reset_flow(key, search.ack, 'owner ended')
        if (flow is not None and flow.agent == origin and
                flow.has_number(message.ack)):
            del self._state.flows[key]
        if search is None:
            return []
        search.on_denied(origin)
        return self._continue_search(now_ms, key, search)

    def on_denial(self, now_ms: int, origin: ids.Address,
                  message: messages.Denial) -> actions.Actions:
        """Continues the searches whose flows an agent was queried for."""
        result: actions.Actions = []
        for flows, is_denied in ((message.not_held, True), (message.unsure,
                                                            False)):
            for key, ack in flows:
                search = self._searches.get(key)
                if search is None or not search.is_for(ack):
                    continue
                if is_denied:
                    search.on_denied(origin)
                else:
                    search.on_unsure(origin)
                result += self._continue_search(now_ms, key, search)
        return result

    def on_timer(self, now_ms: int) -> actions.Actions:
        """Sends batched queries and continues searches that have timed out."""
        result = self._send_queries()

        def is_heard(agent: ids.Address) -> bool:
            view = self._state.targets.by_agent(agent)
            return view is not None and view.was_heard_lately(now_ms)

        running = [(key, search)
                   for key, search in self._searches.items()
                   if search.verdict is owner_search.Verdict.OPEN]
        for key, search in running:
            search.expire_queries(now_ms, is_heard)
            for step in search.repeat_lost(now_ms):
                result += self._send_step(step, key, search)
            for agent in (*search.slow, *search.silent):
                view = self._state.targets.by_agent(agent)
                if view is not None:
                    view.record_unanswered(search.started_ms)
            result += self._continue_search(now_ms, key, search)
        if running:
            result.append(
                actions.StartTimer(owner_search.TIMEOUT_CHECK_PERIOD_MS))
        return result

    def _send_step(self,
                   step: owner_search.OwnerQuery | owner_search.TrialDelivery,
                   key: bytes,
                   search: owner_search.OwnerSearch) -> actions.Actions:
        if isinstance(step, owner_search.TrialDelivery):
            data = messages.encode_forwarded_packet(search.tag, True,
                                                    search.raw)
            return [actions.SendToPeer(step.agent, data)]
        if step.is_urgent:
            return [_make_query(step.agent, [(key, search.ack)])]
        return self._batch_query(step.agent, key, search.ack)

    def _batch_query(self, agent: ids.Address, key: bytes,
                     ack: int) -> actions.Actions:
        """Adds a query to the next message to the agent."""
        is_first = not self._queries
        flows = self._queries.setdefault(agent, [])
        flows.append((key, ack))
        if len(flows) >= MAX_QUERIES_PER_MESSAGE:
            del self._queries[agent]
            return [_make_query(agent, flows)]
        return [actions.StartTimer(QUERY_BATCH_MS)] if is_first else []

    def _send_queries(self) -> actions.Actions:
        queries, self._queries = self._queries, {}
        return [_make_query(agent, flows) for agent, flows in queries.items()]
