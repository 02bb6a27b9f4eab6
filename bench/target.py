"""A model of a target: its run times and its capacity while it warms up."""

import collections
import dataclasses
import random

from figdrum.core import clock

COLD_RATE = 2.0
FULL_RATE = 200.0
MEAN_RUN_MS = 20.0
RUN_SHAPE = 4
# Section 5.6 of docs/design.md lets the rate grow by half after as many
# completions as the rate, so each completion adds half a start per second.
WARMTH_PER_COMPLETION = 0.5


@dataclasses.dataclass(slots=True)
class Target:
    """A target whose run times grow in proportion to its overload.

    Overload is the number of starts in the last second over the capacity.

    Attributes:
      rng: Source of run times.
      slow_factor: Factor on every run time.
      completions: Number of requests completed since it was cold.
      max_overload: Maximum overload since it was cold.
      starts_at_max_overload: Starts in the second of the maximum overload.
      capacity_at_max_overload: Starts per second that it could take then.
      starts: Times of the starts in the last second, in ms.
    """
    rng: random.Random
    slow_factor: float = 1.0
    completions: int = 0
    max_overload: float = 0.0
    starts_at_max_overload: int = 0
    capacity_at_max_overload: float = 0.0
    starts: collections.deque = dataclasses.field(
        default_factory=collections.deque)

    @property
    def capacity_per_s(self) -> float:
        """Starts per second that it takes now without slowing down."""
        return min(FULL_RATE,
                   COLD_RATE + WARMTH_PER_COMPLETION * self.completions)

    def start(self, now_ms: int) -> int:
        """Starts a request; returns its run time in ms."""
        while self.starts and self.starts[0] <= now_ms - clock.MS_PER_S:
            self.starts.popleft()
        self.starts.append(now_ms)
        share = len(self.starts) / self.capacity_per_s
        if share > self.max_overload:
            self.max_overload = share
            self.starts_at_max_overload = len(self.starts)
            self.capacity_at_max_overload = self.capacity_per_s
        run_ms = self.rng.gammavariate(RUN_SHAPE, MEAN_RUN_MS / RUN_SHAPE)
        return max(1, round(run_ms * self.slow_factor * max(1.0, share)))

    def finish(self) -> None:
        """Counts a completed request, which raises the capacity."""
        self.completions += 1

    def reset_to_cold(self) -> None:
        """Resets the capacity to that of a target that has just started."""
        self.completions = 0
        self.max_overload = 0.0
        self.starts.clear()
