"""Keeps a collector's object in the store up to date.

A balancer loads this module once an agent has chosen it as the collector.
"""

import collections.abc
import typing

from figdrum.core import clock as clock_module
from figdrum.flows import recent_flow_collector
from figdrum.registry import object_writer
from figdrum.registry import recent_flows

# Share of the store's write rate that all collectors may use. At 9,600 agents
# it allows each of 48 collectors a write in 2.4 s.
WRITE_SHARE = 0.05

# Shortest time in ms between two writes of a collector.
MIN_WRITE_PERIOD_MS = 1_000


def write_period_ms(collectors: int, writes_per_s: float) -> int:
    """Returns the time between two writes of a collector, in ms.

    Args:
      collectors: Number of collectors that share the store.
      writes_per_s: Writes per second that the store accepts.

    Examples
    ========

    >>> write_period_ms(3, 400.0), write_period_ms(48, 400.0)
    (1000, 2400)
    """
    return max(MIN_WRITE_PERIOD_MS,
               int(1_000 * collectors / (writes_per_s * WRITE_SHARE)))


class CollectorWriter:
    """Keeps a collector's object in the store up to date.

    A balancer that collects nothing makes no calls.
    """

    def __init__(
            self, collector: recent_flow_collector.Collector,
            clock: clock_module.Clock, writes_per_s: float,
            make_writer: collections.abc.Callable[[],
                                                  object_writer.ObjectWriter]):
        self._collector = collector
        self._clock = clock
        self._writes_per_s = writes_per_s
        self._make_writer = make_writer
        self._writer: object_writer.ObjectWriter | None = None
        self._is_loaded = False
        # Messages whose flows are in the value to write.
        self._receipts: list[recent_flow_collector.Receipt] = []

    def on_tick(
        self,
        count: collections.abc.Callable[[],
                                        recent_flow_collector.CollectorCounts]
    ) -> list[recent_flow_collector.Receipt]:
        """Writes what has changed, if a write is due.

        Args:
          count: Counts the collectors that share the store.

        Returns:
          The messages whose flows the store now has.
        """
        if self._collector.is_due(self._clock.now_ms()):
            self._write(count)
        if self._writer is None or not self._writer.is_stored:
            return []
        if not self._collector.has_new:
            # What came since the write was in it already.
            self._receipts += self._collector.take_receipts()
        receipts, self._receipts = self._receipts, []
        return receipts

    def _write(
        self,
        count: collections.abc.Callable[[],
                                        recent_flow_collector.CollectorCounts]
    ) -> None:
        counts = count()
        entries = self._collector.take_due(
            self._clock.now_ms(),
            write_period_ms(counts.total, self._writes_per_s), counts.own_zone)
        if entries is None:
            return
        self._receipts += self._collector.take_receipts()
        if self._writer is None:
            self._writer = self._make_writer()
            self._writer.load(self._on_loaded, lambda _: None)
        elif self._is_loaded:
            self._writer.save(recent_flows.encode(entries))

    def _on_loaded(self, value: typing.Any) -> None:
        """Adds the object's flows before it is written for the first time."""
        self._is_loaded = True
        self._collector.on_stored(self._clock.now_ms(),
                                  recent_flows.decode(value))
        if self._writer is not None:
            self._writer.save(recent_flows.encode(self._collector.entries()))
