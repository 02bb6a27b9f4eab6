"""Measures the imbalance of load across targets with long flows.

Explanation
===========

Flows with unequal request rates start and last until the end. One target is
slow throughout, one becomes cold without warning while flows arrive, and one
always reports no load. Figures are ratios to the mean over the targets at the
same time: the maximum and the 99th percentile over all targets and samples
taken after the target became cold. Requests in progress (running and waiting)
are means over 10 s, since a single sample has less than one request per target.

The bound for flows follows from the design and not from a run. An agent admits
a new flow unless it is limited; otherwise the flow goes to the next member in
its order. Two of the n targets, the slow one and the cold one, may be limited.
In the worst case they admit no flow, and each flow goes to one of the n - 2
others with equal probability. By Bernstein's inequality the load of none of
these exceeds the mean by more than the margin of the bound, except in one run
in a million. A target also holds at most `connections` flows. Requests in
progress never exceed slots and queue.
"""

import collections.abc
import math
import random
import statistics
import typing

from bench import agents as agents_lib
from bench import callers as callers_lib
from bench import choices as choices_lib
from bench import fleet as fleet_lib
from bench import measure
from bench import sites

FLOWS_PER_SERVER = 100
GAP_MS = 24_000
# Pareto shape: a tenth of the flows makes about half of the requests.
WEIGHT_SHAPE = 1.5
MAX_WEIGHT = 20
SLOW_FACTOR = 4.0
SLOW_TARGET, COLD_TARGET, NO_REPORT_TARGET = 1, 2, 3
LIMITED_TARGETS = 2
SPAN = callers_lib.Span(20_000, 180_000, 320_000)
COLD_RESET_AT_MS = 110_000
SAMPLE_MS = 100
WINDOW_SAMPLES = 100
BOUND_MISS_PROBABILITY = 1e-6
PERCENTILE = 0.99


class Row(typing.NamedTuple):
    """Results of one scheme at one site.

    Attributes:
      user: The site.
      scheme: Figdrum, or the policy that chooses a target for a flow.
      targets: Number of targets.
      flows: Number of flows.
      flows_max: Maximum over mean of flows.
      flows_p99: 99th percentile over mean of flows.
      requests_max: Maximum over mean of requests in progress.
      requests_p99: 99th percentile over mean of requests in progress.
      most_in_progress: Maximum number of requests in progress at one target.
      cold_overload: Maximum of starts in one second at the cold target over its
        capacity at that time.
      slow_share: Flows of the slow target over the mean, at the end.
      cold_share: The same for the cold target.
      liar_share: The same for the target that always reports no load.
    """
    user: str
    scheme: str
    targets: int
    flows: int
    flows_max: float
    flows_p99: float
    requests_max: float
    requests_p99: float
    most_in_progress: int
    cold_overload: float
    slow_share: float
    cold_share: float
    liar_share: float


class LoadSample(typing.NamedTuple):
    """Flows and requests in progress of each target in one sample."""
    flows: tuple[int, ...]
    requests: tuple[int, ...]


class Imbalance(measure.Measure):
    """Measures the imbalance of figdrum and of simple policies.

    Args:
      flows_per_server: Number of flows for each server.
      users: Sites; only the first service of each is used.
    """
    name = 'imbalance'

    def __init__(self,
                 flows_per_server: int = FLOWS_PER_SERVER,
                 users: tuple[sites.Site, ...] = sites.SITES):
        self._flows_per_server = flows_per_server
        self._users = users

    def run(self, seed: int) -> measure.Table:
        rows, bounds = [], []
        for site in self._users:
            service = site.services[0]
            site = site._replace(services=(service,))
            flows = self._flows_per_server * service.servers
            plans = plan_weighted_flows(site, seed, flows)
            figdrum_row = run_figdrum(site, plans, seed)
            rows.append(figdrum_row)
            rows += [
                run_choice(site, plans, choice(), seed)
                for choice in choices_lib.CHOICES
            ]
            bounds += _make_bounds(site, figdrum_row)
        return measure.Table(self.name, self.command, seed, tuple(rows),
                             tuple(bounds), _make_plot(rows),
                             ('sections 5.3 and 5.6 give the bound, see the '
                              'docstring of bench/imbalance.py',))


def flow_bound(targets: int, flows: int, connections: int) -> float:
    """Returns the maximum ratio of flows to the mean that the design allows.

    Examples
    ========

    >>> round(flow_bound(7, 7_000_000, 10_000_000), 2)
    1.41
    """
    mean = flows / (targets - LIMITED_TARGETS)
    chance = math.log(targets / BOUND_MISS_PROBABILITY)
    margin = chance / 3 + math.sqrt(chance**2 / 9 + 2 * mean * chance)
    return min(connections, mean + margin) * targets / flows


