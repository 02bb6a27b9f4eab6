"""Shared parts of the stand-ins that speak HTTP with JSON."""

import argparse
import collections.abc
import json
import signal
import sys
import typing

from twisted.internet import reactor
from twisted.web import resource
from twisted.web import server

from figdrum.core import ids

LOOPBACK = '127.0.0.1'


class JsonResource(resource.Resource):
    """A leaf resource that passes every request to `handle`.

    `handle` finishes the request itself, at once or later.
    """
    isLeaf = True

    def handle(self, req: server.Request) -> None:
        """Handles one request; subclasses override it."""
        raise NotImplementedError

    def render(self, request: server.Request) -> int:
        """Calls `handle`; answers 400 to an input that cannot be parsed."""
        try:
            self.handle(request)
        except (ValueError, KeyError, TypeError) as exc:
            reply(request, 400, {'error': repr(exc)})
        return server.NOT_DONE_YET


def reply(req: server.Request,
          status: int,
          body: typing.Any,
          headers: collections.abc.Mapping[str, str] | None = None) -> None:
    """Answers `req` with JSON, or does nothing if its connection is closed."""
    if req.finished or req.channel is None:
        return
    req.setResponseCode(status)
    req.setHeader('Content-Type', 'application/json')
    for name, value in (headers or {}).items():
        req.setHeader(name, value)
    data = json.dumps(body, sort_keys=True).encode()
    req.setHeader('Content-Length', str(len(data)))
    req.write(data)
    req.finish()


def read_json(req: server.Request) -> dict[str, typing.Any]:
    """Returns the JSON object in the body.

    Raises:
      ValueError: if the body is not a JSON object.
    """
    value = json.loads(req.content.read())
    if not isinstance(value, dict):
        raise ValueError('the body is not a JSON object')
    return value


def query_argument(req: server.Request, name: str, default: str) -> str:
    """Returns the query argument called `name`."""
    return req.args.get(name.encode(), [default.encode()])[0].decode()


def abort_connection(req: server.Request) -> None:
    """Closes the connection of `req` without an answer."""
    if req.channel is not None:
        req.channel.transport.abortConnection()


def parse_address(text: str) -> ids.Address:
    """Returns the address in `host:port`.

    >>> parse_address('127.0.0.1:80')
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(':')
    if not host:
        raise argparse.ArgumentTypeError(f'{text!r} is not host:port')
    return (host, int(port))


def listen(site_resource: resource.Resource,
           port: int,
           host: str = LOOPBACK) -> ids.Address:
    """Serves `site_resource` and returns the bound address."""
    site = server.Site(site_resource)
    site.noisy = False
    bound = reactor.listenTCP(port, site, interface=host).getHost()
    return (bound.host, bound.port)


def print_announcement(**addresses: typing.Any) -> None:
    """Prints the addresses as one JSON line."""
    sys.stdout.write(json.dumps(addresses, sort_keys=True) + '\n')
    sys.stdout.flush()


def run(**addresses: typing.Any) -> None:
    """Prints the addresses as JSON and runs the reactor until SIGTERM."""
    reactor.callWhenRunning(print_announcement, **addresses)
    reactor.run()
    # The interpreter restores the default handlers when it ends, and a further
    # signal would change the exit status.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
