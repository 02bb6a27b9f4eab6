"""Paces uploads so that they fit in the capacity of the balancer's machine.

Explanation
===========

Opening packets of routes with large bodies wait while `LinkBudget` has no room
for another upload. All other packets pass at once. An opening packet that its
client would give up before its turn is refused, which is true since no target
has it. The client's next attempt has another port, and most likely goes through
another balancer.

Without a limit nothing is metered, and no packet waits.
"""

from figdrum.core import clock
from figdrum.flows import actions
from figdrum.flows import balancer_openings
from figdrum.flows import balancer_state
from figdrum.flows import link_budget
from figdrum.flows import routes
from figdrum.flows import segment as segment_module
from figdrum.flows import waiting_openings

# Period in ms of the checks whether a waiting opening packet can go. The end of
# an upload starts a check at once; the others follow from time alone.
CHECK_PERIOD_MS = 10

# Time in ms after a waiting opening packet was placed within which a copy does
# not mean that its target fails to answer. It covers an agent's answer and a
# full link on the client's next packet.
MIN_ANSWER_MS = 100


class Pacing:
    """Meters a balancer's traffic and holds back opening packets of uploads.

    Attributes:
      is_active: Whether the machine has a limit and the configuration a route
        with uploads. Otherwise nothing is metered.
    """

    def __init__(self, now_ms: int, state: balancer_state.BalancerState,
                 openings: balancer_openings.Openings):
        self._state = state
        self._openings = openings
        self._budget = link_budget.LinkBudget(now_ms)
        self._waiting = waiting_openings.WaitingOpenings()
        # Time at which the next check is due.
        self._check_ms = now_ms
        self._has_uploads = False
        self.is_active = False

    def _set_active(self) -> None:
        self.is_active = self._budget.limits.is_limited and self._has_uploads

    def set_limits(self, now_ms: int,
                   limits: link_budget.Limits) -> actions.Actions:
        """Applies the limits of the machine from the next packet on."""
        self._budget.set_limits(limits)
        self._set_active()
        log_event = actions.LogEvent('machine limits', limits._asdict())
        return [log_event] + self._place_waiting(now_ms)

    def on_configuration(self, cfg: routes.Configuration) -> None:
        """Derives the delay that uploads may cause from latency targets."""
        self._has_uploads = any(
            route.is_bulk_upload for route in cfg.routes.values())
        self._set_active()
        targets_ms = [
            route.request_class.latency_target_ms
            for route in cfg.routes.values()
            if not route.is_bulk_upload and
            route.request_class.latency_target_ms
        ]
        self._budget.delay_ms = (link_budget.DELAY_SHARE * min(targets_ms) if
                                 targets_ms else link_budget.DEFAULT_DELAY_MS)

    def record_cpu_time(self, cpu_ms: float) -> None:
        """Records the CPU time that the process has used since its start."""
        self._budget.record_cpu_time(cpu_ms)

    def record_traffic(self, now_ms: int, size: int | None,
                       sent: actions.Actions, is_bulk: bool) -> None:
        """Meters a datagram and what was sent because of it.

        Args:
          now_ms: Time.
          size: Size of the datagram in bytes; None if there was none.
          sent: Actions of the balancer.
          is_bulk: Whether the traffic is that of uploads.
        """
        if size is not None:
            self._budget.record_in(now_ms, size, is_bulk)
        for action in sent:
            if isinstance(action, actions.SendToPeer):
                self._budget.record_out(now_ms, len(action.data), is_bulk)
            elif isinstance(action, actions.SendToClient):
                self._budget.record_out(now_ms, len(action.raw), is_bulk)

    def gauges(self, now_ms: int) -> dict[str, float]:
        """Returns the values of the gauges, by name."""
        bytes_in, bytes_out = self._budget.bytes_per_s(now_ms)
        return {
            'bytes_in_per_s': bytes_in,
            'bytes_out_per_s': bytes_out,
            'openings_waiting': len(self._waiting),
            'uploads': self._budget.count_uploads(now_ms)
        }

    def on_opening(self, now_ms: int, route: routes.Route,
                   segment: segment_module.Segment) -> actions.Actions:
        """Handles an opening packet of an upload, or a copy of it."""
        flow = self._state.flows.get(segment.key)
        if flow is not None and flow.is_opened_by(now_ms, segment):
            # Its first copy was let through.
            if now_ms - flow.last_packet_ms < MIN_ANSWER_MS:
                return []
            self._budget.start(now_ms, segment.key, route.name)
            return self._openings.on_opening(now_ms, route, segment)
        if self._waiting.replace(segment):
            return []
        transfer_ms = self._budget.transfer_ms(
            now_ms, self._budget.expected_bytes(route.name))
        opening = waiting_openings.make_opening(now_ms, route, segment,
                                                transfer_ms)
        if not self._waiting and self._budget.can_start(now_ms, route.name):
            return self._place(now_ms, opening)
        wait_ms = self._expected_wait_ms(now_ms, opening)
        if now_ms + wait_ms >= opening.expires_ms:
            return self._refuse(now_ms, opening, wait_ms)
        dropped = self._waiting.add(now_ms, opening)
        result: actions.Actions = [
            self._make_event('opening paced', now_ms, opening)
        ]
        if dropped is not None:
            result.append(
                self._make_event('paced opening dropped', now_ms, dropped))
        return result + self._place_waiting(now_ms)

    def on_packet(self, now_ms: int, route: routes.Route,
                  segment: segment_module.Segment) -> actions.Actions:
        """Records a later packet of an upload; may place waiting ones."""
        key = segment.key
        self._waiting.remove_opened(segment)
        if segment.is_reset or segment.is_closing:
            has_ended = self._budget.end(key)
        else:
            has_ended = self._budget.on_packet(now_ms, key, segment.length,
                                               route.name)
        return self._place_waiting(now_ms) if has_ended else []

    def on_timer(self, now_ms: int) -> actions.Actions:
        """Places the waiting opening packets that can go."""
        # The process has one timer, which may have been set for another reason.
        self._check_ms = now_ms
        return self._place_waiting(now_ms)

    def _place_waiting(self, now_ms: int) -> actions.Actions:
        result: actions.Actions = [
            self._make_event('paced opening given up', now_ms, opening)
            for opening in self._waiting.remove_expired(now_ms)
        ]
        while opening := self._waiting.first(now_ms):
            if not self._budget.can_start(now_ms, opening.route.name):
                break
            self._waiting.remove(opening.segment.key)
            result.append(
                self._make_event('paced opening placed', now_ms, opening))
            result.append(
                actions.ObserveHistogram('pacing_ms',
                                         now_ms - opening.arrived_ms))
            result += self._place(now_ms, opening)
        result += self._refuse_hopeless(now_ms)
        if self._waiting and now_ms >= self._check_ms:
            self._check_ms = now_ms + CHECK_PERIOD_MS
            result.append(actions.StartTimer(CHECK_PERIOD_MS))
        return result

    def _refuse_hopeless(self, now_ms: int) -> actions.Actions:
        """Refuses those at the end that others keep from their turn."""
        result: actions.Actions = []
        while opening := self._waiting.last(now_ms):
            wait_ms = self._expected_wait_ms(now_ms, opening)
            if now_ms + wait_ms < opening.expires_ms:
                break
            self._waiting.remove(opening.segment.key)
            result += self._refuse(now_ms, opening, wait_ms)
        return result

    def _place(self, now_ms: int,
               opening: waiting_openings.WaitingOpening) -> actions.Actions:
        key = opening.segment.key
        self._budget.start(now_ms, key, opening.route.name)
        result = self._openings.on_opening(now_ms, opening.route,
                                           opening.segment)
        if key not in self._state.flows:
            # No target can take it.
            self._budget.end(key)
        return result

    def _expected_wait_ms(self, now_ms: int,
                          opening: waiting_openings.WaitingOpening) -> float:
        order = opening.order(now_ms)
        ahead = self._budget.left_bytes() + sum(
            self._budget.expected_bytes(one.route.name)
            for one in self._waiting
            if one is not opening and one.order(now_ms) <= order)
        return self._budget.transfer_ms(now_ms, ahead)

    def _refuse(self, now_ms: int, opening: waiting_openings.WaitingOpening,
                wait_ms: float) -> actions.Actions:
        """Refuses an opening packet; drops it if its flow may be open.

        Another balancer, or an earlier process, may have had an earlier copy.
        """
        if not opening.is_first_copy:
            return [self._make_event('paced opening dropped', now_ms, opening)]
        event = self._make_event('opening over capacity', now_ms, opening)
        event.fields['wait_ms'] = round(wait_ms)
        return [event] + self._state.reset_flow(opening.segment.key, 0,
                                                'over capacity')

    def _make_event(
            self, event: str, now_ms: int,
            opening: waiting_openings.WaitingOpening) -> actions.LogEvent:
        free = self._budget.free_bytes_per_ms(now_ms)
        return actions.LogEvent(
            event, {
                'flow': self._state.packets.describe(opening.segment.key),
                'route': opening.route.name,
                'age_ms': now_ms - opening.first_ms,
                'waited_ms': now_ms - opening.arrived_ms,
                'left_ms': round(opening.latest_start_ms - now_ms),
                'waiting': len(self._waiting),
                'uploads': self._budget.count_uploads(now_ms),
                'in_flight_bytes': round(self._budget.in_flight_bytes(now_ms)),
                'free_bytes_per_s':
                    (round(free * clock.MS_PER_S) if self.is_active else None),
                'measured_ms': link_budget.TIME_CONSTANT_MS
            })