def plan_weighted_flows(site: sites.Site, seed: int,
                        flows: int) -> list[callers_lib.FlowPlan]:
    """Returns flows whose request rates follow a Pareto distribution."""
    rng = random.Random(seed)
    plans = callers_lib.plan_flows(site, rng, site.services[0].name, flows,
                                   SPAN, GAP_MS)
    return [
        p._replace(gap_ms=GAP_MS /
                   min(MAX_WEIGHT, rng.paretovariate(WEIGHT_SHAPE)))
        for p in plans
    ]


def run_figdrum(site: sites.Site, plans: list[callers_lib.FlowPlan],
                seed: int) -> Row:
    """Runs the flows through a simulated figdrum."""
    fleet = fleet_lib.Fleet(site, seed)
    callers = callers_lib.Callers(fleet)
    fleet.observer = callers
    fleet.start()
    agents = list(fleet.agents.values())
    for item in plans:
        callers.add(item)
    return _run(
        site, fleet.events, 'figdrum', len(plans), [a.target for a in agents],
        lambda: LoadSample(tuple(len(a.held) for a in agents),
                           tuple(a.in_progress for a in agents)))


def run_choice(site: sites.Site, plans: list[callers_lib.FlowPlan],
               choice: choices_lib.Choice, seed: int) -> Row:
    """Runs the flows through a policy to compare with."""
    fleet = choices_lib.ChoiceFleet(choice, seed, site.services[0].servers,
                                    site.slots)
    fleet.servers[NO_REPORT_TARGET].reports_no_load = True
    for item in plans:
        fleet.add(item)
    return _run(
        site, fleet.events, choice.name, len(plans),
        [s.target for s in fleet.servers],
        lambda: LoadSample(tuple(s.flows for s in fleet.servers),
                           tuple(s.in_progress for s in fleet.servers)))


def _run(site, events, scheme: str, flows: int, targets: list,
         load: collections.abc.Callable[[], LoadSample]) -> Row:
    targets[SLOW_TARGET].slow_factor = SLOW_FACTOR
    events.at(COLD_RESET_AT_MS, targets[COLD_TARGET].reset_to_cold)
    events.run_until(COLD_RESET_AT_MS)
    samples = []
    events.each(SAMPLE_MS, lambda: samples.append(load()))
    events.run_until(SPAN.end_ms)
    held = _ratios_to_mean([sample.flows for sample in samples])
    requests = _ratios_to_mean(
        _window_means([sample.requests for sample in samples]))
    shares = _ratios_to_mean([samples[-1].flows])
    return Row(site.name, scheme, len(targets), flows, max(held),
               _percentile(held), max(requests), _percentile(requests),
               max(max(sample.requests) for sample in samples),
               targets[COLD_TARGET].max_overload, shares[SLOW_TARGET],
               shares[COLD_TARGET], shares[NO_REPORT_TARGET])


def _window_means(samples: list[tuple[int, ...]]) -> list[tuple[float, ...]]:
    return [
        tuple(
            statistics.fmean(column)
            for column in zip(*samples[at:at + WINDOW_SAMPLES]))
        for at in range(0,
                        len(samples) - WINDOW_SAMPLES + 1, WINDOW_SAMPLES)
    ]


def _ratios_to_mean(samples) -> list[float]:
    return [
        value / statistics.fmean(sample) for sample in samples if any(sample)
        for value in sample
    ]


def _percentile(values: list[float]) -> float:
    return sorted(values)[min(len(values) - 1, int(PERCENTILE * len(values)))]


def _make_bounds(site: sites.Site, row: Row) -> list[measure.Bound]:
    bound = flow_bound(row.targets, row.flows, agents_lib.MAX_CONNECTIONS)
    max_in_progress = site.slots + agents_lib.QUEUE_LENGTH
    return [
        measure.Bound(
            f'{site.name}: flows, largest over mean at most {bound:.2f} '
            f'(rendezvous over n - {LIMITED_TARGETS} targets, '
            f'chance {BOUND_MISS_PROBABILITY})', row.flows_max <= bound,
            row.flows_max),
        measure.Bound(
            f'{site.name}: at most {max_in_progress} requests in progress at '
            'a target (slots and queue)', row.most_in_progress
            <= max_in_progress, row.most_in_progress)
    ]


def _make_plot(rows: list[Row]) -> measure.Plot:
    labels = ('flows max', 'flows p99', 'requests max', 'requests p99')
    return measure.Plot(
        'Imbalance across targets', 'measure', 'over mean',
        tuple(
            measure.Series(f'{r.user}, {r.scheme}', labels, (
                r.flows_max, r.flows_p99, r.requests_max, r.requests_p99))
            for r in rows))


MEASURE = Imbalance
