"""Interfaces between figdrum's processes and their environment.

Explanation
===========

A port in this module is an interface to the environment, not a TCP or UDP port.

The code that decides does no I/O. It returns actions, and other code, the
adapters, executes them through these interfaces and
`figdrum.object_api.store.Store`. A simulation or a test environment implements
these interfaces and `Store` and needs nothing else.
"""

import abc
import collections.abc
import typing

from figdrum.core import ids


class Timers(abc.ABC):
    """Interface to the reactor's timers."""

    @abc.abstractmethod
    def call_later(self, delay_ms: int,
                   fn: collections.abc.Callable[[], None]) -> typing.Any:
        """Calls `fn` after `delay_ms`.

        Returns:
            An object whose method `cancel()` cancels the call.
        """


class PacketPort(abc.ABC):
    """Interface to the fabric, which delivers datagrams to callers."""

    @abc.abstractmethod
    def send(self, src: ids.Address, dst: ids.Address, payload: bytes) -> None:
        """Sends `payload` from service address `src` to caller `dst`."""


class PeerPort(abc.ABC):
    """Interface to the network between figdrum processes."""

    @abc.abstractmethod
    def send(self, address: ids.Address, datagram: bytes) -> None:
        """Sends a datagram, which may be lost, repeated, delayed or reordered.
        """


class TargetRequest(typing.NamedTuple):
    """A request to the target.

    Attributes:
      method: HTTP method.
      path: Path with a leading slash and an optional query.
      body: Request body.
      customer: Customer under whose contract the request is sent.
      service: Service to which the request is addressed.
      key: Idempotency key, or the empty string.
      deadline_ms: Time left for the answer, in ms; not a point in time.
    """
    method: str
    path: str
    body: bytes
    customer: ids.CustomerId
    service: ids.ServiceName
    key: ids.IdempotencyKey
    deadline_ms: int


NOT_CONNECTED = 0
"""Status of the answer if no connection to the target could be opened."""


class TargetAnswer(typing.NamedTuple):
    """The target's answer.

    Attributes:
      status: HTTP status, or `NOT_CONNECTED` with `did_not_run` set.
      body: Complete body.
      did_not_run: True if the request certainly did not run: the target states
        so, or no connection could be opened.
    """
    status: int
    body: bytes
    did_not_run: bool = False


class Target(abc.ABC):
    """Interface to the HTTP endpoint of the target."""

    @abc.abstractmethod
    def call(self, req: TargetRequest) -> typing.Any:
        """Sends `req`; returns a Deferred of `TargetAnswer`.

        The Deferred fails with `errors.TargetError` if the outcome is unknown.
        Cancelling it closes the connection to the target.
        """
