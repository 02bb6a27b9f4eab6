"""Routes and services of a configuration, decoded one by one.

Explanation
===========

The balancers' decoder refuses a whole configuration for one fault, and does not
say which entry has replaced another one. So it is called with configurations
that have one entry each.
"""

import collections.abc
import typing

from figdrum.config_check import document
from figdrum.core import ids
from figdrum.flows import routes

# Decodes a configuration object as a balancer does; None if it is refused.
Decode = collections.abc.Callable[[typing.Any], routes.Configuration | None]

# A configuration that is accepted, to which an entry is added.
EMPTY = {'version': 0, 'routes': [], 'services': []}


class RouteEntry(typing.NamedTuple):
    """A route that the decoder accepts.

    Attributes:
      place: Its place in the configuration.
      fields: Its fields as they are written.
      address: Its service address, by which balancers find it.
      route: The route as balancers have it.
    """
    place: str
    fields: dict[str, typing.Any]
    address: bytes
    route: routes.Route

    @property
    def address_text(self) -> str:
        """Its host and port as text."""
        port = self.fields['pathPrefix'].strip('/')
        return f'{self.fields["hostname"]}:{port}'


class ServiceEntry(typing.NamedTuple):
    """A service that the decoder accepts.

    Attributes:
      place: Its place in the configuration.
      fields: Its fields as they are written.
      name: Its name.
      limits: Its limits as balancers have them.
    """
    place: str
    fields: dict[str, typing.Any]
    name: ids.ServiceName
    limits: routes.ServiceLimits


class Entries(typing.NamedTuple):
    """The entries that the decoder accepts, in their order.

    Attributes:
      routes: Routes.
      services: Services.
      has_all_routes: Whether no route was refused.
      has_all_services: Whether no service was refused.
    """
    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    has_all_routes: bool
    has_all_services: bool

    def effective_routes(self) -> dict[bytes, RouteEntry]:
        """Returns the routes by address; the last one of an address wins."""
        return {entry.address: entry for entry in self.routes}

    def effective_services(self) -> dict[ids.ServiceName, ServiceEntry]:
        """Returns the services by name; the last one of a name wins."""
        return {entry.name: entry for entry in self.services}


def listed(spec: typing.Any, key: str) -> list[tuple[str, typing.Any]]:
    """Returns the places and values of a list in a configuration.

    >>> listed({'routes': [{'name': 'r'}]}, 'routes')
    [('routes[0]', {'name': 'r'})]
    >>> listed([], 'routes'), listed({'routes': 'r'}, 'routes')
    ([], [])
    """
    value = spec.get(key) if isinstance(spec, dict) else None
    return document.members(key, value) if isinstance(value, list) else []


def decode_route(route: typing.Any,
                 decode: Decode) -> tuple[bytes, routes.Route] | None:
    """Returns the address of a route and the route; None if it is refused."""
    cfg = decode({**EMPTY, 'routes': [route]})
    return None if cfg is None else next(iter(cfg.routes.items()))


def decode_service(
        service: typing.Any,
        decode: Decode) -> tuple[ids.ServiceName, routes.ServiceLimits] | None:
    """Returns the name and limits of a service; None if it is refused."""
    cfg = decode({**EMPTY, 'services': [service]})
    return None if cfg is None else next(iter(cfg.services.items()))


def decode_all(spec: typing.Any, decode: Decode) -> Entries:
    """Decodes all routes and services of a configuration."""
    written_routes = listed(spec, 'routes')
    written_services = listed(spec, 'services')
    accepted_routes = tuple(
        RouteEntry(place, fields, *decoded)
        for place, fields in written_routes
        if (decoded := decode_route(fields, decode)) is not None)
    accepted_services = tuple(
        ServiceEntry(place, fields, *decoded)
        for place, fields in written_services
        if (decoded := decode_service(fields, decode)) is not None)
    return Entries(accepted_routes, accepted_services,
                   len(accepted_routes) == len(written_routes),
                   len(accepted_services) == len(written_services))
