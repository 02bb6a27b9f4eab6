"""State of CoAP message exchanges.

Explanation
===========

A caller retransmits a confirmable message until it is acknowledged. Each
message id is therefore recorded with its reply, and a duplicate gets the same
reply. The server retransmits its own confirmable messages in the same way.

Examples
========

>>> cache = DuplicateCache()
>>> flow = ids.FlowKey('10.0.0.1', 4000, '10.9.0.1', 5683)
>>> cache.begin(0, flow, 7) is None
True
>>> cache.finish(flow, 7, b'reply')
>>> cache.begin(10, flow, 7)
DuplicateRecord(reply=b'reply')

References
==========

RFC 7252, sections 4.2, 4.5 and 4.8.
"""

import collections
import random
import typing

from figdrum.core import ids
from figdrum.core import limits

ACK_TIMEOUT_MS = 2000
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
# 2,000 flows with one request every 8 s for 247 s, rounded up.
MAX_ENTRIES = 65_536
MAX_REPLY_BYTES = 32_000_000


class DuplicateRecord(typing.NamedTuple):
    """Record of a message id; `reply` is empty until a reply was sent."""
    reply: bytes


class _Entry(typing.NamedTuple):
    received_ms: int
    reply: bytes


class DuplicateCache:
    """Records message ids and their replies, limited in number and bytes.

    At a limit the oldest records are evicted. A copy of an evicted
    non-idempotent request is still detected by its idempotency key.
    """

    def __init__(self,
                 max_entries: int = MAX_ENTRIES,
                 max_bytes: int = MAX_REPLY_BYTES):
        self._entries: collections.OrderedDict[tuple[ids.FlowKey, int],
                                               _Entry] = (
                                                   collections.OrderedDict())
        self._bytes = 0
        self._max_entries = max_entries
        self._max_bytes = max_bytes

    def __len__(self) -> int:
        return len(self._entries)

    def begin(self, now_ms: int, flow: ids.FlowKey,
              mid: int) -> DuplicateRecord | None:
        """Records a message id; returns the earlier record if there is one."""
        self._expire(now_ms)
        entry = self._entries.get((flow, mid))
        if entry is not None:
            return DuplicateRecord(entry.reply)
        self._entries[(flow, mid)] = _Entry(now_ms, b'')
        return None

    def finish(self, flow: ids.FlowKey, mid: int, reply: bytes) -> None:
        """Records the reply to a message id."""
        entry = self._entries.get((flow, mid))
        if entry is None:
            return
        self._bytes += len(reply) - len(entry.reply)
        self._entries[(flow, mid)] = entry._replace(reply=reply)

    def _expire(self, now_ms: int) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if (oldest.received_ms > now_ms - limits.EXCHANGE_LIFETIME_MS and
                    len(self._entries) < self._max_entries and
                    self._bytes <= self._max_bytes):
                return
            self._bytes -= len(oldest.reply)
            self._entries.popitem(last=False)


class Retransmission:
    """A confirmable message of the server that is not yet acknowledged."""

    def __init__(self, now_ms: int, mid: int, datagram: bytes,
                 rng: random.Random):
        self.mid = mid
        self.datagram = datagram
        self._timeout_ms = ACK_TIMEOUT_MS * rng.uniform(1, ACK_RANDOM_FACTOR)
        self._attempts = 0
        self.due_ms = now_ms + int(self._timeout_ms)

    @property
    def failed(self) -> bool:
        """True if the last attempt was not acknowledged in time."""
        return self._attempts > MAX_RETRANSMIT

    def retry(self, now_ms: int) -> bool:
        """Counts an attempt that is due and doubles the timeout.

        Returns:
          False if all attempts are used up.
        """
        self._attempts += 1
        self._timeout_ms *= 2
        self.due_ms = now_ms + int(self._timeout_ms)
        return not self.failed

    def replace(self, mid: int, datagram: bytes) -> None:
        """Replaces the message but not the attempt count (RFC 7641, 4.5.2)."""
        self.mid = mid
        self.datagram = datagram
