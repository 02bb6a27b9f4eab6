"""Limits the load on a target that has just started.

Explanation
===========

A target that has just started fills caches and compiles, and bears less load
than later. Starts and new flows a second begin at a cold rate. The rate grows
by half after as many successful and fast completions as the rate itself, so it
follows what the target achieves and not the time that passed. It falls back to
the cold rate when errors or slow answers prevail among the last completions.
One slow or failed answer alone changes nothing.

The limit is a sliding window and not a token bucket: a full bucket would let
twice the rate through within one second.

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

GROWTH = 1.5
SLOW_FACTOR = 4
# Completions that a verdict on the target looks back on.
RECENT = 9
# Fewer completions than this say nothing about the target.
RECENT_MIN = 5
ERROR_SHARE = 0.5
# Medians below this differ by the scheduling of this process alone.
MEDIAN_FLOOR_MS = 5
# A target that stays slow for longer than this after a fall has a new normal
# latency; without this bound it would stay cold for ever.
MEDIAN_LIFETIME_MS = 60_000


class RateWindow:
    """Counts events in the last second."""

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

    def free_at_ms(self, now_ms: int, limit: int) -> int:
        """Returns the time from which another event is below `limit`."""
        count = self.count(now_ms)
        if count < limit:
            return now_ms
        return self._times[count - limit] + clock.MS_PER_S


class Warmup:
    """Rate of starts and of new flows that the target may get.

    Args:
      cold_rate: Starts a second of a cold target; at least 1.
      full_rate: Starts a second of a warm target.
    """

    def __init__(self, cold_rate: float, full_rate: float):
        self._cold_rate = max(1.0, float(cold_rate))
        self._full_rate = max(self._cold_rate, float(full_rate))
        self.rate = self._cold_rate
        self.cold_resets = 0
        self._starts = RateWindow()
        self._flows = RateWindow()
        self._recent: collections.deque[tuple[bool, int]] = collections.deque(
            maxlen=RECENT)
        self._good = 0
        self._warm_median_ms: float | None = None
        self._fell_ms: int | None = None
        self._incarnation: str | None = None
        self._health: str | None = None

    @property
    def cold(self) -> bool:
        """True while the target gets less than the full rate."""
        return self.rate < self._full_rate

    @property
    def expected_run_ms(self) -> int:
        """Median latency of the last successes, or 0 when there is none."""
        times = [latency for ok, latency in self._recent if ok]
        return int(statistics.median(times)) if times else 0

    def can_start(self, now_ms: int) -> bool:
        """Returns True if a request may start now."""
        return self._starts.count(now_ms) < int(self.rate)

    def try_start(self, now_ms: int) -> bool:
        """Records a start if one is allowed now."""
        if not self.can_start(now_ms):
            return False
        self._starts.add(now_ms)
        return True

    def next_start_ms(self, now_ms: int) -> int:
        """Returns the time of the next allowed start."""
        return self._starts.free_at_ms(now_ms, int(self.rate))

    def can_admit_flow(self, now_ms: int) -> bool:
        """Returns True if a new flow may be admitted now."""
        return self._flows.count(now_ms) < int(self.rate)

    def record_flow(self, now_ms: int) -> None:
        """Records a new flow."""
        self._flows.add(now_ms)

    def record_completion(self, now_ms: int, ok: bool, latency_ms: int) -> None:
        """Records the end of a request.

        Args:
          now_ms: Time.
          ok: False for an error, a time-out or a broken connection.
          latency_ms: Time from the start to the end.
        """
        self._recent.append((ok, latency_ms))
        if self._errors_prevail() or self._slowness_prevails(now_ms):
            self.reset_to_cold(now_ms)
            return
        if not ok or self._is_slow(latency_ms):
            return
        self._good += 1
        if self.cold and self._good >= int(self.rate):
            self._good = 0
            self.rate = min(self._full_rate, self.rate * GROWTH)
        if not self.cold and len(self._recent) == RECENT:
            self._learn_median()

    def reset_to_cold(self, now_ms: int) -> None:
        """Goes back to the cold rate."""
        if self.rate > self._cold_rate:
            self.cold_resets += 1
            self._fell_ms = now_ms
        self.rate = self._cold_rate
        self._good = 0
        self._recent.clear()

    def on_health(self, now_ms: int, health: str) -> None:
        """Takes the target's word that it turned cold; nothing else it says.

        A target that goes on saying `cold` while it warms up does not stop the
        growth, which follows its completions.
        """
        if health == 'cold' and self._health != 'cold':
            self.reset_to_cold(now_ms)
        self._health = health

    def on_incarnation(self, now_ms: int, incarnation: str) -> None:
        """Falls back when the target's process is another one than before."""
        if self._incarnation not in (None, incarnation):
            self.reset_to_cold(now_ms)
            self._warm_median_ms = None
        self._incarnation = incarnation

    def _errors_prevail(self) -> bool:
        if len(self._recent) < RECENT_MIN:
            return False
        failed = sum(not ok for ok, _ in self._recent)
        return failed >= ERROR_SHARE * len(self._recent)

    def _slowness_prevails(self, now_ms: int) -> bool:
        if (self._fell_ms is not None and self.cold and
                now_ms - self._fell_ms > MEDIAN_LIFETIME_MS):
            self._warm_median_ms = None
        if len(self._recent) < RECENT_MIN:
            return False
        return self._is_slow(
            statistics.median(latency for _, latency in self._recent))

    def _is_slow(self, latency_ms: float) -> bool:
        return (self._warm_median_ms is not None and
                latency_ms >= SLOW_FACTOR * self._warm_median_ms)

    def _learn_median(self) -> None:
        median = statistics.median(latency for _, latency in self._recent)
        if self._warm_median_ms is None:
            self._warm_median_ms = max(MEDIAN_FLOOR_MS, median)
        else:
            # Follows slow drift; a jump by the slow factor still shows.
            drift = (median - self._warm_median_ms) / 100
            self._warm_median_ms = max(MEDIAN_FLOOR_MS,
                                       self._warm_median_ms + drift)
