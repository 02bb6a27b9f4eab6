"""Clocks with millisecond resolution.

Explanation
===========

Decision code never reads a clock; its callers pass it the time. Adapters read
the time from a `Clock`, so that tests and benchmarks can run in virtual time.

Examples
========

>>> clock = ManualClock(1000)
>>> clock.advance(250)
>>> clock.now_ms()
1250

References
==========

clock_gettime(2): CLOCK_BOOTTIME includes the time for which a machine is
suspended, which the detection of pauses depends on.
"""

import abc
import time

MS_PER_S = 1000


class Clock(abc.ABC):
    """Source of the current time."""

    @abc.abstractmethod
    def now_ms(self) -> int:
        """Returns a monotonic time in ms since an arbitrary origin."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Returns ms since the Unix epoch, for display and records only."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def now_ms(self) -> int:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """A clock for virtual time that only `advance` moves."""

    def __init__(self, start_ms: int = 0):
        self._now_ms = start_ms

    def advance(self, delta_ms: int) -> None:
        """Moves the clock forward by `delta_ms`.

    Raises:
      ValueError: if `delta_ms` is negative.
    """
        if delta_ms < 0:
            raise ValueError(f'cannot move the clock back by {-delta_ms} ms')
        self._now_ms += delta_ms

    def now_ms(self) -> int:
        return self._now_ms

    def wall_ms(self) -> int:
        return self._now_ms
