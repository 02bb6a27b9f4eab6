"""Counters, gauges and timings that are sent to statsd.

Explanation
===========

All components report to an implementation of `Metrics`. Reporting neither
blocks nor raises: a datagram that cannot be sent immediately is dropped and
counted.

Examples
========

>>> metrics = MemoryMetrics()
>>> metrics.incr('agent.refused')
>>> metrics.incr('agent.refused', 2)
>>> metrics.counters['agent.refused']
3

References
==========

The statsd datagram format:
https://github.com/statsd/statsd/blob/master/docs/metric_types.md
"""

import abc
import collections

import statsd

from figdrum.core import ids


class Metrics(abc.ABC):
    """Interface to which components report their metrics."""

    @abc.abstractmethod
    def incr(self, name: str, count: int = 1) -> None:
        """Adds `count` to the counter `name`."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name`."""

    @abc.abstractmethod
    def timing(self, name: str, ms: float) -> None:
        """Adds a duration in ms to the timing `name`."""


class NullMetrics(Metrics):
    """Discards all metrics."""

    def incr(self, name: str, count: int = 1) -> None:
        pass

    def gauge(self, name: str, value: float) -> None:
        pass

    def timing(self, name: str, ms: float) -> None:
        pass


class MemoryMetrics(Metrics):
    """Holds metrics in memory, for tests and benchmarks.

    Attributes:
      counters: Sums by name.
      gauges: Last values by name.
      timings: Count, sum in ms and maximum in ms by name.
    """

    def __init__(self):
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.timings: dict[str, tuple[int, float, float]] = {}

    def incr(self, name: str, count: int = 1) -> None:
        self.counters[name] += count

    def gauge(self, name: str, value: float) -> None:
        self.gauges[name] = value

    def timing(self, name: str, ms: float) -> None:
        number, total, largest = self.timings.get(name, (0, 0.0, 0.0))
        self.timings[name] = (number + 1, total + ms, max(largest, ms))


class _NonBlockingClient(statsd.StatsClient):
    """The statsd library's client with a non-blocking socket."""

    def __init__(self, address: ids.Address, prefix: str):
        super().__init__(address[0], address[1], prefix=prefix)
        self._sock.setblocking(False)
        self.dropped = 0

    def _send(self, data: str) -> None:
        try:
            self._sock.sendto(data.encode('ascii', 'replace'), self._addr)
        except OSError:
            self.dropped += 1


class StatsdMetrics(Metrics):
    """Sends metrics to a statsd server over UDP."""

    def __init__(self, address: ids.Address, prefix: str):
        self._client = _NonBlockingClient(address, prefix)

    @property
    def dropped(self) -> int:
        """Number of datagrams that could not be sent."""
        return self._client.dropped

    def incr(self, name: str, count: int = 1) -> None:
        self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        self._client.gauge(name, value)

    def timing(self, name: str, ms: float) -> None:
        self._client.timing(name, ms)

    def close(self) -> None:
        """Closes the socket."""
        self._client.close()
