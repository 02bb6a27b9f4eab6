"""Reads from other balancers while the store cannot be reached.

Explanation
===========

A balancer that starts while the store is down, or that the store turns away,
has no routes and targets, while others still have them. It adopts their copies
if they are newer than its own. The store stays the authority: the calls to it
go on meanwhile, and each list from it replaces what was adopted.
"""

import collections.abc
import typing

from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import ports
from figdrum.core import revisions
from figdrum.registry import mirror
from figdrum.registry import peer_state
from figdrum.runtime import http_client
from figdrum.runtime import http_server
from figdrum.telemetry import event_log

# Time in ms without the store after which a balancer asks others, and the time
# between two such requests. A list takes 4 ms, and a few hundred on slow days.
QUERY_PERIOD_MS = 500

# Time in ms from its start after which a balancer without a copy asks others.
# It serves nothing until then, and small machines need 100 ms for the lists of
# a store that answers. The time doubles up to `QUERY_PERIOD_MS`.
FIRST_QUERY_DELAY_MS = 200

# Timeout of a request to another balancer, in ms.
QUERY_TIMEOUT_MS = 400


class Peer(typing.Protocol):
    """A client of one other balancer, as `http_client.HttpClient` is."""

    def call(self, method: str, path: str, body: bytes, timeout_ms: int,
             on_result: http_client.OnResult) -> None:
        """Sends a request."""

    def close(self) -> None:
        """Closes the connection."""


class PeerReader:
    """Keeps mirrors up to date from other balancers, one after the other."""

    def __init__(self, mirrors: collections.abc.Sequence[mirror.Mirror],
                 peers: collections.abc.Sequence[ids.Address],
                 connect: collections.abc.Callable[[ids.Address], Peer],
                 timers: ports.Timers, log: event_log.EventLog):
        """Creates a reader.

        Args:
          mirrors: The mirrors.
          peers: Control addresses of other balancers.
          connect: Returns a client for an address.
          timers: Timers of the process.
          log: Log of the process.
        """
        self._mirrors = mirrors
        self._peers = peers
        self._connect = connect
        self._timers = timers
        self._log = log
        self._next_peer = 0
        self._delay_ms = FIRST_QUERY_DELAY_MS

    def start(self) -> None:
        """Starts the periodic checks."""
        if self._peers:
            self._timers.call_later(self._delay_ms, self._check)

    def respond(self, req: http_server.Request) -> http_server.Response:
        """Answers a request of another balancer."""
        known = peer_state.parse_path(req.path)
        if known is None:
            return http_server.Response(404)
        newer = {
            copy.kind: copy.snapshot()
            for copy in self._mirrors
            if copy.revision > known.get(copy.kind, copy.revision)
        }
        return http_server.Response(200, peer_state.encode(newer),
                                    'application/msgpack')

    def _check(self) -> None:
        self._delay_ms = min(2 * self._delay_ms, QUERY_PERIOD_MS)
        self._timers.call_later(self._delay_ms, self._check)
        if all(copy.is_connected for copy in self._mirrors):
            return
        address = self._peers[self._next_peer % len(self._peers)]
        self._next_peer += 1
        client = self._connect(address)
        path = peer_state.make_path(
            {copy.kind: copy.revision for copy in self._mirrors})

        def finish(result: http_client.Result) -> None:
            client.close()
            self._on_result(address, result)

        client.call('GET', path, b'', QUERY_TIMEOUT_MS, finish)

    def _on_result(self, address: ids.Address,
                   result: http_client.Result) -> None:
        if isinstance(result, errors.StoreError):
            self._log.write('peer silent', peer=address[0], reason=str(result))
            return
        copies = peer_state.decode(result.body)
        if result.status != 200 or copies is None:
            self._log.write('peer refused',
                            peer=address[0],
                            status=result.status)
            return
        for copy in self._mirrors:
            listing = copies.get(copy.kind)
            # A mirror that the store answers is newer or will be at once.
            if (listing is not None and not copy.is_connected and
                    copy.adopt(listing)):
                self._log.write('state of a peer adopted',
                                kind=copy.kind,
                                revision=revisions.describe(listing.revision),
                                peer=address[0],
                                objects=len(listing.entries))
