"""What the sync controllers ask their process to do."""

import typing

from figdrum.core import ids
from figdrum.messages import control


class Send(typing.NamedTuple):
    """Sends `message` on a stream to control address `address`.

    The process opens the stream when there is none. A message that cannot be
    sent is dropped.
    """
    address: ids.Address
    message: control.Message


class Reply(typing.NamedTuple):
    """Sends `message` on the stream on which the handled message came."""
    message: control.Message


class Publish(typing.NamedTuple):
    """Sends `message` on the subscribed stream `stream`."""
    stream: typing.Hashable
    message: control.Message


class Load(typing.NamedTuple):
    """Calls `platform.loader.load` and reports with `on_store_result`.

    Attributes:
      prefixes: Prefixes of the objects to list.
    """
    prefixes: tuple[str, ...]


class Watch(typing.NamedTuple):
    """Calls `platform.loader.watch` and reports with `on_store_result`."""
    since_revision: int
    timeout_ms: int


class Changed(typing.NamedTuple):
    """Tells the process that the objects under `keys` are new or newer."""
    keys: tuple[str, ...]


class StoreResult(typing.NamedTuple):
    """The outcome of a `Load` or `Watch`.

    Attributes:
      asked_ms: Time of the call.
      delta: What was read, or None after a failure.
    """
    asked_ms: int
    delta: control.Delta | None


Action = Send | Reply | Publish | Load | Watch | Changed
