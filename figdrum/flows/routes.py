"""Which service the packets to an address are for.

Examples
========

>>> one = Route('r', 'safe', (Share('booking', 90), Share('catalogue', 10)))
>>> pick_service(one, b'a flow')
'booking'
"""

import typing

import xxhash

from figdrum.core import ids


class Share(typing.NamedTuple):
    """A part of a route's new flows.

    Attributes:
      service: Service that gets them.
      weight: Its weight among the shares of the route.
    """
    service: ids.ServiceName
    weight: float


class Route(typing.NamedTuple):
    """Where the flows to one address go.

    Attributes:
      name: Name for logs.
      kind: Kind of the requests inside.
      shares: Services that new flows go to; at least one.
    """
    name: str
    kind: str
    shares: tuple[Share, ...]


class ServiceLimits(typing.NamedTuple):
    """What a target of a service bears after its start.

    Attributes:
      cold_per_s: Requests a second that it bears while it is cold; 0 if the
        operators have set no limit.
    """
    cold_per_s: float


class Configuration(typing.NamedTuple):
    """A version of what operators have approved.

    Attributes:
      version: Number of the version; a later one is higher.
      routes: Routes by the service address of `PacketFormat`.
      services: Limits by service.
    """
    version: int
    routes: dict[bytes, Route]
    services: dict[ids.ServiceName, ServiceLimits]


def pick_service(route: Route, key: bytes) -> ids.ServiceName:
    """Returns the service of a new flow, the same at each balancer."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh32_intdigest(key) / (1 << 32) * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
