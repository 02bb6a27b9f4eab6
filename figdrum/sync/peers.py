"""The other balancers that a balancer knows.

Explanation
===========

Peers come from the registries in the replica and from digests. A digest also
names a peer that could not register its address while the platform is down; it
is kept for 10 min, so that balancers that left are not asked for ever.
Addresses from the settings are used until any peer is known.
"""

import random
import typing

from figdrum.core import ids
from figdrum.core import limits
from figdrum.messages import control
from figdrum.sync import readers
from figdrum.sync import registry as registry_lib

LEARNED_LIMIT = 2_000
"""Bound on the peers that are known from digests only."""


class _Learned(typing.NamedTuple):
    """A peer known from a digest, received at `at_ms`."""
    balancer: registry_lib.Balancer
    at_ms: int


class PeerBook:
    """Peers by name and zone, and random choices among them.

    Attributes:
      registered: Peers from the registries by name, without this balancer.
    """

    def __init__(self, own: registry_lib.Balancer,
                 seeds: tuple[ids.Address, ...], rng: random.Random):
        self._own = own
        self._seeds = seeds
        self._rng = rng
        self._learned: dict[str, _Learned] = {}
        self.registered: dict[str, registry_lib.Balancer] = {}

    def on_registered(self, balancers: tuple[registry_lib.Balancer,
                                             ...]) -> None:
        """Sets the balancers of all registries."""
        self.registered = {
            balancer.name: balancer
            for balancer in balancers
            if balancer.name != self._own.name
        }
        for name, balancer in self.registered.items():
            if name in self._learned and (self._learned[name].balancer
                                          == balancer):
                del self._learned[name]

    def on_digest(self, now_ms: int, digest: control.Digest) -> None:
        """Notes the sender of a digest."""
        self._learned.pop(digest.name, None)
        balancer = registry_lib.Balancer(ids.BalancerName(digest.name),
                                         ids.ZoneName(digest.zone),
                                         (digest.host, digest.port))
        if self.registered.get(digest.name) != balancer:
            self._learned[digest.name] = _Learned(balancer, now_ms)
        if len(self._learned) > LEARNED_LIMIT:
            self._learned.pop(next(iter(self._learned)))

    def expire(self, now_ms: int) -> None:
        """Forgets unregistered peers that have been silent for long."""
        self._learned = {
            name: learned
            for name, learned in self._learned.items()
            if now_ms - learned.at_ms <= limits.BALANCER_SILENCE_MS
        }

    def all(self) -> tuple[registry_lib.Balancer, ...]:
        """Returns all known peers, sorted by name."""
        known = self.registered | {
            name: learned.balancer for name, learned in self._learned.items()
        }
        return tuple(known[name] for name in sorted(known))

    def in_zone(self) -> tuple[registry_lib.Balancer, ...]:
        """Returns the known peers of this balancer's zone."""
        return tuple(peer for peer in self.all() if peer.zone == self._own.zone)

    def neighbours(self) -> tuple[registry_lib.Balancer, ...]:
        """Returns the peers of the zone or, if none is known, all peers."""
        return self.in_zone() or self.all()

    def choose(self, count: int, near: bool = False) -> list[ids.Address]:
        """Returns up to `count` random addresses, of neighbours if `near`."""
        peers = self.neighbours() if near else self.all()
        return self._sample([peer.address for peer in peers] or
                            list(self._seeds), count)

    def for_push(self, count: int) -> list[ids.Address]:
        """Returns up to `count` random addresses, one in another zone."""
        inside = [peer.address for peer in self.in_zone()]
        outside = [
            peer.address for peer in self.all() if peer.zone != self._own.zone
        ]
        chosen = self._sample(outside, 1)
        rest = inside or [a for a in outside if a not in chosen]
        return chosen + self._sample(rest, count - len(chosen))

    def reader(self) -> list[ids.Address]:
        """Returns the address of one of the zone's first readers, if known."""
        names = [peer.name for peer in self.in_zone()]
        first = readers.order(self._own.zone, names)[:readers.READERS_PER_ZONE]
        return self._sample(
            [peer.address for peer in self.in_zone() if peer.name in first], 1)

    def _sample(self, addresses: list[ids.Address],
                count: int) -> list[ids.Address]:
        distinct = [
            a for a in dict.fromkeys(addresses) if a != self._own.address
        ]
        return self._rng.sample(distinct, min(count, len(distinct)))
