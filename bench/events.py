"""A queue of events in virtual time, ordered by time, then by scheduling."""

import collections.abc
import heapq


class EventQueue:
    """Runs scheduled functions in virtual time.

    Attributes:
      now_ms: Current virtual time.

    Examples
    ========

    >>> events = EventQueue()
    >>> events.after(20, print, 'second')
    >>> events.after(10, print, 'first')
    >>> events.run_until(100)
    first
    second
    """

    def __init__(self):
        self.now_ms = 0
        self._heap: list[tuple[int, int, collections.abc.Callable, tuple]] = []
        self._count = 0

    def at(self, at_ms: int, fn: collections.abc.Callable, *args) -> None:
        """Schedules `fn(*args)` at `at_ms`, or now if that is in the past."""
        self._count += 1
        heapq.heappush(self._heap,
                       (max(self.now_ms, at_ms), self._count, fn, args))

    def after(self, delay_ms: int, fn: collections.abc.Callable, *args) -> None:
        """Schedules `fn(*args)` after `delay_ms`."""
        self.at(self.now_ms + delay_ms, fn, *args)

    def each(self, period_ms: int, fn: collections.abc.Callable) -> None:
        """Runs `fn` every `period_ms` until it returns False."""
        self.after(period_ms, self._repeat, period_ms, fn)

    def run_until(self, end_ms: int) -> None:
        """Runs the events up to and including `end_ms`."""
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, fn, args = heapq.heappop(self._heap)
            fn(*args)
        self.now_ms = end_ms

    def _repeat(self, period_ms: int, fn: collections.abc.Callable) -> None:
        if fn() is not False:
            self.after(period_ms, self._repeat, period_ms, fn)
