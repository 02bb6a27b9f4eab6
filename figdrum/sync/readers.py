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

from figdrum.routing import rendezvous

READERS_PER_ZONE = 2

MOST_READERS = 4
"""Bound on readers while the first ones cannot reach the platform."""

PROBE_MS = 1_000
"""Probe interval of the first balancer that is not a reader."""

MISSED_PROBES = 2
"""A balancer that left more probes unanswered is not live."""


def order(zone: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Returns the balancers of `zone` in the order in which they read."""
    return rendezvous.order(zone.encode(), names)


class _Candidate:
    """A balancer that may be a reader ahead of this one.

    Attributes:
      unanswered: Probes since the last sign of life.
      platform_up: Whether it reached the platform then.
    """

    def __init__(self):
        self.unanswered = 0
        self.platform_up = True

    @property
    def is_live(self) -> bool:
        """Whether it answers probes."""
        return self.unanswered <= MISSED_PROBES


class ReaderElection:
    """Decides whether one balancer is a reader.

    Explanation: unanswered probes are counted and not time, so that a balancer
    that was paused does not take all others for dead.
    """

    def __init__(self, name: str, zone: str, now_ms: int):
        self._name = name
        self._zone = zone
        self._rank = 0
        self._candidates: dict[str, _Candidate] = {}
        self._next_probe_ms = now_ms

    def on_heard(self, name: str, platform_up: bool) -> None:
        """Notes a sign of life of balancer `name`."""
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.unanswered = 0
            candidate.platform_up = platform_up

    def on_names(self, names: collections.abc.Iterable[str]) -> None:
        """Sets the registered balancers of the zone.

        A balancer that is new to this one counts as live at first.
        """
        ranked = order(self._zone, set(names) | {self._name})
        self._rank = ranked.index(self._name)
        probed = ranked[:self._rank] or ranked[1:2]
        self._candidates = {
            name: self._candidates.get(name, _Candidate()) for name in probed
        }

    def on_tick(self, now_ms: int) -> tuple[str, ...]:
        """Returns the balancers to probe now."""
        if now_ms < self._next_probe_ms:
            return ()
        interval = PROBE_MS * max(1, self._rank - READERS_PER_ZONE + 1)
        self._next_probe_ms = now_ms + interval
        probed = []
        live: list[_Candidate] = []
        for name, candidate in self._candidates.items():
            if _are_enough(live):
                break
            probed.append(name)
            candidate.unanswered += 1
            if candidate.is_live:
                live.append(candidate)
        return tuple(probed)

    def is_reader(self) -> bool:
        """Returns whether this balancer reads the platform now."""
        return self._rank == 0 or not _are_enough(
            [c for c in self._candidates.values() if c.is_live])


def _are_enough(live: list[_Candidate]) -> bool:
    """Returns whether the live balancers ahead read for the zone."""
    useful = sum(candidate.platform_up for candidate in live)
    return useful >= READERS_PER_ZONE or len(live) >= MOST_READERS
