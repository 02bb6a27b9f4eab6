"""Which balancers of a zone read the platform.

Explanation
===========

The first two live balancers in rendezvous order of the zone's name are the
zone's *readers*. A balancer probes the ones ahead of it until it knows two live
ones, and the first one probes the second. So the readers also hear from every
live balancer of the zone. A balancer's probes are the rarer the further back it
is, so that the probes that reach the first one grow with the logarithm of the
zone's size only. One reader too many costs a few reads and does no harm.

Examples
========

>>> order('muscat-a', ['lb-1', 'lb-2', 'lb-3'])
['lb-2', 'lb-1', 'lb-3']
"""

import collections.abc
import typing

from figdrum.routing import rendezvous

READERS_PER_ZONE = 2

MOST_READERS = 4
"""Bound on readers while the first ones cannot reach the platform."""

PROBE_MS = 1_000
"""Probe interval of the first balancer that is not a reader."""

MISSED_PROBES = 2.5
"""A balancer silent for as many probe intervals is not live."""


def order(zone: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Returns the balancers of `zone` in the order in which they read."""
    return rendezvous.order(zone.encode(), names)


class Heard(typing.NamedTuple):
    """The last sign of life of a balancer.

    Attributes:
      at_ms: When.
      platform_up: Whether it reached the platform then.
    """
    at_ms: int
    platform_up: bool


class ReaderElection:
    """Decides whether one balancer is a reader."""

    def __init__(self, name: str, zone: str, now_ms: int):
        self._name = name
        self._zone = zone
        self._heard: dict[str, Heard] = {}
        self._ahead: list[str] = []
        self._probed: list[str] = []
        self._next_probe_ms = now_ms

    def on_heard(self, now_ms: int, name: str, platform_up: bool) -> None:
        """Notes a sign of life of balancer `name`."""
        if name in self._heard:
            self._heard[name] = Heard(now_ms, platform_up)

    def on_names(self, now_ms: int,
                 names: collections.abc.Iterable[str]) -> None:
        """Sets the registered balancers of the zone.

        A balancer that is new to this one counts as live at first.
        """
        ahead = order(self._zone, set(names) | {self._name})
        self._ahead = ahead[:ahead.index(self._name)]
        others = [name for name in ahead if name != self._name]
        self._probed = self._ahead or others[:1]
        self._heard = {
            name: self._heard.get(name, Heard(now_ms, True))
            for name in self._probed
        }

    def on_tick(self, now_ms: int) -> tuple[str, ...]:
        """Returns the balancers to probe now."""
        if now_ms < self._next_probe_ms:
            return ()
        self._next_probe_ms = now_ms + self._interval_ms()
        probed = []
        useful = 0
        for name in self._probed:
            probed.append(name)
            useful += self._is_live(now_ms, name)
            if useful == READERS_PER_ZONE:
                break
        return tuple(probed)

    def is_reader(self, now_ms: int) -> bool:
        """Returns whether this balancer reads the platform now."""
        live = [name for name in self._ahead if self._is_live(now_ms, name)]
        if len(live) >= MOST_READERS:
            return False
        useful = [name for name in live if self._heard[name].platform_up]
        return len(useful) < READERS_PER_ZONE

    def _interval_ms(self) -> int:
        return PROBE_MS * max(1, len(self._ahead) - READERS_PER_ZONE + 1)

    def _is_live(self, now_ms: int, name: str) -> bool:
        silent_ms = now_ms - self._heard[name].at_ms
        return silent_ms <= MISSED_PROBES * self._interval_ms()
