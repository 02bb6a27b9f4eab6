"""Elects the balancers of a zone that read the platform.

Explanation
===========

The first two live balancers in rendezvous order of the zone's name are the
zone's *readers*. A balancer probes the balancers ahead of it in this order
until it has found two live ones, and the first balancer probes the second. The
readers therefore receive probes from every live balancer of the zone. The
interval between a balancer's probes grows with its rank, so that the rate of
probes at the first balancer grows only with the logarithm of the zone's size.
A surplus reader costs a few reads of the platform and is harmless otherwise.

Examples
========

>>> order('muscat-a', ['lb-1', 'lb-2', 'lb-3'])
['lb-2', 'lb-1', 'lb-3']
"""

import collections.abc

from figdrum.routing import rendezvous

READERS_PER_ZONE = 2

MAX_READERS = 4
"""Maximum number of readers while the first ones cannot reach the platform."""

PROBE_INTERVAL_MS = 1_000
"""Probe interval of the readers and of the first balancer after them."""

MAX_UNANSWERED_PROBES = 2
"""A balancer with more consecutive unanswered probes is not live."""


def order(zone: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Returns the names of the balancers of `zone` by descending priority."""
    return rendezvous.order(zone.encode(), names)


class _ProbedBalancer:
    """State of a balancer that this one probes.

    Attributes:
      unanswered: Number of probes since its last digest.
      platform_up: Whether it could read the platform as of its last digest.
    """

    def __init__(self):
        self.unanswered = 0
        self.platform_up = True

    @property
    def is_live(self) -> bool:
        """Whether it has answered one of the last probes."""
        return self.unanswered <= MAX_UNANSWERED_PROBES


class ReaderElection:
    """Decides whether this balancer is a reader of its zone.

    Explanation: a balancer is live by its number of unanswered probes and not
    by the time since its last digest, so that a balancer that was paused does
    not consider all others dead.
    """

    def __init__(self, name: str, zone: str, now_ms: int):
        self._name = name
        self._zone = zone
        self._rank = 0
        self._probed: dict[str, _ProbedBalancer] = {}
        self._next_probe_ms = now_ms

    def record_digest(self, name: str, platform_up: bool) -> None:
        """Records a digest of balancer `name`.

        Args:
          name: Sender of the digest.
          platform_up: Whether the sender's last read of the platform succeeded.
        """
        balancer = self._probed.get(name)
        if balancer is not None:
            balancer.unanswered = 0
            balancer.platform_up = platform_up

    def on_registered_names(self, names: collections.abc.Iterable[str]) -> None:
        """Sets the registered balancers of the zone.

        A newly registered balancer is considered live until it leaves probes
        unanswered.
        """
        ranked = order(self._zone, set(names) | {self._name})
        self._rank = ranked.index(self._name)
        probed = ranked[:self._rank] or ranked[1:2]
        self._probed = {
            name: self._probed.get(name, _ProbedBalancer()) for name in probed
        }

    def on_tick(self, now_ms: int) -> tuple[str, ...]:
        """Returns the balancers to probe now."""
        if now_ms < self._next_probe_ms:
            return ()
        interval_ms = PROBE_INTERVAL_MS * max(1,
                                              self._rank - READERS_PER_ZONE + 1)
        self._next_probe_ms = now_ms + interval_ms
        probed = []
        live: list[_ProbedBalancer] = []
        for name, balancer in self._probed.items():
            if _has_enough_readers(live):
                break
            probed.append(name)
            balancer.unanswered += 1
            if balancer.is_live:
                live.append(balancer)
        return tuple(probed)

    def is_reader(self) -> bool:
        """Returns whether this balancer has to read the platform now."""
        return self._rank == 0 or not _has_enough_readers(
            [c for c in self._probed.values() if c.is_live])


def _has_enough_readers(live: list[_ProbedBalancer]) -> bool:
    """Returns whether the live balancers ahead suffice as readers."""
    connected = sum(balancer.platform_up for balancer in live)
    return connected >= READERS_PER_ZONE or len(live) >= MAX_READERS
