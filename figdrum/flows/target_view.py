"""A balancer's state of each target."""

import collections.abc
import itertools

from figdrum.core import ids
from figdrum.flows import load_estimate
from figdrum.flows import messages
from figdrum.flows import target as target_module
from figdrum.routing import hash_ring

# Reports that may be missing before an agent is considered silent. A silent
# agent gets new flows only if there is no other.
MAX_MISSED_REPORTS = 3

# Time in ms, and in periods of its reports, since the last message of an agent
# within which it may only be slow if it does not answer. One that has started
# again reports after the next hello, which comes within 2.5 s.
HEARD_LATELY_MS = 2_500
HEARD_LATELY_REPORTS = 2

# Time in ms after which an agent that has not answered a packet, and has sent
# nothing since, is no longer waited for. On a crowded machine a process may
# wait that long for the processor.
MAX_DELAY_MS = 300

# Time in ms within which an agent's first report is expected after a hello.
FIRST_REPORT_TIMEOUT_MS = 300


class TargetView:
    """A balancer's state of one target and its agent.

    Attributes:
      name: Name of the registration, which determines the order of targets
        for a flow.
      registration: The entry in the store.
      report: Last report of the agent, or None.
      last_heard_ms: Time of the agent's last message, or None.
      registered_ms: Time at which the balancer learned of the target.
      unanswered_ms: Time of the first packet to the agent that has timed out
        since its last message, or None.
      doubted_ms: Time at which the balancer has doubted the registration since
        the agent's last message, or None.
      load: What is known of its load.
      tag: `messages.service_tag` of its service.
      hello_sent_ms: Time of the last additional hello to the agent, or None.
      rate_asked_ms: Time at which the agent was last told that this balancer
        can decode reports with a rate, or None.
    """
    __slots__ = ('name', 'registration', 'report', 'last_heard_ms', 'load',
                 'tag', 'registered_ms', 'unanswered_ms', 'doubted_ms',
                 'hello_sent_ms', 'rate_asked_ms')

    def __init__(self, name: str, registration: target_module.Registration,
                 now_ms: int):
        self.name = name
        self.registration = registration
        self.report: messages.Report | None = None
        self.last_heard_ms: int | None = None
        self.load = load_estimate.TargetLoad()
        self.tag = messages.service_tag(registration.service)
        self.registered_ms = now_ms
        self.unanswered_ms: int | None = None
        self.doubted_ms: int | None = None
        self.hello_sent_ms: int | None = None
        self.rate_asked_ms: int | None = None

    @property
    def agent(self) -> ids.Address:
        """Packet address of the agent."""
        return self.registration.agent

    def record_contact(self, now_ms: int) -> None:
        """Records a message from the agent."""
        self.last_heard_ms = now_ms
        self.unanswered_ms = None
        self.doubted_ms = None

    def record_unanswered(self, sent_ms: int) -> None:
        """Records that a packet sent at `sent_ms` has timed out."""
        if self.unanswered_ms is None and (self.last_heard_ms is None or
                                           self.last_heard_ms < sent_ms):
            self.unanswered_ms = sent_ms

    @property
    def is_unanswered(self) -> bool:
        """Whether a packet to the agent has timed out, and none came since."""
        return self.unanswered_ms is not None

    def is_silent(self, now_ms: int) -> bool:
        """Returns whether the agent has missed reports or an answer."""
        if self.is_unanswered:
            return True
        period_ms = (self.report.period_ms
                     if self.report else FIRST_REPORT_TIMEOUT_MS)
        return self.silence_ms(now_ms) > MAX_MISSED_REPORTS * period_ms

    def was_heard_lately(self, now_ms: int) -> bool:
        """Returns whether the agent may only be slow if it does not answer."""
        if self.last_heard_ms is None or self.report is None:
            return False
        if (self.unanswered_ms is not None and
                now_ms - self.unanswered_ms >= MAX_DELAY_MS):
            return False
        limit_ms = max(HEARD_LATELY_MS,
                       HEARD_LATELY_REPORTS * self.report.period_ms)
        return now_ms - self.last_heard_ms <= limit_ms

    def apply(self, now_ms: int, report: messages.Report | None) -> None:
        """Replaces the report."""
        self.report = report
        if report is None:
            self.load.clear()
        else:
            self.load.apply_report(now_ms, report.busy, report.flows,
                                   report.slots)

    def silence_ms(self, now_ms: int) -> int:
        """Returns the time since the agent's last message, in ms."""
        since_ms = (self.last_heard_ms
                    if self.last_heard_ms is not None else self.registered_ms)
        return now_ms - since_ms

    def is_ready(self) -> bool:
        """Returns whether the target is ready, by the last known state."""
        state = (self.report.state
                 if self.report else self.registration.state.value)
        return state == target_module.TargetState.READY.value

    def is_state_unknown(self) -> bool:
        """Returns whether the agent has not reported the target's state yet."""
        unknown_state = target_module.TargetState.UNKNOWN.value
        return self.report is None or self.report.state == unknown_state

    def is_cold(self) -> bool:
        """Returns whether the target is warming up, by the last known state."""
        return (self.report.is_cold
                if self.report else self.registration.is_cold)

    @property
    def slots(self) -> int:
        """Requests that the target processes in parallel, 1 if unknown."""
        return self.load.slots


