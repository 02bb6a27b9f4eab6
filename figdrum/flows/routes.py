"""Routes from service addresses to services.

Examples
========

>>> one = Route('r', 'safe', (Share('booking', 90), Share('catalogue', 10)))
>>> pick_service(one, b'a flow')
'booking'
"""

import typing

import xxhash

from figdrum.core import ids

# Priority of requests for which the configuration states none. 0 is the most
# urgent one.
DEFAULT_PRIORITY = 9

# Kind of the routes whose requests have large bodies.
UPLOAD_KIND = 'upload'


class RequestClass(typing.NamedTuple):
    """What the callers of a route need.

    Attributes:
      priority: 0 is the most urgent one; at most `DEFAULT_PRIORITY`.
      latency_target_ms: Time in ms within which an answer has its full worth to
        the caller; None if unknown.
      timeout_ms: Time in ms after which the caller gives up; None if unknown.
    """
    priority: int = DEFAULT_PRIORITY
    latency_target_ms: int | None = None
    timeout_ms: int | None = None

    @property
    def is_stated(self) -> bool:
        """Whether the configuration states anything of them."""
        return self != DEFAULT_CLASS


DEFAULT_CLASS = RequestClass()


class Share(typing.NamedTuple):
    """A service's share of the new flows of a route.

    Attributes:
      service: The service.
      weight: Weight relative to the other shares of the route.
    """
    service: ids.ServiceName
    weight: float


class Route(typing.NamedTuple):
    """Services that get the flows to one address.

    Attributes:
      name: Name for logs.
      kind: Kind of the requests inside the flows, as the configuration names
        it.
      shares: Shares of the services; at least one.
      is_idempotent: Whether clients may repeat a request that had no answer.
      request_class: What the callers need.
    """
    name: str
    kind: str
    shares: tuple[Share, ...]
    is_idempotent: bool = False
    request_class: RequestClass = DEFAULT_CLASS

    @property
    def is_bulk_upload(self) -> bool:
        """Whether its requests have large bodies."""
        return self.kind == UPLOAD_KIND


class ServiceLimits(typing.NamedTuple):
    """Load limits of each target of a service.

    Attributes:
      cold_per_s: Requests per second that a target can process while it is
        cold; 0 if the operators have set no limit.
    """
    cold_per_s: float


class Configuration(typing.NamedTuple):
    """A version of the configuration that operators have approved.

    Attributes:
      version: Number of the version; later versions have higher numbers.
      routes: Routes by service address, encoded as by `PacketFormat`.
      services: Limits by service.
    """
    version: int
    routes: dict[bytes, Route]
    services: dict[ids.ServiceName, ServiceLimits]


def pick_service(route: Route, key: bytes) -> ids.ServiceName:
    """Returns the service of a new flow, by a hash that all balancers share."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh32_intdigest(key) / (1 << 32) * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
