"""Rate of requests that a target can handle after its start.

Examples
========

>>> warmth = Warmth(cold_rate=2, full_rate=10)
>>> [warmth.on_start(0) for _ in range(3)]
[False, False, True]
>>> warmth.on_start(500)
True
"""

import collections

COLD_RATE = 4.0
FULL_RATE = 200.0
# One more start per second for every two completions: as many completions as
# the rate itself raise it by half.
GROWTH_PER_COMPLETION = 0.5
COLLAPSE_MS = 5_000
_WINDOW_MS = 1_000


class Warmth:
    """Rate of starts that a target can handle; it grows with completions.

    More starts in a second than that make a cold target collapse: its rate
    falls back to the cold rate and requests stall for `COLLAPSE_MS`.

    Attributes:
      collapses: Number of collapses so far.
    """

    def __init__(self,
                 cold_rate: float = COLD_RATE,
                 full_rate: float = FULL_RATE):
        self.collapses = 0
        self._cold_rate = cold_rate
        self._full_rate = full_rate
        self._rate = cold_rate
        self._stalled_until_ms = -1
        self._starts: collections.deque[int] = collections.deque()

    @property
    def rate(self) -> float:
        """Starts per second that the target can handle now."""
        return self._rate

    @property
    def is_cold(self) -> bool:
        """Whether the target handles less than its full rate."""
        return self._rate < self._full_rate

    def on_start(self, now_ms: int) -> bool:
        """Counts a start and returns whether the request stalls."""
        while self._starts and self._starts[0] <= now_ms - _WINDOW_MS:
            self._starts.popleft()
        self._starts.append(now_ms)
        if self.is_cold and len(self._starts) > self._rate:
            if now_ms >= self._stalled_until_ms:
                self.collapses += 1
            self._rate = self._cold_rate
            self._stalled_until_ms = now_ms + COLLAPSE_MS
        return now_ms < self._stalled_until_ms

    def on_completion(self) -> None:
        """Raises the rate after a request that ran to its end."""
        self._rate = min(self._full_rate, self._rate + GROWTH_PER_COMPLETION)

    def reset(self) -> None:
        """Resets the rate to the cold rate."""
        self._rate = self._cold_rate
