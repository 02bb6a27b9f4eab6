"""Sends an agent's reports to the balancers that have greeted it."""

import typing

from figdrum.core import ids
from figdrum.core import revisions
from figdrum.flows import actions
from figdrum.flows import cold_limit
from figdrum.flows import failure_breaker
from figdrum.flows import flow_table
from figdrum.flows import messages
from figdrum.flows import target as target_module
from figdrum.flows import target_status

TargetState = target_module.TargetState

# A balancer that has sent nothing for this time, in ms, gets no further
# reports. Balancers send a hello every 2.5 s.
BALANCER_TIMEOUT_MS = 8_000

# Shortest period of the reports to one balancer, in ms: an eighth of the time
# constant of the average of requests in progress.
MIN_REPORT_PERIOD_MS = 250

# A report is sent by a tick that is at most this early, in ms.
TICK_TOLERANCE_MS = 25


class _Balancer:
    """A balancer that receives reports.

    Attributes:
      last_heard_ms: Time of its last message.
      next_report_ms: Time at which its next report is due.
      reads_rate: Whether it can decode reports with a rate.
    """
    __slots__ = ('last_heard_ms', 'next_report_ms', 'reads_rate')

    def __init__(self, now_ms: int):
        self.last_heard_ms = now_ms
        self.next_report_ms = now_ms
        self.reads_rate = False


class Reports:
    """Balancers of an agent, and what they have to know of its target.

    Attributes:
      agent_count: Number of agents in the installation, as balancers report it.
      cold_limit: Limit of opening packets at a cold target, which they report.
    """

    def __init__(self, zone: ids.ZoneName, status: target_status.TargetStatus,
                 table: flow_table.FlowTable,
                 breaker: failure_breaker.FailureBreaker):
        self.agent_count = 1
        self._zone = zone
        self._status = status
        self._table = table
        self._breaker = breaker
        self.cold_limit = cold_limit.ColdLimit()
        self._tag = messages.service_tag(status.service)
        self._balancers: dict[ids.Address, _Balancer] = {}
        self._knowledge = messages.NO_KNOWLEDGE

    @property
    def balancers(self) -> tuple[ids.Address, ...]:
        """Balancers that have sent a message recently."""
        return tuple(self._balancers)

    @property
    def is_zone_out(self) -> bool:
        """Whether operators have taken the agent's zone out."""
        return self._zone in self._knowledge.zones_out

    def on_hello(self, now_ms: int, origin: ids.Address,
                 hello: messages.Hello) -> actions.Actions:
        """Handles the settings and versions of a balancer."""
        self.record_balancer(now_ms, origin)
        if hello.zone is not None:
            # Balancers that state their zone are newer than the rate.
            self.record_reads_rate(origin)
        if hello.knowledge.version >= self._knowledge.version:
            self.cold_limit.set_rate(hello.cold_limit)
            self.agent_count = hello.agent_count
        era = revisions.era(hello.knowledge.revision)
        is_restored = era > revisions.era(self._knowledge.revision)
        was_out = self._zone in self._knowledge.zones_out
        self._knowledge = messages.merge_knowledge(self._knowledge,
                                                   hello.knowledge)
        result: actions.Actions = []
        if was_out and self._zone not in self._knowledge.zones_out:
            # The zone's targets may have become cold while it was out.
            self._status.forget_warmth(now_ms)
            result.append(
                actions.LogEvent('zone returned',
                                 {'target': self._status.identity}))
            result += self.report_at_once(now_ms)
        result += self.send_due(now_ms)
        if is_restored:
            result.append(actions.CheckStoreEra(era))
        return result

    def record_balancer(self, now_ms: int, origin: ids.Address) -> bool:
        """Records a message of a balancer; returns whether it is a new one."""
        balancer = self._balancers.get(origin)
        if balancer is not None:
            balancer.last_heard_ms = now_ms
            return False
        self._balancers[origin] = _Balancer(now_ms)
        return True

    def record_reads_rate(self, origin: ids.Address) -> None:
        """Records that a balancer can decode reports with a rate."""
        balancer = self._balancers.get(origin)
        if balancer is not None:
            balancer.reads_rate = True

    def rate_per_s(self, now_ms: int) -> float:
        """Returns the measured rate of the target, 0 if it is not known."""
        return round(
            min(
                self._table.service_rate.per_s(now_ms) or 0.0,
                messages.MAX_RATE_PER_S), 3)

    def _update_service_rate(self, now_ms: int) -> None:
        """Discards what was measured while the target was cold."""
        self._table.service_rate.slots = self._status.slots
        if self._status.is_cold(now_ms):
            self._table.service_rate.clear(now_ms)

    def send(self, origins: typing.Iterable[ids.Address],
             message: messages.Message) -> actions.Actions:
        """Sends one message to each of some balancers."""
        data = messages.encode(message)
        return [actions.SendToPeer(origin, data) for origin in origins]

    def _make_report(self, now_ms: int) -> messages.Report:
        state = self._status.state
        if state is TargetState.READY and self._breaker.is_open(now_ms):
            state = TargetState.FAILING
        elif state is TargetState.LEFT:
            state = TargetState.DOWN
        return messages.Report(self._tag, self._status.identity, state.value,
                               self._status.is_cold(now_ms),
                               round(self._table.meter.average(now_ms), 2),
                               self._table.active_count, self._status.slots,
                               self._report_period_ms(), self._knowledge,
                               self.rate_per_s(now_ms))

    def _report_period_ms(self) -> int:
        return max(MIN_REPORT_PERIOD_MS,
                   messages.REPORT_SPACING_MS * len(self._balancers))

    def send_due(self, now_ms: int) -> actions.Actions:
        """Sends the reports that are due."""
        due: list[ids.Address] = []
        period_ms = self._report_period_ms()
        for origin, balancer in tuple(self._balancers.items()):
            if now_ms - balancer.last_heard_ms > BALANCER_TIMEOUT_MS:
                del self._balancers[origin]
            elif balancer.next_report_ms <= now_ms:
                # After a late tick, the next one would come just before its
                # report is due; the tolerance lets it send the report.
                balancer.next_report_ms = now_ms + period_ms - TICK_TOLERANCE_MS
                due.append(origin)
        if not due:
            return []
        self._update_service_rate(now_ms)
        report = self._make_report(now_ms)
        without_rate = report._replace(rate_per_s=None)
        readers = [o for o in due if self._balancers[o].reads_rate]
        others = [o for o in due if not self._balancers[o].reads_rate]
        return self.send(readers, report) + self.send(others, without_rate)

    def announce_state(self, now_ms: int, cause: str) -> actions.Actions:
        """Logs, registers and reports the state of the target."""
        log_event = actions.LogEvent(
            'target state', {
                'target': self._status.identity,
                'state': self._status.state.value,
                'cold': self._status.is_cold(now_ms),
                'cause': cause
            })
        return [log_event, actions.SaveRegistration()
               ] + self.report_at_once(now_ms)

    def report_at_once(self, now_ms: int) -> actions.Actions:
        """Sends a report to each balancer."""
        for balancer in self._balancers.values():
            balancer.next_report_ms = now_ms
        return self.send_due(now_ms)
