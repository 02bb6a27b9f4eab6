"""Counts the flows broken by a day of planned changes or of failures.

Explanation
===========

The day is compressed to minutes: every server is replaced, balancers are
replaced, contracts change, and a zone is taken out and back in. Failures are
run as a separate day. All flows start before the first event and last until the
end. Each packet goes to a random balancer, and the views of balancers differ. A
flow that ended because its zone was taken out and was broken at another time is
counted in both columns.
"""

import random
import typing

from bench import baselines
from bench import callers as callers_lib
from bench import fleet as fleet_lib
from bench import measure
from bench import schedule as schedule_lib
from bench import sites

FLOWS_PER_SERVER = 50
GAP_MS = 10_000
FLOWS_START_MS = 20_000
FLOWS_RAMP_MS = 60_000
FIGDRUM = 'figdrum'


class Row(typing.NamedTuple):
    """Results of one scheme on one day.

    Attributes:
      user: The site.
      day: Planned changes or failures.
      scheme: Figdrum or a baseline.
      flows: Number of flows.
      broken_planned: Flows broken without a failure of their holder.
      broken_failure: Flows broken by failures.
      given_up: Flows that ended because their zone was taken out.
      packets: Number of packets sent.
      reached_wrong: Packets that first reached a target without the session.
      handled_wrong: Packets that such a target handled, or sessions lost.
      wrong_service: Packets handled by a target of another service.
      unanswered: Share of requests without an answer in 30 s.
    """
    user: str
    day: str
    scheme: str
    flows: int
    broken_planned: int
    broken_failure: int
    given_up: int
    packets: int
    reached_wrong: int
    handled_wrong: int
    wrong_service: int
    unanswered: float


class BrokenFlows(measure.Measure):
    """Counts the broken flows of figdrum and of the baselines.

    Args:
      flows_per_server: Number of flows for each server.
      replaced: Number of servers replaced on the planned day, None for all.
      crashes: Number of crashes on the day of failures.
      users: Sites to run.
    """
    name = 'broken_flows'

    def __init__(self,
                 flows_per_server: int = FLOWS_PER_SERVER,
                 replaced: int | None = None,
                 crashes: int = schedule_lib.CRASHES,
                 users: tuple[sites.Site, ...] = sites.SITES):
        self._flows_per_server = flows_per_server
        self._replaced = replaced
        self._crashes = crashes
        self._users = users

    def run(self, seed: int) -> measure.Table:
        rows = []
        notes = []
        for site in self._users:
            days = (('planned',
                     schedule_lib.make_planned_day(site, seed, self._replaced)),
                    ('failures',
                     schedule_lib.make_failure_day(site, seed, self._crashes)))
            for label, day in days:
                notes.append(f'{site.name}, {label}: {_describe(day)}')
                plans = self._plan_flows(site, day, seed)
                rows.append(run_figdrum(site, label, day, plans, seed))
                rows += [
                    run_baseline(site, label, day, plans, scheme, seed)
                    for scheme in baselines.SCHEMES
                ]
        return measure.Table(self.name, self.command, seed, tuple(rows),
                             _make_bounds(rows), _make_plot(rows), tuple(notes))

    def _plan_flows(self, site: sites.Site, day: schedule_lib.Day,
                    seed: int) -> list[callers_lib.FlowPlan]:
        rng = random.Random(seed)
        plans = []
        span = callers_lib.Span(FLOWS_START_MS, FLOWS_RAMP_MS, day.end_ms)
        for service in site.services:
            plans += callers_lib.plan_flows(
                site, rng, service.name,
                service.servers * self._flows_per_server, span, GAP_MS)
        return plans


