"""Sends queries to other agents and repeats them until the reply."""

import collections.abc
import random
import typing

from twisted.internet import defer

from figdrum.core import ids
from figdrum.core import ports
from figdrum.messages import codec

_NONCE_BITS = 62


class _Query:
    """A query that waits for its reply."""

    def __init__(self, done: defer.Deferred, address: ids.Address, data: bytes):
        self.done = done
        self.address = address
        self.data = data
        self.timeout: typing.Any = None
        self.repeat: typing.Any = None


class PeerQueries:
    """Repeats each query until its reply arrives or it times out.

    Args:
      timers: Source of timers.
      peers: Network between the processes.
      repeat_ms: Time between repeats of a query, in ms.
      rng: Source of nonces.
    """

    def __init__(self, timers: ports.Timers, peers: ports.PeerPort,
                 repeat_ms: int, rng: random.Random):
        self._timers = timers
        self._peers = peers
        self._repeat_ms = repeat_ms
        self._rng = rng
        self._open_queries: dict[int, _Query] = {}

    def __len__(self) -> int:
        return len(self._open_queries)

    def send_query(self, address: ids.Address,
                   make_message: collections.abc.Callable[[int], codec.Message],
                   timeout_ms: int) -> defer.Deferred:
        """Sends the message that `make_message` returns for a nonce.

        Returns:
          A Deferred that fires with the reply, or with None after
          `timeout_ms`.
        """
        nonce = self._rng.getrandbits(_NONCE_BITS)
        query = _Query(defer.Deferred(), address,
                       codec.encode(make_message(nonce)))
        self._open_queries[nonce] = query
        query.timeout = self._timers.call_later(timeout_ms,
                                                lambda: self._on_timeout(nonce))
        self._send(nonce)
        return query.done

    def complete(self, nonce: int, reply: codec.Message | None) -> bool:
        """Completes a query; returns False if none with `nonce` is open."""
        query = self._open_queries.pop(nonce, None)
        if query is None:
            return False
        for timer in (query.timeout, query.repeat):
            if timer is not None:
                timer.cancel()
        query.done.callback(reply)
        return True

    def _on_timeout(self, nonce: int) -> None:
        self._open_queries[nonce].timeout = None
        self.complete(nonce, None)

    def _send(self, nonce: int) -> None:
        query = self._open_queries[nonce]
        query.repeat = self._timers.call_later(self._repeat_ms,
                                               lambda: self._send(nonce))
        self._peers.send(query.address, query.data)
