"""Measures the share of answered requests while a zone is out and returns.

Explanation
===========

Flows arrive throughout the run and last 30 s on average; a caller whose flow
ended in the zone continues with its next request. A request counts for the
second in which it was first sent. It is kept if its answer arrives within the
deadline, which leaves time for one retransmission (RFC 7252: 2 s to 3 s). Load
is even when, in each service, the targets of the returned zone hold on average
at least four fifths of the flows in use that the other targets hold. The
capacity of a cold target is the cold rate, plus half a start a second for each
answer; see `bench.target`.
"""

import collections
import random
import statistics
import typing

from bench import callers as callers_lib
from bench import fleet as fleet_lib
from bench import measure
from bench import sites
from figdrum.contracts import change as change_lib
from figdrum.core import clock

DEADLINE_MS = 5_000
MEAN_FLOW_MS = 30_000
REQUEST_GAP_MS = 2_000
FLOWS_PER_SERVER_S = 2.0
FIRST_FLOW_MS = 20_000
ZONE_OUT_MS = 120_000
ZONE_IN_MS = 210_000
END_MS = 400_000
EVEN_SHARE = 0.8
# P10: an approved change is in force on every balancer within seconds; the
# target size names 7 s.
MAX_CHANGE_DELAY_MS = 7_000
MAX_COLD_OVERLOAD = 1.0


class Row(typing.NamedTuple):
    """Results of one site.

    Attributes:
      user: The site.
      zones: Its zones.
      requests: Requests sent.
      kept: Share answered within the deadline.
      kept_leaving: The share in the 10 s after the zone went out.
      kept_returning: The share in the 10 s after it came back.
      worst_second: The lowest share of any second after the zone went out.
      given_up: Flows that ended in the zone.
      empty_s: Time to the last packet that reached the zone.
      even_s: Time from the return to even load; inf when it was not reached.
      cold_starts: Starts at a started or returned target in the second in which
        they were highest in proportion to its capacity.
      cold_bears: Capacity of the target in that second, in starts.
      cold_over: `cold_starts` divided by `cold_bears`.
    """
    user: str
    zones: int
    requests: int
    kept: float
    kept_leaving: float
    kept_returning: float
    worst_second: float
    given_up: int
    empty_s: float
    even_s: float
    cold_starts: int
    cold_bears: float
    cold_over: float


class ZoneService(measure.Measure):
    """Measures service while a zone is out and after its return.

    Args:
      flows_per_server_s: New flows a second for each server.
      users: Sites.
    """
    name = 'zone_service'

    def __init__(self,
                 flows_per_server_s: float = FLOWS_PER_SERVER_S,
                 users: tuple[sites.Site, ...] = sites.SITES):
        self._rate = flows_per_server_s
        self._users = users

    def run(self, seed: int) -> measure.Table:
        runs = [_SiteRun(site, seed, self._rate) for site in self._users]
        rows = tuple(run.row() for run in runs)
        series = tuple(
            measure.Series(f'{run.site.name}, {len(run.site.zones)} zones',
                           tuple(run.shares), tuple(run.shares.values()))
            for run in runs)
        bounds = []
        for row in rows:
            bounds += _bounds(row)
        return measure.Table(
            self.name, self.command, seed, rows, tuple(bounds),
            measure.Plot(
                'Requests answered within the deadline', 'time, s (zone out at '
                f'{ZONE_OUT_MS // clock.MS_PER_S}, back at '
                f'{ZONE_IN_MS // clock.MS_PER_S})', 'share', series),
            (f'deadline {DEADLINE_MS} ms; flows last {MEAN_FLOW_MS} ms on '
             'average, so even load takes that long by itself',))