def run_figdrum(site: sites.Site, label: str, day: schedule_lib.Day,
                plans: list[callers_lib.FlowPlan], seed: int) -> Row:
    """Runs a simulated figdrum through a day."""
    fleet = fleet_lib.Fleet(site, seed)
    callers = callers_lib.Callers(fleet)
    fleet.observer = callers
    fleet.start()
    for event in day.events:
        fleet.events.at(event.at_ms, apply_event, fleet, event)
    for plan in plans:
        callers.add(plan)
    fleet.events.run_until(day.end_ms)
    due_requests = [
        r for r in callers.requests if r.deadline_at_ms <= day.end_ms
    ]
    unanswered_requests = sum(r.answered_ms is None for r in due_requests)
    causes = list(callers.broken.values())
    return Row(site.name, label, FIGDRUM, len(plans), causes.count('planned'),
               causes.count('failure'), len(callers.given_up), callers.packets,
               callers.misrouted, callers.misdelivered, fleet.wrong_service,
               unanswered_requests / max(1, len(due_requests)))


def run_baseline(site: sites.Site, label: str, day: schedule_lib.Day,
                 plans: list[callers_lib.FlowPlan],
                 scheme: type[baselines.Scheme], seed: int) -> Row:
    """Runs a baseline through a day."""
    fleet = baselines.BaselineFleet(site, scheme, seed)
    fleet.run(day, plans)
    causes = list(fleet.broken.values())
    return Row(site.name, label, scheme.name, len(plans),
               causes.count('planned'), causes.count('failure'),
               len(fleet.given_up), fleet.packets, fleet.misrouted,
               fleet.misrouted, 0, float('nan'))


def apply_event(fleet: fleet_lib.Fleet, event: schedule_lib.Event) -> None:
    """Applies an event of the schedule to the fleet."""
    kind = schedule_lib.Kind
    if event.kind is kind.JOIN:
        fleet.join(event.subject, event.service, event.zone)
    elif event.kind is kind.LEAVE:
        fleet.leave(event.subject)
    elif event.kind is kind.CRASH:
        fleet.crash(event.subject)
    elif event.kind is kind.BALANCER:
        old = next(b for b in fleet.balancers if b.listed)
        fleet.add_balancer(old.zone)
        fleet.stop_balancer(old)
    elif event.kind is kind.BALANCER_CRASH:
        old = next(b for b in fleet.balancers if b.listed)
        fleet.add_balancer(old.zone)
        fleet.crash_balancer(old)
    elif event.kind is kind.CONTRACT:
        limits = fleet.contracts.contract(event.subject).limits
        other = (sites.LOWERED_LIMITS
                 if limits == sites.LIMITS else sites.LIMITS)
        fleet.change(fleet.site.contract(event.subject, other))
    elif event.kind is kind.ZONE_OUT:
        fleet.change(fleet_lib.change_lib.ZoneOut(event.subject))
    elif event.kind is kind.ZONE_IN:
        fleet.change(fleet_lib.change_lib.ZoneIn(event.subject))


def _describe(day: schedule_lib.Day) -> str:
    counts = ', '.join(
        f'{day.count(kind)} x {kind.value}' for kind in schedule_lib.Kind
        if day.count(kind))
    return f'{counts} in {day.end_ms // 1000} s of virtual time'


def _make_bounds(rows: list[Row]) -> tuple[measure.Bound, ...]:
    figdrum_rows = [row for row in rows if row.scheme == FIGDRUM]
    planned = sum(row.broken_planned for row in figdrum_rows)
    wrong_service_packets = sum(row.wrong_service for row in figdrum_rows)
    return (measure.Bound('P1: no flow broken by planned change', planned == 0,
                          planned),
            measure.Bound('P2: no packet handled for another service',
                          wrong_service_packets == 0, wrong_service_packets))


def _make_plot(rows: list[Row]) -> measure.Plot:
    groups = {}
    for row in rows:
        groups.setdefault(row.scheme, []).append(row)
    series = tuple(
        measure.Series(
            scheme, tuple(f'{r.user}, {r.day}'
                          for r in found),
            tuple((r.broken_planned + r.broken_failure) / r.flows
                  for r in found))
        for scheme, found in groups.items())
    return measure.Plot('Broken flows', 'day', 'share of flows', series)


MEASURE = BrokenFlows
