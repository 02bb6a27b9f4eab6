"""Registrations of agents, and what the balancer tells agents."""

import collections.abc
import typing

from figdrum.core import ids
from figdrum.flows import actions
from figdrum.flows import balancer_state
from figdrum.flows import cold_limit
from figdrum.flows import messages
from figdrum.flows import target as target_module
from figdrum.flows import target_view

# Time in ms without a message of an agent after which its registration is
# doubted. It is far longer than any network outage that the users describe.
REGISTRATION_TIMEOUT_MS = 120_000

# Time in ms from then until a registration that is still doubted is removed.
# Other balancers, whose watches may lag by seconds, tell the agent meanwhile.
REMOVAL_DELAY_MS = 30_000

# Time in ms since the last message of an agent within which it is known to be
# alive. Agents report to all balancers together each 40 ms.
ALIVE_MS = 8_000

# Period of the hello messages to each agent, in ms. An agent sends reports for
# 8 s after a hello.
HELLO_PERIOD_MS = 2_500

# Shortest time in ms between two additional hellos to an agent that does not
# seem to have the current limits. The agent has them after one round trip, and
# may refuse many opening packets until then.
MIN_HELLO_INTERVAL_MS = 100


class ColdRateTolerance(typing.NamedTuple):
    """How far the platform lets the rate to a cold target exceed its limit.

    Attributes:
      cold_overage: Factor by which a cold target may get more opening packets
        per second than its service's limit.
      cold_slack: Opening packets per second in addition.
    """
    cold_overage: float
    cold_slack: float


