"""Estimates a target's load from a report that may be old.

Explanation
===========

Load is the expected wait of a new request in ms: the requests per slot that are
expected at the target, times the median work of a request at the targets of its
service. What is expected at a target follows from the following:

* the requests in progress in its last report;
* its open flows, with the requests per flow of the service;
* the flows that this balancer has placed there since that report;
* the mean of the service.

A report counts less the older it is, and the mean of the service counts more.
Without any report, all targets have the same load.

A request occupies a slow target for longer, so that a flow adds more load
there. The work of a request at a target is known from the rate that its agent
measures, relative to the median of the service.

References
==========

Dahlin, "Interpreting stale load information", IEEE Transactions on Parallel and
Distributed Systems 11(10), 2000.

Mitzenmacher, "How useful is old information?", IEEE Transactions on Parallel
and Distributed Systems 11(1), 2000.
"""

import math
import statistics

# Time constant in ms with which a report loses weight, that of the average of
# requests in progress in it.
REPORT_TIME_CONSTANT_MS = 2_000

# Weight of the reported requests in progress; the open flows have the rest. The
# average follows the requests of few clients, of which most are over when the
# report is used, while flows stay.
BUSY_WEIGHT = 0.2

# A rate counts at most this factor above or below the service's median, so that
# an agent with a wrong figure neither attracts all flows nor gets none.
MAX_RATE_RATIO = 4.0

# Rates within this factor of the median count as equal. The measurement has an
# error of 12%, and targets of even speed should get even load.
EVEN_RATE_RATIO = 1.25

# Work of a request, in ms, and requests in progress per open flow, before any
# agent has reported them.
DEFAULT_WORK_MS = 30.0
DEFAULT_BUSY_PER_FLOW = 0.3

# Open flows of a service, weighted by work, up to which the requests in
# progress per flow are not computed from them.
MIN_FLOWS = 0.2

# Time in ms between two computations of a service's median rate, and the time
# per target that is added to it, so that 9,600 targets take 0.1% of a core.
MEDIAN_PERIOD_MS = 500
MEDIAN_PERIOD_PER_TARGET_MS = 0.5


class TargetLoad:
    """What a balancer knows of a target's load.

    Attributes:
      reported_ms: Time of the last report, None without one.
      busy: Requests in progress in it.
      flows: Open flows in it.
      slots: Requests that the target processes in parallel, 1 if unknown.
      placed: Flows that the balancer has placed at the target since the report
        and that are still open.
      relative_work: Work of a request there, as `relative_work` returns it.
    """
    __slots__ = ('reported_ms', 'busy', 'flows', 'slots', 'placed',
                 'relative_work')

    def __init__(self):
        self.reported_ms: int | None = None
        self.busy = 0.0
        self.flows = 0
        self.slots = 1
        self.placed = 0
        self.relative_work = 1.0

    def apply_report(self, now_ms: int, busy: float, flows: int,
                     slots: int) -> None:
        """Replaces the reported figures."""
        self.reported_ms = now_ms
        self.busy, self.flows, self.slots = busy, flows, slots
        self.placed = 0

    def clear(self) -> None:
        """Discards the report."""
        self.reported_ms = None
        self.busy, self.flows, self.slots = 0.0, 0, 1

    def remove_placed(self, placed_ms: int) -> None:
        """Removes a flow that was placed at `placed_ms` and has ended."""
        if self.placed and (self.reported_ms is None or
                            placed_ms >= self.reported_ms):
            self.placed -= 1


def relative_work(rate: float | None, median: float | None) -> float:
    """Returns the work of a request at a target, 1 at the service's median.

    Args:
      rate: Requests per second and slot that the agent reports, None if it
        knows none.
      median: Median rate of the service, None if it is not known.

    >>> relative_work(10, 20), relative_work(18, 20), relative_work(0.1, 20)
    (2.0, 1.0, 4.0)
    """
    if not rate or not median:
        return 1.0
    ratio = median / rate
    if 1 / EVEN_RATE_RATIO <= ratio <= EVEN_RATE_RATIO:
        return 1.0
    return min(max(ratio, 1 / MAX_RATE_RATIO), MAX_RATE_RATIO)


class ServiceLoad:
    """Sums over the reports of a service's targets.

    Attributes:
      median_rate: Median of the rates, in requests per second and slot; None if
        no agent has reported one.
      work_ms: Work of a request at a target of that rate, in ms.
      busy_per_flow: Requests in progress per open flow at such a target.
      busy_per_slot: Mean number of requests in progress per slot.
    """

    def __init__(self):
        self.median_rate: float | None = None
        self.work_ms = DEFAULT_WORK_MS
        self.busy_per_flow = DEFAULT_BUSY_PER_FLOW
        self.busy_per_slot = 0.0
        self._busy = 0.0
        self._slots = 0
        # Open flows, each multiplied by the relative work at its target.
        self._weighted_flows = 0.0
        self._median_due_ms: float | None = None

    def count(self, target: TargetLoad, sign: int) -> None:
        """Adds a target's report to the sums, or removes it with the sign -1.

        The target's figures must be the same in both calls.
        """
        if target.reported_ms is None:
            return
        self._busy += sign * target.busy
        self._slots += sign * target.slots
        self._weighted_flows += sign * target.flows * target.relative_work
        busy = max(0.0, self._busy)
        self.busy_per_flow = DEFAULT_BUSY_PER_FLOW
        if self._weighted_flows > MIN_FLOWS:
            self.busy_per_flow = busy / self._weighted_flows
        self.busy_per_slot = busy / self._slots if self._slots else 0.0

    def is_median_due(self, now_ms: int) -> bool:
        """Returns whether `set_rates` has to be called."""
        return self._median_due_ms is None or now_ms >= self._median_due_ms

    def set_rates(self, now_ms: int, rates: list[float], targets: int) -> None:
        """Sets the rates that agents have reported.

        Args:
          now_ms: Time.
          rates: All known rates.
          targets: Number of targets of the service.
        """
        self.median_rate = statistics.median(rates) if rates else None
        self.work_ms = (1_000 / self.median_rate
                        if self.median_rate else DEFAULT_WORK_MS)
        self._median_due_ms = (now_ms + MEDIAN_PERIOD_MS +
                               targets * MEDIAN_PERIOD_PER_TARGET_MS)

    def wait_ms(self, now_ms: int, target: TargetLoad) -> float:
        """Returns the load of a target: the expected wait of a new request."""
        per_flow = self.busy_per_flow * target.relative_work
        expected = self.busy_per_slot * target.slots
        if target.reported_ms is not None:
            weight = math.exp(
                (target.reported_ms - now_ms) / REPORT_TIME_CONSTANT_MS)
            reported = (BUSY_WEIGHT * target.busy +
                        (1 - BUSY_WEIGHT) * target.flows * per_flow)
            expected += weight * (reported - expected)
        expected += target.placed * per_flow
        return expected / target.slots * self.work_ms
