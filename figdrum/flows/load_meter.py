"""Averages the number of requests in progress at a target over time.

Examples
========

>>> meter = LoadMeter(0)
>>> meter.add(0, 1)
>>> round(meter.average(2000), 2)
0.63
"""

import math

# Time constant of the average, in ms. A shorter one would follow single
# requests of about 20 ms; a longer one would miss a burst of 3 s.
TIME_CONSTANT_MS = 2_000


class LoadMeter:
    """Exponential moving average of a count over time.

    Attributes:
      current: Requests in progress now.
    """

    def __init__(self, now_ms: int):
        self.current = 0
        self._average = 0.0
        self._updated_ms = now_ms

    def add(self, now_ms: int, change: int) -> None:
        """Adds `change` to the number of requests in progress."""
        self._update(now_ms)
        self.current += change

    def withdraw(self, now_ms: int, since_ms: int) -> None:
        """Removes a request that has not been in progress since `since_ms`.

        The average becomes what it would be if the request had ended then.

        Examples
        ========

        >>> meter = LoadMeter(0)
        >>> meter.add(0, 1)
        >>> meter.withdraw(9000, 2000)
        >>> round(meter.average(9000), 2)
        0.02
        """
        self.add(now_ms, -1)
        self._average -= 1 - math.exp((since_ms - now_ms) / TIME_CONSTANT_MS)

    def average(self, now_ms: int) -> float:
        """Returns the average number of requests in progress."""
        self._update(now_ms)
        return self._average

    def _update(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0:
            decay = math.exp(-elapsed_ms / TIME_CONSTANT_MS)
            self._average = self._average * decay + self.current * (1 - decay)
            self._updated_ms = now_ms
