"""A target's time to answer, and how much load it bears while it warms up."""

import collections
import dataclasses
import random

from figdrum.core import clock

COLD_RATE = 2.0
FULL_RATE = 200.0
MEAN_RUN_MS = 20.0
RUN_SHAPE = 4
# Section 5.6 of docs/design.md lets the rate grow by half after as many
# completions as the rate, so a completion stands for half a start a second.
WARMTH_PER_COMPLETION = 0.5


@dataclasses.dataclass(slots=True)
class Target:
    """A target; one that gets more than it bears slows down as much.

    Attributes:
      rng: Source of run times.
      slow_factor: Factor on every run time.
      completions: Answers since it was cold.
      max_overload: Starts in one second over what it bore then, the largest such
        share since it was cold.
      starts_at_max_overload: Most starts in the one second after which it bore least
        for the load that it got.
      capacity_at_max_overload: What it bore in that second.
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
        """Starts a second that it bears now."""
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
        """Notes an answer, which warms the target."""
        self.completions += 1

    def reset_to_cold(self) -> None:
        """Makes it cold."""
        self.completions = 0
        self.max_overload = 0.0
        self.starts.clear()
