"""Interface of the platform's object API: versioned objects and watches."""

import abc
import typing

MAX_VALUE_BYTES = 1_000_000


class Item(typing.NamedTuple):
    """An object in the store.

    Attributes:
      key: Name of the object, with slashes between its parts.
      value: JSON text.
      version: Number of writes of this object, from 1.
      revision: Position of the last write of this object among all writes of
        the store.
    """
    key: str
    value: str
    version: int
    revision: int


class Store(abc.ABC):
    """Client of the platform's object API.

    All methods return a Twisted Deferred. It fails with `errors.StoreError`
    when the platform is down, too slow or limits the rate of calls. The outcome
    of a write is then unknown, and the writer has to read the object back.
    """

    @abc.abstractmethod
    def get(self, key: str) -> typing.Any:
        """Returns a Deferred of the `Item` under `key`, or of None."""

    @abc.abstractmethod
    def list(self, prefix: str) -> typing.Any:
        """Returns a Deferred of (items, revision).

        The items are those whose keys begin with `prefix`, sorted by key. The
        revision is that of the store at the time of the read; later reads never
        return a lower one.
        """

    @abc.abstractmethod
    def put(self, key: str, value: str, if_version: int) -> typing.Any:
        """Writes `value` if the object's version is `if_version`.

        Args:
          key: Name of the object.
          value: JSON text of at most `MAX_VALUE_BYTES` bytes in UTF-8.
          if_version: Expected version; 0 creates the object if it is absent.

        Returns:
          A Deferred of the new `Item`. It fails with `errors.ConflictError` if
          the object has another version, and with `errors.ValueTooLargeError`
          if the value is too large.
        """

    @abc.abstractmethod
    def watch(self, prefix: str, since_revision: int, timeout_ms: int):
        """Waits for writes of objects under `prefix` after `since_revision`.

        Args:
          prefix: Prefix of the keys to watch.
          since_revision: Revision up to which the caller knows the objects.
          timeout_ms: Time in ms to wait for a write; 0 does not wait.

        Returns:
          A Deferred of (items, revision): the objects that were written after
          `since_revision`, in the order of their revisions, and the revision up
          to which they are complete. If nothing is written within `timeout_ms`,
          it fires without items.
        """
