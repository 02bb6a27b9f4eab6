"""The platform's objects in memory.

Examples
========

>>> table = ObjectTable()
>>> table.put('changes/1', '{}', 0)
Item(key='changes/1', value='{}', version=1, revision=1)
>>> table.put('changes/1', '{}', 0)
Traceback (most recent call last):
...
figdrum.core.errors.ConflictError: FD201 put: changes/1 has version 1 (peer -)
>>> table.changed('changes/', 0)
[Item(key='changes/1', value='{}', version=1, revision=1)]
"""

from figdrum.core import errors
from figdrum.object_api import store


class ObjectTable:
    """Objects with versions, conditional updates and a revision.

    Attributes:
      revision: Number of writes so far.
    """

    def __init__(self):
        self.revision = 0
        self._items: dict[str, store.Item] = {}

    def get(self, key: str) -> store.Item | None:
        """Returns the object under `key`, or None."""
        return self._items.get(key)

    def with_prefix(self, prefix: str) -> list[store.Item]:
        """Returns the objects under `prefix`, sorted by key."""
        return [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix)
        ]

    def changed(self, prefix: str, since: int) -> list[store.Item]:
        """Returns the objects under `prefix` whose revision is greater than
        `since`, in revision order."""
        found = (item for key, item in self._items.items()
                 if item.revision > since and key.startswith(prefix))
        return sorted(found, key=lambda item: item.revision)

    def put(self, key: str, value: str, if_version: int) -> store.Item:
        """Writes `value` if the object's version is `if_version`.

        Raises:
          errors.ConflictError: if the object has another version.
          errors.ValueTooLargeError: if `value` is too large.
        """
        if len(value.encode()) > store.MAX_VALUE_BYTES:
            raise errors.ValueTooLargeError(
                'put', '-', f'{key} exceeds {store.MAX_VALUE_BYTES} bytes')
        stored = self._items.get(key)
        version = stored.version if stored else 0
        if version != if_version:
            raise errors.ConflictError('put', '-',
                                       f'{key} has version {version}')
        self.revision += 1
        item = store.Item(key, value, version + 1, self.revision)
        self._items[key] = item
        return item
