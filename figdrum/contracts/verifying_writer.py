"""Conditional writes that find out what became of them.

Explanation
===========

The answer of a write may be lost after it took effect. The writer then reads
the object back, recognises its own value at the next version, and else tries
again.
"""

from twisted.internet import defer

from figdrum.core import errors
from figdrum.object_api import store as store_lib

ATTEMPTS = 3


class VerifyingWriter:
    """Writes to a `Store`, and reads back after a failure."""

    def __init__(self, store: store_lib.Store):
        self._store = store

    @defer.inlineCallbacks
    def write(self, key: str, value: str, if_version: int):
        """Writes, and after a failure reads back and tries again.

        Fires with the stored item. Fails with `errors.ConflictError` only when
        the object at `if_version + 1` is not this write's.
        """
        last = None
        for _ in range(ATTEMPTS):
            try:
                return (yield self._store.put(key, value, if_version))
            except errors.StoreError as exc:
                last = exc
            except errors.ConflictError:
                # An earlier attempt may have taken effect.
                item = yield self._store.get(key)
                if _is_own_write(item, value, if_version):
                    return item
                raise
            try:
                item = yield self._store.get(key)
            except errors.StoreError as exc:
                last = exc
                continue
            if _is_own_write(item, value, if_version):
                return item
        raise last


def _is_own_write(item: store_lib.Item | None, value: str,
                  if_version: int) -> bool:
    return (item is not None and item.version == if_version + 1 and
            item.value == value)
