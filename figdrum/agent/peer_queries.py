"""Sends queries to other agents and repeats them until the reply."""

import collections.abc
import random
import typing

from twisted.internet import defer

from figdrum.core import ids
from figdrum.core import ports
from figdrum.messages import codec

_NONCE_BITS = 62


class _Question:
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
        self._open: dict[int, _Question] = {}

    def __len__(self) -> int:
        return len(self._open)

    def ask(self, address: ids.Address,
            make: collections.abc.Callable[[int], codec.Message],
            timeout_ms: int) -> defer.Deferred:
        """Sends the message that `make` returns for a nonce.

        Returns:
          A Deferred that fires with the reply, or with None after
          `timeout_ms`.
        """
        nonce = self._rng.getrandbits(_NONCE_BITS)
        question = _Question(defer.Deferred(), address,
                             codec.encode(make(nonce)))
        self._open[nonce] = question
        question.timeout = self._timers.call_later(
            timeout_ms, lambda: self._time_out(nonce))
        self._send(nonce)
        return question.done

    def answer(self, nonce: int, reply: codec.Message | None) -> bool:
        """Completes a query; returns False if none with `nonce` is open."""
        question = self._open.pop(nonce, None)
        if question is None:
            return False
        for timer in (question.timeout, question.repeat):
            if timer is not None:
                timer.cancel()
        question.done.callback(reply)
        return True

    def _time_out(self, nonce: int) -> None:
        self._open[nonce].timeout = None
        self.answer(nonce, None)

    def _send(self, nonce: int) -> None:
        question = self._open[nonce]
        question.repeat = self._timers.call_later(self._repeat_ms,
                                                  lambda: self._send(nonce))
        self._peers.send(question.address, question.data)