class _SiteRun:
    """The run of one site.

    Attributes:
      site: The site.
      shares: Share of kept requests by second.
    """

    def __init__(self, site: sites.Site, seed: int, rate: float):
        self.site = site
        self._fleet = fleet_lib.Fleet(site, seed)
        self._callers = callers_lib.Callers(self._fleet, DEADLINE_MS)
        self._fleet.observer = self._callers
        self._fleet.start()
        self._zone = site.zones[0]
        self._even_ms: int | None = None
        for plan in plan_flows(site, seed, rate):
            self._callers.add(plan)
        events = self._fleet.events
        events.at(ZONE_OUT_MS, self._fleet.change,
                  change_lib.ZoneOut(self._zone))
        events.at(ZONE_IN_MS, self._fleet.change, change_lib.ZoneIn(self._zone))
        events.each(clock.MS_PER_S, self._check_even_load)
        events.run_until(END_MS)
        self._by_second: dict[int, list[bool]] = collections.defaultdict(list)
        for req in self._callers.requests:
            if req.deadline_at_ms <= END_MS:
                self._by_second[req.sent_ms // clock.MS_PER_S].append(
                    _is_kept(req))
        self.shares = {
            second: statistics.fmean(kept)
            for second, kept in sorted(self._by_second.items())
        }

    def row(self) -> Row:
        """Returns the site's row."""
        out_s, in_s = (ZONE_OUT_MS // clock.MS_PER_S,
                       ZONE_IN_MS // clock.MS_PER_S)
        # Packets sent while the zone is back in service do not count.
        last_ms = max((at_ms for at_ms, _ in self._fleet.packets_to_zones_out),
                      default=ZONE_OUT_MS)
        coldest = max((a.target for a in self._fleet.agents.values()),
                      key=lambda target: target.max_overload)
        worst = min(
            share for second, share in self.shares.items() if second >= out_s)
        even_s = (float('inf') if self._even_ms is None else
                  (self._even_ms - ZONE_IN_MS) / clock.MS_PER_S)
        return Row(self.site.name, len(self.site.zones),
                   len(self._callers.requests), self._kept_share(0, END_MS),
                   self._kept_share(out_s, out_s + 10),
                   self._kept_share(in_s, in_s + 10), worst,
                   len(self._callers.given_up),
                   (last_ms - ZONE_OUT_MS) / clock.MS_PER_S, even_s,
                   coldest.starts_at_max_overload,
                   coldest.capacity_at_max_overload, coldest.max_overload)

    def _kept_share(self, start_s: int, end_s: int) -> float:
        kept = [
            ok for second, found in self._by_second.items()
            if start_s <= second < end_s for ok in found
        ]
        return statistics.fmean(kept) if kept else float('nan')

    def _agents(self, in_zone: bool) -> list:
        return [
            a for a in self._fleet.agents.values()
            if (a.identity.zone == self._zone) == in_zone
        ]

    def _check_even_load(self) -> None:
        if self._even_ms is not None or self._fleet.events.now_ms <= ZONE_IN_MS:
            return
        if all(self._is_even(s.name) for s in self.site.services):
            self._even_ms = self._fleet.events.now_ms

    def _is_even(self, service: str) -> bool:
        # An agent holds a flow for 247 s after its last packet, so flows in
        # use are counted by their callers.
        now_ms = self._fleet.events.now_ms
        in_use = collections.Counter(flow.holder
                                     for flow in self._callers.flows.values()
                                     if flow.plan.end_ms > now_ms)
        own, others = ([
            in_use[agent.name]
            for agent in self._agents(in_zone)
            if agent.identity.service == service
        ]
                       for in_zone in (True, False))
        return statistics.fmean(own) >= EVEN_SHARE * statistics.fmean(others)


def plan_flows(site: sites.Site, seed: int,
               rate: float) -> list[callers_lib.FlowPlan]:
    """Returns flows that arrive evenly and last `MEAN_FLOW_MS` on average."""
    rng = random.Random(seed)
    plans = []
    for service in site.services:
        mean_gap_ms = clock.MS_PER_S / (rate * service.servers)
        at_ms = float(FIRST_FLOW_MS)
        number = 0
        while at_ms < END_MS:
            customer = rng.choice(site.customers)
            key = callers_lib.make_key(site, customer, service.name, number)
            end_ms = at_ms + rng.expovariate(1 / MEAN_FLOW_MS)
            plans.append(
                callers_lib.FlowPlan(key, customer, service.name, round(at_ms),
                                     round(end_ms), REQUEST_GAP_MS))
            number += 1
            at_ms += rng.expovariate(1 / mean_gap_ms)
    return plans


def _is_kept(req: callers_lib.Request) -> bool:
    return (req.answered_ms is not None and
            req.answered_ms <= req.deadline_at_ms)


def _bounds(row: Row) -> tuple[measure.Bound, ...]:
    limit_s = MAX_CHANGE_DELAY_MS / clock.MS_PER_S
    return (measure.Bound(
        f'{row.user}: P3, starts a second at a target at most what it bears',
        row.cold_over <= MAX_COLD_OVERLOAD, row.cold_over),
            measure.Bound(
                f'{row.user}: P4, no packet in the zone after {limit_s:.0f} s',
                row.empty_s <= limit_s, row.empty_s))


MEASURE = ZoneService
