"""Flows whose reset waits for a read of the store.

Explanation
===========

A reset cannot be taken back, so it must not rest on a copy of the store that
may lag. A flow waits here until the store has been read after the flow was
added. One read at a time is shared by all flows that were added before it.

Examples
========

>>> queue = ProofQueue()
>>> queue.add(b'one', 1), queue.add(b'two', 2)
(True, False)
>>> queue.finish()
{b'one': 1}
>>> queue.try_start(), queue.finish()
(True, {b'two': 2})
>>> queue.try_start()
False
"""

import typing

# Flows that wait at most. Packets of further flows are dropped; clients
# retransmit them.
MAX_WAITING = 512

Item = typing.TypeVar('Item')


class ProofQueue(typing.Generic[Item]):
    """Flows by key, grouped by the read that they wait for."""

    def __init__(self):
        self._waiting: dict[bytes, Item] = {}
        # Flows of the read in progress; None if there is none.
        self._in_read: dict[bytes, Item] | None = None

    def __len__(self) -> int:
        return len(self._waiting) + len(self._in_read or ())

    def __contains__(self, key: bytes) -> bool:
        return key in self._waiting or key in (self._in_read or ())

    def add(self, key: bytes, item: Item) -> bool:
        """Adds a flow; returns whether the caller has to start a read."""
        self._waiting[key] = item
        return self.try_start()

    def try_start(self) -> bool:
        """Starts a read and returns True, if flows wait and none is running."""
        if self._in_read is not None or not self._waiting:
            return False
        self._in_read, self._waiting = self._waiting, {}
        return True

    def finish(self) -> dict[bytes, Item]:
        """Ends the read; returns the flows that waited for it."""
        done, self._in_read = self._in_read, None
        return done or {}
