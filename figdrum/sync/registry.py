"""The published balancers of a zone.

Explanation
===========

The platform holds one object `balancers/<zone>` per zone. A balancer adds
itself when it starts and removes itself when it stops; the zone's readers prune
entries that have been silent for long.

Examples
========

>>> one = Registry.empty('muscat-a').with_balancer(
...     Balancer('lb-1', 'muscat-a', ('10.0.0.1', 7400)))
>>> Registry.from_json('muscat-a', 1, one.to_json()).balancers == one.balancers
True
"""

import json
import typing

from figdrum.core import errors
from figdrum.core import ids

PREFIX = 'balancers/'


class Balancer(typing.NamedTuple):
    """A balancer as others reach it.

    Attributes:
      name: Unique in the zone and everywhere else.
      zone: Availability zone.
      address: Control address (TCP).
    """
    name: ids.BalancerName
    zone: ids.ZoneName
    address: ids.Address


class Registry(typing.NamedTuple):
    """The balancers of one zone at one version of their object.

    Attributes:
      zone: The zone.
      version: Version of the platform's object; 0 before it exists.
      balancers: Balancers sorted by name.
    """
    zone: ids.ZoneName
    version: int
    balancers: tuple[Balancer, ...]

    @classmethod
    def empty(cls, zone: str) -> 'Registry':
        """Returns the registry of a zone that has no object yet."""
        return cls(ids.ZoneName(zone), 0, ())

    @classmethod
    def from_json(cls, zone: str, version: int, text: str) -> 'Registry':
        """Reads the value of `balancers/<zone>`.

        Raises:
          errors.MessageError: if the text is not a list of balancers.
        """
        try:
            balancers = tuple(
                Balancer(row['name'], ids.ZoneName(zone), (row['host'],
                                                           row['port']))
                for row in json.loads(text)['balancers'])
        except (KeyError, TypeError, ValueError) as exc:
            raise errors.MessageError('read registry', key(zone),
                                      repr(exc)) from exc
        return cls(ids.ZoneName(zone), version, balancers)

    def to_json(self) -> str:
        """Returns the value to store under `balancers/<zone>`."""
        rows = [{
            'name': balancer.name,
            'host': balancer.address[0],
            'port': balancer.address[1],
        } for balancer in self.balancers]
        return json.dumps({'balancers': rows}, sort_keys=True)

    def with_balancer(self, balancer: Balancer) -> 'Registry':
        """Returns the registry with `balancer` added or replaced."""
        rest = self.without(balancer.name).balancers
        return self._replace(
            balancers=tuple(sorted(rest + (balancer,), key=lambda b: b.name)))

    def without(self, name: str) -> 'Registry':
        """Returns the registry without the balancer called `name`."""
        return self._replace(balancers=tuple(
            b for b in self.balancers if b.name != name))


def key(zone: str) -> str:
    """Returns the key of a zone's registry."""
    return PREFIX + zone
