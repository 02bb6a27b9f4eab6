"""Splits stored responses into blocks.

Explanation
===========

All blocks of a download come from one stored response, whose ETag is a hash of
its body. A caller that receives blocks with different ETags starts again. After
the flow has moved to another agent, an unchanged body has the same ETag, so the
download continues.

Examples
========

>>> store = ResponseStore()
>>> store.put(0, 'flow', '/photo', codes.Response(69, bytes(1500)))
>>> stored = store.get(1, 'flow', '/photo', None)
>>> [(len(piece.payload), piece.more)
...  for piece in (select_block(stored, request.Block(n, 6)) for n in (0, 1))]
[(1024, True), (476, False)]

References
==========

RFC 7959, sections 2.4 and 3.3.
"""

import collections
import collections.abc
import typing

import xxhash

from figdrum.coap import codes
from figdrum.coap import request
from figdrum.core import limits

DEFAULT_BLOCK = request.Block(0, 6)
MAX_STORED_BYTES = 64_000_000


class StoredResponse(typing.NamedTuple):
    """A response with its ETag and the time when it was stored."""
    response: codes.Response
    etag: bytes
    stored_ms: int


class BlockPayload(typing.NamedTuple):
    """Payload of one block; `block` is None if one message has it all."""
    payload: bytes
    block: request.Block | None
    more: bool


def etag(payload: bytes) -> bytes:
    """Returns the ETag of a body."""
    return xxhash.xxh3_64_digest(payload)


def select_block(stored: StoredResponse,
                 block: request.Block | None) -> BlockPayload | None:
    """Returns the requested block, or None if the response is too short."""
    payload = stored.response.payload
    size = 16 << (block or DEFAULT_BLOCK).exponent
    if len(payload) <= size and (block is None or block.number == 0):
        return BlockPayload(payload, block, False)
    block = block or DEFAULT_BLOCK
    start = block.number * size
    if start >= len(payload):
        return None
    return BlockPayload(payload[start:start + size], block, start + size
                        < len(payload))


class ResponseStore:
    """Stores responses larger than one block, limited in bytes and time."""

    def __init__(self, max_bytes: int = MAX_STORED_BYTES):
        self._stored: collections.OrderedDict[tuple, StoredResponse] = (
            collections.OrderedDict())
        self._bytes = 0
        self._max_bytes = max_bytes

    def put(self, now_ms: int, flow: collections.abc.Hashable, path: str,
            response: codes.Response) -> None:
        """Stores a response as the latest version and under its ETag."""
        stored = StoredResponse(response, etag(response.payload), now_ms)
        for version in (None, stored.etag):
            self._remove((flow, path, version))
            self._stored[(flow, path, version)] = stored
            self._bytes += len(response.payload)
        self._expire(now_ms)

    def get(self, now_ms: int, flow: collections.abc.Hashable, path: str,
            version: bytes | None) -> StoredResponse | None:
        """Returns the version with an ETag, the latest for None, or None."""
        self._expire(now_ms)
        return self._stored.get((flow, path, version))

    def _expire(self, now_ms: int) -> None:
        while self._stored:
            key, oldest = next(iter(self._stored.items()))
            if (self._bytes <= self._max_bytes and
                    oldest.stored_ms > now_ms - limits.EXCHANGE_LIFETIME_MS):
                return
            self._remove(key)

    def _remove(self, key: tuple) -> None:
        stored = self._stored.pop(key, None)
        if stored is not None:
            self._bytes -= len(stored.response.payload)