class _ServiceTargets:
    """The targets of one service.

    Attributes:
      by_name: The targets by name.
      ring: Their order for each flow.
      load: Sums over their reports.
    """
    __slots__ = ('by_name', 'ring', 'load')

    def __init__(self):
        self.by_name: dict[str, TargetView] = {}
        self.ring = hash_ring.HashRing()
        self.load = load_estimate.ServiceLoad()

    def add(self, view: TargetView) -> None:
        """Adds a target."""
        self.by_name[view.name] = view
        self.ring.add(view.name)
        self._set_relative_work(view)
        self.load.count(view.load, 1)

    def remove(self, view: TargetView) -> None:
        """Removes a target."""
        del self.by_name[view.name]
        self.ring.remove(view.name)
        self.load.count(view.load, -1)

    def order(self, key: bytes) -> collections.abc.Iterator[TargetView]:
        """Yields the targets in a flow's order."""
        return (self.by_name[name] for name in self.ring.walk(key))

    def update(self, now_ms: int, view: TargetView,
               report: messages.Report | None) -> None:
        """Replaces the report of a target."""
        self.load.count(view.load, -1)
        view.apply(now_ms, report)
        self._set_relative_work(view)
        self.load.count(view.load, 1)
        if self.load.is_median_due(now_ms):
            self._update_median(now_ms)

    def _set_relative_work(self, view: TargetView) -> None:
        rate = view.report.rate_per_s if view.report else None
        view.load.relative_work = load_estimate.relative_work(
            rate, self.load.median_rate)

    def _update_median(self, now_ms: int) -> None:
        rates = [
            view.report.rate_per_s
            for view in self.by_name.values()
            if view.report and view.report.rate_per_s
        ]
        for view in self.by_name.values():
            self.load.count(view.load, -1)
        self.load.set_rates(now_ms, rates, len(self.by_name))
        for view in self.by_name.values():
            self._set_relative_work(view)
            self.load.count(view.load, 1)


class TargetViews:
    """The registered targets, indexed by name, agent and service."""

    def __init__(self):
        self._by_name: dict[str, TargetView] = {}
        self._by_agent: dict[ids.Address, TargetView] = {}
        self._services: dict[int, _ServiceTargets] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def register(self, now_ms: int, name: str,
                 registration: target_module.Registration) -> bool:
        """Adds or updates a target; returns whether its agent is new."""
        view = self._by_name.get(name)
        if view is not None and view.agent == registration.agent:
            view.registration = registration
            if view.report is None:
                self._update(now_ms, view,
                             messages.service_tag(registration.service), None)
            return False
        self.remove(name)
        view = TargetView(name, registration, now_ms)
        self._by_name[name] = view
        self._by_agent[registration.agent] = view
        self._service(view.tag).add(view)
        return True

    def apply_report(self, now_ms: int, view: TargetView,
                     report: messages.Report) -> None:
        """Stores an agent's report and the service that it names."""
        self._update(now_ms, view, report.tag, report)
        view.record_contact(now_ms)

    def remove(self, name: str) -> None:
        """Removes a target, if it is known."""
        view = self._by_name.pop(name, None)
        if view is not None:
            self._by_agent.pop(view.agent, None)
            self._service(view.tag).remove(view)

    def by_name(self, name: str) -> TargetView | None:
        """Returns the target with a registration's name, or None."""
        return self._by_name.get(name)

    def by_agent(self, agent: ids.Address) -> TargetView | None:
        """Returns the target of the agent at an address, or None."""
        return self._by_agent.get(agent)

    def all(self) -> collections.abc.Iterable[TargetView]:
        """Returns all targets."""
        return self._by_name.values()

    def flow_order(self, key: bytes,
                   tag: int) -> collections.abc.Iterator[TargetView]:
        """Yields the targets of a service in a flow's order.

        The targets must not change during the iteration.
        """
        return self._service(tag).order(key)

    def all_in_flow_order(
        self, key: bytes, tags: collections.abc.Collection[int]
    ) -> collections.abc.Iterator[TargetView]:
        """Yields all targets in the order of the search for a flow's owner.

        Targets of the services `tags` come first. The others follow because an
        open flow stays at its target when a new configuration routes its
        address to another service.
        """
        others = (tag for tag in sorted(self._services) if tag not in tags)
        for tag in itertools.chain(sorted(tags), others):
            yield from self.flow_order(key, tag)

    def has_unknown_state(self, tag: int) -> bool:
        """Returns whether a target of a service has not reported its state."""
        by_name = self._service(tag).by_name
        return any(view.is_state_unknown() for view in by_name.values())

    def service_load(self, tag: int) -> load_estimate.ServiceLoad:
        """Returns the sums over the reports of a service's targets."""
        return self._service(tag).load

    def _service(self, tag: int) -> _ServiceTargets:
        return self._services.setdefault(tag, _ServiceTargets())

    def _update(self, now_ms: int, view: TargetView, tag: int,
                report: messages.Report | None) -> None:
        if tag != view.tag:
            self._service(view.tag).remove(view)
            view.tag = tag
            self._service(tag).add(view)
        self._service(tag).update(now_ms, view, report)
