"""Limits the load on a target that has just started.

Explanation
===========

A target that has just started fills its caches and compiles code, so it can
handle less load than later. The limit on starts and new flows per second is
therefore the cold rate at first. It grows by half after as many successful and
fast completions as the rate itself, so it follows the target's throughput and
not the time elapsed. It is reset to the cold rate when errors or slow responses
prevail among the last completions. A single slow or failed response does not
reset it.

The limit is enforced by a sliding window instead of a token bucket, because a
full bucket would allow twice the rate within one second.

Examples
========

>>> warmup = Warmup(cold_rate=2, full_rate=3)
>>> [warmup.try_start(now_ms) for now_ms in (0, 10, 20, 1000)]
[True, True, False, True]
>>> for _ in range(2):
...     warmup.record_completion(1100, True, 30)
>>> warmup.rate
3.0

References
==========

docs/design.md, section 5.6.
"""

import collections
import statistics

from figdrum.core import clock

GROWTH_FACTOR = 1.5
SLOW_FACTOR = 4
# Number of last completions by which the target's health is evaluated.
COMPLETIONS_WINDOW = 9
# Fewer completions than this are too few to evaluate the target.
MIN_COMPLETIONS = 5
MAX_ERROR_RATIO = 0.5
# Differences between medians below this are due to this process's scheduling.
MIN_MEDIAN_MS = 5
# A target that stays slow for longer than this after a reset has a new normal
# latency. Without this limit the rate would stay cold for ever.
MEDIAN_LIFETIME_MS = 60_000


class RateWindow:
    """Counts events in a sliding window of one second."""

    def __init__(self):
        self._times: collections.deque[int] = collections.deque()

    def count(self, now_ms: int) -> int:
        """Returns the number of events in the second that ends now."""
        while self._times and self._times[0] <= now_ms - clock.MS_PER_S:
            self._times.popleft()
        return len(self._times)

    def add(self, now_ms: int) -> None:
        """Records an event."""
        self._times.append(now_ms)

    def next_free_ms(self, now_ms: int, limit: int) -> int:
        """Returns the earliest time at which the count is below `limit`."""
        count = self.count(now_ms)
        if count < limit:
            return now_ms
        return self._times[count - limit] + clock.MS_PER_S


class Warmup:
    """Limit on the rates of starts and of new flows at the target.

    Args:
      cold_rate: Limit per second at a cold target; raised to 1 if lower.
      full_rate: Limit per second at a warm target.

    Attributes:
      rate: Current limit per second.
      cold_resets: Number of times the rate was reset from a higher one.
    """

    def __init__(self, cold_rate: float, full_rate: float):
        self._cold_rate = max(1.0, float(cold_rate))
        self._full_rate = max(self._cold_rate, float(full_rate))
        self.rate = self._cold_rate
        self.cold_resets = 0
        self._starts = RateWindow()
        self._flows = RateWindow()
        self._completions: collections.deque[tuple[
            bool, int]] = collections.deque(maxlen=COMPLETIONS_WINDOW)
        self._fast_successes = 0
        self._warm_median_ms: float | None = None
        self._reset_ms: int | None = None
        self._incarnation: str | None = None
        self._health: str | None = None

    @property
    def is_cold(self) -> bool:
        """Whether the current limit is below the full rate."""
        return self.rate < self._full_rate

    @property
    def expected_run_ms(self) -> int:
        """Median latency of the last successful requests, or 0 if none."""
        times = [latency for ok, latency in self._completions if ok]
        return int(statistics.median(times)) if times else 0

    def can_start(self, now_ms: int) -> bool:
        """Returns True if a request can start now."""
        return self._starts.count(now_ms) < int(self.rate)

    def try_start(self, now_ms: int) -> bool:
        """Records a start and returns True if one is allowed now."""
        if not self.can_start(now_ms):
            return False
        self._starts.add(now_ms)
        return True

    def next_start_ms(self, now_ms: int) -> int:
        """Returns the earliest time at which a request can start."""
        return self._starts.next_free_ms(now_ms, int(self.rate))

    def can_admit_flow(self, now_ms: int) -> bool:
        """Returns True if a new flow can be admitted now."""
        return self._flows.count(now_ms) < int(self.rate)

    def record_flow(self, now_ms: int) -> None:
        """Records an admitted flow."""
        self._flows.add(now_ms)

    def record_completion(self, now_ms: int, ok: bool, latency_ms: int) -> None:
        """Records the end of a request and adjusts the rate.

        Args:
          now_ms: Current time.
          ok: False for an error, a time-out or a broken connection.
          latency_ms: Time from the start to the end.
        """
        self._completions.append((ok, latency_ms))
        if self._errors_prevail() or self._slowness_prevails(now_ms):
            self.reset_to_cold(now_ms)
            return
        if not ok or self._is_slow(latency_ms):
            return
        self._fast_successes += 1
        if self.is_cold and self._fast_successes >= int(self.rate):
            self._fast_successes = 0
            self.rate = min(self._full_rate, self.rate * GROWTH_FACTOR)
        if not self.is_cold and len(self._completions) == COMPLETIONS_WINDOW:
            self._update_median()

    def reset_to_cold(self, now_ms: int) -> None:
        """Resets the rate to the cold rate."""
        if self.rate > self._cold_rate:
            self.cold_resets += 1
            self._reset_ms = now_ms
        self.rate = self._cold_rate
        self._fast_successes = 0
        self._completions.clear()

    def on_health(self, now_ms: int, health: str) -> None:
        """Resets the rate when the target's health changes to `cold`.

        All other health values are ignored. A target that keeps reporting
        `cold` while it warms up does not stop the growth of the rate, which
        depends on completions only.
        """
        if health == 'cold' and self._health != 'cold':
            self.reset_to_cold(now_ms)
        self._health = health

    def on_incarnation(self, now_ms: int, incarnation: str) -> None:
        """Resets the rate when the target's process has been replaced."""
        if self._incarnation not in (None, incarnation):
            self.reset_to_cold(now_ms)
            self._warm_median_ms = None
        self._incarnation = incarnation

    def _errors_prevail(self) -> bool:
        if len(self._completions) < MIN_COMPLETIONS:
            return False
        failed = sum(not ok for ok, _ in self._completions)
        return failed >= MAX_ERROR_RATIO * len(self._completions)

    def _slowness_prevails(self, now_ms: int) -> bool:
        if (self._reset_ms is not None and self.is_cold and
                now_ms - self._reset_ms > MEDIAN_LIFETIME_MS):
            self._warm_median_ms = None
        if len(self._completions) < MIN_COMPLETIONS:
            return False
        return self._is_slow(
            statistics.median(latency for _, latency in self._completions))

    def _is_slow(self, latency_ms: float) -> bool:
        return (self._warm_median_ms is not None and
                latency_ms >= SLOW_FACTOR * self._warm_median_ms)

    def _update_median(self) -> None:
        median = statistics.median(latency for _, latency in self._completions)
        if self._warm_median_ms is None:
            self._warm_median_ms = max(MIN_MEDIAN_MS, median)
        else:
            # Follows slow drift, so that a sudden rise by `SLOW_FACTOR` is
            # still detected.
            drift = (median - self._warm_median_ms) / 100
            self._warm_median_ms = max(MIN_MEDIAN_MS,
                                       self._warm_median_ms + drift)
