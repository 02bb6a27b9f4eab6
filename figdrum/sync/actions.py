"""Actions that the sync controllers return for their process to execute."""

import typing

from figdrum.core import ids
from figdrum.messages import control


class Send(typing.NamedTuple):
    """Sends `message` on the stream to control address `address`.

    The process opens the stream if none is open. A message that cannot be
    sent is dropped.
    """
    address: ids.Address
    message: control.Message


class Reply(typing.NamedTuple):
    """Sends `message` on the stream of the message that is being handled."""
    message: control.Message


class Publish(typing.NamedTuple):
    """Sends `message` on `stream`, on which an agent has subscribed."""
    stream: typing.Hashable
    message: control.Message


class Load(typing.NamedTuple):
    """Calls `object_api.loader.load`; the result goes to `on_store_result`.

    Attributes:
      prefixes: Prefixes of the objects to list.
    """
    prefixes: tuple[str, ...]


class Watch(typing.NamedTuple):
    """Calls `object_api.loader.watch`; the result goes to `on_store_result`.

    Attributes:
      since_revision: Revision after which changes are wanted.
      timeout_ms: Longest time that the platform may wait for a change.
    """
    since_revision: int
    timeout_ms: int


class ObjectsChanged(typing.NamedTuple):
    """Notifies the process of objects that were added or updated.

    Attributes:
      keys: Keys of these objects.
    """
    keys: tuple[str, ...]


class StoreResult(typing.NamedTuple):
    """Result of a `Load` or `Watch`.

    Attributes:
      requested_ms: Time at which the call was made.
      delta: The objects read, or None if the call failed.
    """
    requested_ms: int
    delta: control.Delta | None


Action = Send | Reply | Publish | Load | Watch | ObjectsChanged
