"""Conditional writes that are verified and retried after a failure.

Explanation
===========

The response to a write can be lost after the write took effect. The writer then
reads the object back. If the next version of the object holds the written
value, the write succeeded; otherwise it is sent again.
"""

from twisted.internet import defer

from figdrum.core import errors
from figdrum.object_api import store as store_lib

MAX_ATTEMPTS = 3


class VerifyingWriter:
    """Writes to a `Store` and verifies writes whose outcome is unknown."""

    def __init__(self, store: store_lib.Store):
        self._store = store

    @defer.inlineCallbacks
    def write(self, key: str, value: str, if_version: int):
        """Writes an object, with up to `MAX_ATTEMPTS` attempts.

        Args:
          key: Key of the object.
          value: JSON text to store.
          if_version: Expected version of the object; 0 creates it.

        Returns:
          A Deferred of the stored `Item`. It fails with `errors.ConflictError`
          if another writer stored version `if_version + 1`, and with
          `errors.StoreError` if the outcome is still unknown after the last
          attempt.
        """
        last_error = None
        for _ in range(MAX_ATTEMPTS):
            try:
                return (yield self._store.put(key, value, if_version))
            except errors.StoreError as exc:
                last_error = exc
            except errors.ConflictError:
                # The conflict may be with an earlier attempt of this write
                # whose response was lost.
                item = yield self._store.get(key)
                if _is_own_write(item, value, if_version):
                    return item
                raise
            try:
                item = yield self._store.get(key)
            except errors.StoreError as exc:
                last_error = exc
                continue
            if _is_own_write(item, value, if_version):
                return item
        raise last_error


def _is_own_write(item: store_lib.Item | None, value: str,
                  if_version: int) -> bool:
    return (item is not None and item.version == if_version + 1 and
            item.value == value)
