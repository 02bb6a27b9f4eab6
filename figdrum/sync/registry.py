"""Registry of the balancers of a zone, as stored on the platform.

Explanation
===========

The platform holds one object `balancers/<zone>` per zone. A balancer adds
itself when it starts and removes itself when it stops. The zone's readers prune
balancers from which they have received nothing for 10 min.

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
    """Name, zone and control address of a balancer.

    Attributes:
      name: Name, unique over all zones.
      zone: Availability zone.
      address: Control address (TCP).
    """
    name: ids.BalancerName
    zone: ids.ZoneName
    address: ids.Address


class Registry(typing.NamedTuple):
    """The registered balancers of one zone.

    Attributes:
      zone: The zone.
      version: Version of the object on the platform; 0 before it exists.
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
        """Parses the value of `balancers/<zone>`.

        Args:
          zone: The zone.
          version: Version of the object.
          text: Value of the object.

        Raises:
          errors.MessageError: if `text` is not a valid registry.
        """
        try:
            balancers = tuple(
                _parse_balancer(zone, row)
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
        """Returns the registry with `balancer` added, or replaced by name."""
        rest = self.without(balancer.name).balancers
        return self._replace(
            balancers=tuple(sorted(rest + (balancer,), key=lambda b: b.name)))

    def without(self, name: str) -> 'Registry':
        """Returns the registry without balancer `name`, if it was there."""
        return self._replace(balancers=tuple(
            b for b in self.balancers if b.name != name))


def key(zone: str) -> str:
    """Returns the platform's key of the registry of `zone`."""
    return PREFIX + zone


def _parse_balancer(zone: str, row: dict) -> Balancer:
    for field, expected_type in (('name', str), ('host', str), ('port', int)):
        if type(row[field]) is not expected_type:  # pylint: disable=unidiomatic-typecheck
            raise TypeError(f'{field} has invalid value {row[field]!r:.40}')
    return Balancer(row['name'], ids.ZoneName(zone), (row['host'], row['port']))
