"""Counters, gauges and timings.

Explanation
===========

Parts report through a `Metrics`. Reporting never blocks and never raises: a
datagram that cannot be sent at once is dropped and counted.

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
    """Takes figures from all parts."""

    @abc.abstractmethod
    def incr(self, name: str, count: int = 1) -> None:
        """Adds `count` to the counter `name`."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name`."""

    @abc.abstractmethod
    def timing(self, name: str, ms: float) -> None:
        """Notes that something took `ms`."""


class NullMetrics(Metrics):
    """Drops all figures."""

    def incr(self, name: str, count: int = 1) -> None:
        pass

    def gauge(self, name: str, value: float) -> None:
        pass

    def timing(self, name: str, ms: float) -> None:
        pass


class MemoryMetrics(Metrics):
    """Keeps figures for tests and `status`.

    Attributes:
      counters: Sums by name.
      gauges: Last values by name.
      timings: Number, sum in ms and largest value in ms by name.
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


class _Client(statsd.StatsClient):
    """The library's client on a socket that does not block."""

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
    """Sends figures to a statsd server over UDP."""

    def __init__(self, address: ids.Address, prefix: str):
        self._client = _Client(address, prefix)

    @property
    def dropped(self) -> int:
        """Datagrams that could not be sent."""
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
