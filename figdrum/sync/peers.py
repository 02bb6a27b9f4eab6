"""Keeps the other balancers that a balancer knows.

Explanation
===========

Peers are known from the registries in the replica and from digests. A digest
also makes known a peer that could not register its address because the platform
is down. Such a peer expires 10 min after its last digest, so that balancers
that left are not queried for ever. The addresses from the settings are used as
long as no peer is known.
"""

import random
import typing

from figdrum.core import ids
from figdrum.core import limits
from figdrum.messages import control
from figdrum.sync import readers
from figdrum.sync import registry as registry_lib

MAX_LEARNED_PEERS = 2_000
"""Maximum number of peers that are known from digests only."""


class _LearnedPeer(typing.NamedTuple):
    """A peer known from a digest only; `received_ms` is the time of receipt."""
    balancer: registry_lib.Balancer
    received_ms: int


class PeerDirectory:
    """Known peers, and random samples of their control addresses.

    Attributes:
      registered: Peers from the registries by name, without this balancer.
    """

    def __init__(self, own_balancer: registry_lib.Balancer,
                 seeds: tuple[ids.Address, ...], rng: random.Random):
        self._own_balancer = own_balancer
        self._seeds = seeds
        self._rng = rng
        self._learned: dict[str, _LearnedPeer] = {}
        self.registered: dict[str, registry_lib.Balancer] = {}

    def on_registered(self, balancers: tuple[registry_lib.Balancer,
                                             ...]) -> None:
        """Replaces the registered balancers by those of all registries."""
        self.registered = {
            balancer.name: balancer
            for balancer in balancers
            if balancer.name != self._own_balancer.name
        }
        for name, balancer in self.registered.items():
            if name in self._learned and (self._learned[name].balancer
                                          == balancer):
                del self._learned[name]

    def on_digest(self, now_ms: int, digest: control.Digest) -> None:
        """Records the sender of a digest."""
        self._learned.pop(digest.name, None)
        balancer = registry_lib.Balancer(ids.BalancerName(digest.name),
                                         ids.ZoneName(digest.zone),
                                         (digest.host, digest.port))
        if self.registered.get(digest.name) != balancer:
            self._learned[digest.name] = _LearnedPeer(balancer, now_ms)
        if len(self._learned) > MAX_LEARNED_PEERS:
            self._learned.pop(next(iter(self._learned)))

    def expire(self, now_ms: int) -> None:
        """Discards unregistered peers without a digest in the last 10 min."""
        self._learned = {
            name: learned
            for name, learned in self._learned.items()
            if now_ms - learned.received_ms <= limits.BALANCER_SILENCE_MS
        }

    def all(self) -> tuple[registry_lib.Balancer, ...]:
        """Returns all known peers, sorted by name."""
        known = self.registered | {
            name: learned.balancer for name, learned in self._learned.items()
        }
        return tuple(known[name] for name in sorted(known))

    def zone_peers(self) -> tuple[registry_lib.Balancer, ...]:
        """Returns the known peers of this balancer's zone."""
        return tuple(
            peer for peer in self.all() if peer.zone == self._own_balancer.zone)

    def zone_peers_or_all(self) -> tuple[registry_lib.Balancer, ...]:
        """Returns the peers of this zone or, if none is known, all peers."""
        return self.zone_peers() or self.all()

    def choose(self,
               count: int,
               prefer_zone: bool = False) -> list[ids.Address]:
        """Returns up to `count` random control addresses of peers.

        The addresses are from the settings if no peer is known.

        Args:
          count: Maximum number of addresses.
          prefer_zone: Whether to choose among `zone_peers_or_all` only.
        """
        peers = self.zone_peers_or_all() if prefer_zone else self.all()
        return self._sample([peer.address for peer in peers] or
                            list(self._seeds), count)

    def choose_for_push(self, count: int) -> list[ids.Address]:
        """Returns up to `count` random control addresses of peers.

        One of them is in another zone, if a peer there is known, and the others
        are in this zone. If no peer of this zone is known, all are in others.
        """
        zone_addresses = [peer.address for peer in self.zone_peers()]
        other_addresses = [
            peer.address
            for peer in self.all()
            if peer.zone != self._own_balancer.zone
        ]
        chosen = self._sample(other_addresses, 1)
        rest = zone_addresses or [a for a in other_addresses if a not in chosen]
        return chosen + self._sample(rest, count - len(chosen))

    def choose_reader(self) -> list[ids.Address]:
        """Returns the address of a random reader of the zone, or no address.

        The readers are taken to be the first peers in the order of reading,
        live or not.
        """
        names = [peer.name for peer in self.zone_peers()]
        reader_names = readers.order(self._own_balancer.zone,
                                     names)[:readers.READERS_PER_ZONE]
        return self._sample([
            peer.address
            for peer in self.zone_peers()
            if peer.name in reader_names
        ], 1)

    def _sample(self, addresses: list[ids.Address],
                count: int) -> list[ids.Address]:
        distinct = [
            a for a in dict.fromkeys(addresses)
            if a != self._own_balancer.address
        ]
        return self._rng.sample(distinct, min(count, len(distinct)))