class Agents:
    """Keeps track of registrations, and sends hellos.

    Attributes:
      balancer_count: Number of balancers, estimated from the period of agents'
        reports. Reports have a shortest period, so it is at least 6 after the
        first one.
    """

    def __init__(self, now_ms: int, state: balancer_state.BalancerState,
                 tolerance: ColdRateTolerance,
                 knowledge: collections.abc.Callable[[], messages.Knowledge]):
        """Creates the object.

        Args:
          now_ms: Time.
          state: State that the parts of the balancer share.
          tolerance: How far the rate to a cold target may exceed its limit.
          knowledge: Returns the versions in force on this balancer.
        """
        self._state = state
        self._tolerance = tolerance
        self._knowledge = knowledge
        self._hello_sent_ms = now_ms - HELLO_PERIOD_MS
        self.balancer_count = 1

    def is_hello_due(self, now_ms: int) -> bool:
        """Returns whether it is time for the next periodic hellos."""
        return now_ms - self._hello_sent_ms >= HELLO_PERIOD_MS

    def on_report(self, now_ms: int, view: target_view.TargetView,
                  message: messages.Report) -> actions.Actions:
        """Records an agent's report; asks for the rate if it has none."""
        self._state.targets.apply_report(now_ms, view, message)
        self.balancer_count = message.period_ms // messages.REPORT_SPACING_MS
        if message.rate_per_s is not None or (view.rate_asked_ms is not None and
                                              now_ms - view.rate_asked_ms
                                              < HELLO_PERIOD_MS):
            return []
        view.rate_asked_ms = now_ms
        return [
            actions.SendToPeer(
                view.agent,
                messages.encode_forwarded_packet(view.tag, False, b''))
        ]

    def on_registration(
            self, now_ms: int, name: str,
            registration: target_module.Registration) -> actions.Actions:
        """Adds or updates a target from its agent's entry in the store."""
        if not self._state.targets.register(now_ms, name, registration):
            return (self._check_live_agent(now_ms, name)
                    if self._is_odd(registration) else [])
        view = self._state.targets.by_agent(registration.agent)
        log_event = actions.LogEvent(
            'target known', {
                'target': name,
                'service': registration.service,
                'zone': registration.zone
            })
        return [log_event, self._make_hello(view, self._knowledge())
               ] if view else [log_event]

    def _is_odd(self, registration: target_module.Registration) -> bool:
        """Returns whether a live agent has to check its registration.

        A write whose answer was lost may arrive after the target is back.
        """
        if registration.is_doubted:
            return True
        view = self._state.targets.by_agent(registration.agent)
        return (registration.state is target_module.TargetState.LEFT and
                view is not None and view.report is not None and
                (view.report.target not in ('', registration.target) or
                 view.is_ready()))

    def on_registration_removed(self, now_ms: int,
                                name: str) -> actions.Actions:
        """Removes a target whose entry was removed, unless its agent lives.

        An agent that lives is told, and writes its entry again.
        """
        told = self._check_live_agent(now_ms, name)
        if told:
            return told
        self._state.targets.remove(name)
        return [actions.LogEvent('target removed', {'target': name})]

    def on_registration_unreadable(self, now_ms: int,
                                   name: str) -> actions.Actions:
        """Tells a live agent that its entry cannot be read."""
        return self._check_live_agent(now_ms, name)

    def _check_live_agent(self, now_ms: int, name: str) -> actions.Actions:
        view = self._state.targets.by_name(name)
        if (view is None or view.last_heard_ms is None or
                now_ms - view.last_heard_ms > ALIVE_MS):
            return []
        return [
            actions.SendToPeer(view.agent,
                               messages.encode(messages.CheckRegistration())),
            actions.LogEvent('registration of a live agent', {'target': name})
        ]

    def remove_silent_registrations(self, now_ms: int) -> actions.Actions:
        """Removes the registrations of agents that nobody hears.

        A registration is marked first. Its agent writes it again if another
        balancer hears it, and only an entry that is still marked is removed.
        """
        result: actions.Actions = []
        for view in self._state.targets.all():
            if view.silence_ms(now_ms) < REGISTRATION_TIMEOUT_MS:
                continue
            if (view.doubted_ms is None or
                    now_ms - view.doubted_ms >= REGISTRATION_TIMEOUT_MS):
                view.doubted_ms = now_ms
                result += self._doubt_registration(now_ms, view)
            elif (view.registration.is_doubted and
                  now_ms - view.doubted_ms >= REMOVAL_DELAY_MS):
                result.append(actions.RemoveRegistration(view.name))
        return result

    def _doubt_registration(self, now_ms: int,
                            view: target_view.TargetView) -> actions.Actions:
        result: actions.Actions = [
            actions.LogEvent('agent gone', {
                'target': view.name,
                'silent_ms': view.silence_ms(now_ms)
            })
        ]
        if not view.registration.is_doubted:
            result.append(
                actions.DoubtRegistration(
                    view.name, view.registration._replace(is_doubted=True)))
        return result

    def send_hellos(self, now_ms: int) -> actions.Actions:
        """Sends a hello to each agent."""
        self._hello_sent_ms = now_ms
        knowledge = self._knowledge()
        return [
            self._make_hello(view, knowledge)
            for view in self._state.targets.all()
        ]

    def resend_hello(self, now_ms: int,
                     view: target_view.TargetView) -> actions.Actions:
        """Sends a hello to an agent that started after the last one."""
        if (view.hello_sent_ms is not None and
                now_ms - view.hello_sent_ms < MIN_HELLO_INTERVAL_MS):
            return []
        view.hello_sent_ms = now_ms
        return [self._make_hello(view, self._knowledge())]

    def _make_hello(self, view: target_view.TargetView,
                    knowledge: messages.Knowledge) -> actions.SendToPeer:
        # An agent of an earlier version would refuse a hello with a zone.
        is_zone_known = (view.registration.message_version
                         >= messages.HELLO_ZONE_VERSION)
        hello = messages.Hello(knowledge,
                               self._cold_limit(view.registration.service),
                               len(self._state.targets),
                               self._state.zone if is_zone_known else None)
        return actions.SendToPeer(view.agent, messages.encode(hello))

    def _cold_limit(self, service: ids.ServiceName) -> int | None:
        limits = self._state.cfg.services.get(
            service) if self._state.cfg else None
        if limits is None:
            return cold_limit.DEFAULT_PER_S
        if not limits.cold_per_s:
            return None
        return int(limits.cold_per_s * self._tolerance.cold_overage +
                   self._tolerance.cold_slack)
