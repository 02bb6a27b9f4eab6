"""Bounded table of an agent's records of flows and refused datagrams.

Explanation
===========

Records expire `EXCHANGE_LIFETIME_MS` after their last use. They are never
evicted earlier: without its pointer or refusal record, a late copy of a
datagram could start the flow a second time. A full table takes no new flows
instead.
"""

import collections
import hashlib
import typing

from figdrum.core import ids
from figdrum.core import limits
from figdrum.ownership import records

# EXCHANGE_LIFETIME of RFC 7252, section 4.8.2: no copy of a confirmable
# message is sent or delivered later than this after the first copy.
EXCHANGE_LIFETIME_MS = limits.EXCHANGE_LIFETIME_MS
# 3.9 MB at 483 B per record, see docs/CAPACITY.md. At the target size each
# agent records 1,700 flows of the last 247 s and about as many pointers.
DEFAULT_CAPACITY = 8_000
_DIGEST_BYTES = 8


class _Entry(typing.NamedTuple):
    record: records.Record
    customer: ids.CustomerId
    used_ms: int


class RemovedHold(typing.NamedTuple):
    """A flow that this agent held and whose record was removed."""
    flow: ids.FlowKey
    customer: ids.CustomerId


def datagram_key(flow: ids.FlowKey, payload: bytes) -> tuple:
    """Returns the key under which the refusal of one datagram is recorded.

    A refusal covers the copies of one datagram, not the whole flow, so that a
    caller can send another request from the same port.
    """
    digest = hashlib.blake2b(payload, digest_size=_DIGEST_BYTES).digest()
    return (flow, digest)


class FlowTable:
    """Records by flow and refusals by datagram, both in order of last use."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY):
        """Initializes an empty table.

        Args:
          capacity: Maximum number of records and refusals together.
        """
        self._capacity = capacity
        self._entries: collections.OrderedDict[
            ids.FlowKey, _Entry] = collections.OrderedDict()
        self._refusals: collections.OrderedDict[tuple, tuple[
            records.RefusalRecord, int]] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries) + len(self._refusals)

    def is_full(self) -> bool:
        """Returns whether no further flow can be recorded."""
        return len(self) >= self._capacity

    def get(self, flow: ids.FlowKey) -> records.Record:
        """Returns the record of `flow`, or None."""
        entry = self._entries.get(flow)
        return entry.record if entry else None

    def put(self, now_ms: int, flow: ids.FlowKey, record: records.Record,
            customer: ids.CustomerId) -> None:
        """Stores the new record of `flow` as just used; None removes it."""
        if record is None:
            self._entries.pop(flow, None)
            return
        self._entries[flow] = _Entry(record, customer, now_ms)
        self._entries.move_to_end(flow)

    def find_refusal(self, flow: ids.FlowKey,
                     payload: bytes) -> records.RefusalRecord | None:
        """Returns the refusal of one datagram, or None."""
        found = self._refusals.get(datagram_key(flow, payload))
        return found[0] if found else None

    def put_refusal(self, now_ms: int, flow: ids.FlowKey, payload: bytes,
                    refusal: records.RefusalRecord) -> None:
        """Records that one datagram was refused."""
        key = datagram_key(flow, payload)
        self._refusals[key] = (refusal, now_ms)
        self._refusals.move_to_end(key)

    def held(self) -> list[tuple[ids.FlowKey, ids.CustomerId]]:
        """Returns the flows that this agent holds, with their customers."""
        return [(flow, entry.customer)
                for flow, entry in self._entries.items()
                if isinstance(entry.record, records.Hold)]

    def mark_tentative(self, inquiry_number: int) -> None:
        """Makes every held flow tentative and removes every open inquiry.

        Args:
          inquiry_number: Number of the inquiries for the tentative flows.
        """
        for flow, entry in list(self._entries.items()):
            if isinstance(entry.record, records.Hold):
                self._entries[flow] = entry._replace(record=records.Hold(
                    tentative=True, inquiry_number=inquiry_number))
            elif isinstance(entry.record, records.Pending):
                del self._entries[flow]

    def clear(self) -> list[RemovedHold]:
        """Removes all records; returns the flows that were held."""
        held = [RemovedHold(*pair) for pair in self.held()]
        self._entries.clear()
        self._refusals.clear()
        return held

    def expire(self, now_ms: int) -> list[RemovedHold]:
        """Removes records unused for `EXCHANGE_LIFETIME_MS`.

        Returns:
          The removed flows that were held.
        """
        limit_ms = now_ms - EXCHANGE_LIFETIME_MS
        expired = []
        while self._entries:
            flow, entry = next(iter(self._entries.items()))
            if entry.used_ms > limit_ms:
                break
            del self._entries[flow]
            if isinstance(entry.record, records.Hold):
                expired.append(RemovedHold(flow, entry.customer))
        while self._refusals:
            key, (_, set_ms) = next(iter(self._refusals.items()))
            if set_ms > limit_ms:
                break
            del self._refusals[key]
        return expired
