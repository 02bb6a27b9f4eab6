"""Counts events and reports them once a second.

Explanation
===========

A balancer handles thousands of packets a second, so it reports sums instead of
sending a datagram to the metrics for each event.

Examples
========

>>> counters = Counters()
>>> counters.incr('balancer.forwarded')
>>> counters.incr('balancer.forwarded')
>>> counters.pop_sums()
{'balancer.forwarded': 2}
>>> counters.pop_sums()
{}
"""

import collections
import typing


class MetricsSink(typing.Protocol):
    """The part of `telemetry.metrics.Metrics` that a balancer uses."""

    def incr(self, name: str, count: int = 1) -> None:
        """Adds `count` to the counter `name`."""

    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name`."""


class Counters:
    """Sums by name since the last call of `pop_sums` or `flush`."""

    def __init__(self) -> None:
        self._sums: collections.defaultdict[str,
                                            int] = collections.defaultdict(int)

    def incr(self, name: str) -> None:
        """Adds one to `name`."""
        self._sums[name] += 1

    def pop_sums(self) -> dict[str, int]:
        """Returns the sums and resets them."""
        sums = dict(self._sums)
        self._sums.clear()
        return sums

    def flush(self, sink: MetricsSink) -> None:
        """Reports the sums to `sink` and resets them."""
        for name, count in self.pop_sums().items():
            sink.incr(name, count)
