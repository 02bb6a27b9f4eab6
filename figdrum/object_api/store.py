"""The platform's object API as figdrum uses it."""

import abc
import typing

VALUE_LIMIT_BYTES = 1_000_000


class Item(typing.NamedTuple):
    """An object in the store.

    Attributes:
      key: Name, with slashes between its parts.
      value: JSON text.
      version: Grows by one with each write of this object; the first is 1.
      revision: Grows over all writes of the store.
    """
    key: str
    value: str
    version: int
    revision: int


class Store(abc.ABC):
    """Client of the platform's object API.

    All methods return a Twisted Deferred. It fails with `errors.StoreError`
    when the platform is down, slow or refuses by rate: the outcome of a write
    is then unknown and the writer has to read back.
    """

    @abc.abstractmethod
    def get(self, key: str) -> typing.Any:
        """Returns a Deferred of the `Item` under `key`, or None."""

    @abc.abstractmethod
    def list(self, prefix: str) -> typing.Any:
        """Returns a Deferred of (items, revision).

        The items are sorted by key. The revision is the store's at the time
        of reading; no later read returns a lower one.
        """

    @abc.abstractmethod
    def put(self, key: str, value: str, if_version: int) -> typing.Any:
        """Writes `value` if the object's version is `if_version`.

        Args:
          key: Name of the object.
          value: JSON text of at most `VALUE_LIMIT_BYTES` bytes in UTF-8.
          if_version: Expected version; 0 creates the object if it is absent.

        Returns:
          A Deferred of the new `Item`. It fails with `errors.ConflictError`
          when the version differs, `errors.ValueTooLargeError` when the value
          is too large.
        """

    @abc.abstractmethod
    def watch(self, prefix: str, since_revision: int, timeout_ms: int):
        """Waits for changes under `prefix` after `since_revision`.

        Returns:
          A Deferred of (items, revision): the objects whose latest revision
          is greater than `since_revision`, in revision order, and the
          revision up to which they are complete. Without a change it fires
          after `timeout_ms` with no items.
        """
