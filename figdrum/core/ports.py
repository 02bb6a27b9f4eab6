"""The surface by which a driver can replace the processes' surroundings.

Explanation
===========

Decision code returns actions; adapters carry them out through these abstract
bases and `figdrum.object_api.store.Store`. Another driver (a test bench, a
simulation) implements them and needs nothing else.
"""

import abc
import collections.abc
import typing

from figdrum.core import ids


class Timers(abc.ABC):
    """Replaces the reactor's timers."""

    @abc.abstractmethod
    def call_later(self, delay_ms: int,
                   fn: collections.abc.Callable[[], None]) -> typing.Any:
        """Calls `fn` after `delay_ms`; the result has a method `cancel()`."""


class PacketPort(abc.ABC):
    """Replaces the fabric: sends a datagram to a caller."""

    @abc.abstractmethod
    def send(self, src: ids.Address, dst: ids.Address, payload: bytes) -> None:
        """Sends `payload` from service address `src` to caller `dst`."""


class PeerPort(abc.ABC):
    """Replaces the network between figdrum processes."""

    @abc.abstractmethod
    def send(self, address: ids.Address, datagram: bytes) -> None:
        """Sends one datagram; it may be lost, repeated, delayed, reordered."""


class TargetRequest(typing.NamedTuple):
    """A request to the target.

    Attributes:
      method: HTTP method.
      path: Path with a leading slash and an optional query.
      body: Request body.
      customer: Customer whose contract the request falls under.
      service: Service that the request is meant for.
      key: Idempotency key, or the empty string.
      deadline_ms: Time left for the answer, in ms.
    """
    method: str
    path: str
    body: bytes
    customer: ids.CustomerId
    service: ids.ServiceName
    key: ids.IdempotencyKey
    deadline_ms: int


NOT_CONNECTED = 0
"""Status of an answer in place of a connection that was not made."""


class TargetAnswer(typing.NamedTuple):
    """The target's answer.

    Attributes:
      status: HTTP status, or `NOT_CONNECTED` with `did_not_run` set.
      body: Whole body.
      did_not_run: True when the target states that it did not run the request.
    """
    status: int
    body: bytes
    did_not_run: bool = False


class Target(abc.ABC):
    """Replaces the back end's HTTP endpoint."""

    @abc.abstractmethod
    def call(self, req: TargetRequest) -> typing.Any:
        """Runs `req`; returns a Deferred of `TargetAnswer`.

        The Deferred fails with `errors.TargetError` when the outcome is
        unknown. Cancelling it closes the connection to the target.
        """
