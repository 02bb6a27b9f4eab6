"""The executor's bounded table of requests with a key and their responses.

Examples
========

>>> table = ResultTable()
>>> table.begin(0, 'al-sahil', 'm-17')
New()
>>> table.begin(1, 'al-sahil', 'm-17')
Running()
>>> table.finish(9, 'al-sahil', 'm-17', 68, b'stored')
>>> table.begin(10, 'al-sahil', 'm-17')
Done(code=68, body=b'stored')
"""

import collections
import typing

from figdrum.idempotency import claim_registry

# 3 MB at 510 B per key with a short response, see docs/CAPACITY.md. Long
# responses are limited by MAX_TOTAL_BODY_BYTES.
DEFAULT_CAPACITY = 6_000
MAX_TOTAL_BODY_BYTES = 2_000_000


class New(typing.NamedTuple):
    """The key was not known; the caller of `begin` handles the request."""


class Running(typing.NamedTuple):
    """The request is in progress here; wait for its response."""


class Done(typing.NamedTuple):
    """The request has its response.

    Attributes:
      code: CoAP response code.
      body: Response payload.
    """
    code: int
    body: bytes


class Full(typing.NamedTuple):
    """The table takes no other key until older ones expire."""


BeginResult = New | Running | Done | Full


class _Row(typing.NamedTuple):
    state: Running | Done
    used_ms: int


class ResultTable:
    """Requests by customer and key, kept for the key lifetime after the end."""

    def __init__(self,
                 capacity: int = DEFAULT_CAPACITY,
                 lifetime_ms: int = claim_registry.IDEMPOTENCY_KEY_LIFETIME_MS):
        """Initializes an empty table.

        Args:
          capacity: Maximum number of keys.
          lifetime_ms: Time for which a response is kept.
        """
        self._capacity = capacity
        self._lifetime_ms = lifetime_ms
        self._total_body_bytes = 0
        self._rows: collections.OrderedDict[tuple[str, str],
                                            _Row] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def find(self, customer: str, key: str) -> Running | Done | None:
        """Returns the state of a key, or None."""
        row = self._rows.get((customer, key))
        return row.state if row else None

    def begin(self, now_ms: int, customer: str, key: str) -> BeginResult:
        """Returns the state of a key, and records a new one as running."""
        self.expire(now_ms)
        state = self.find(customer, key)
        if state is not None:
            return state
        if (len(self._rows) >= self._capacity or
                self._total_body_bytes >= MAX_TOTAL_BODY_BYTES):
            return Full()
        self._put(now_ms, (customer, key), Running())
        return New()

    def finish(self, now_ms: int, customer: str, key: str, code: int,
               body: bytes) -> None:
        """Records the response to the request with a key."""
        self._put(now_ms, (customer, key), Done(code, body))

    def forget(self, customer: str, key: str) -> None:
        """Removes a key whose request certainly did not start here."""
        self._remove((customer, key))

    def expire(self, now_ms: int) -> None:
        """Removes responses older than the key lifetime.

        Requests in progress are never removed.
        """
        while self._rows:
            row_key, row = next(iter(self._rows.items()))
            if now_ms - row.used_ms < self._lifetime_ms:
                return
            if isinstance(row.state, Running):
                self._put(now_ms, row_key, row.state)
                continue
            self._remove(row_key)

    def _remove(self, row_key: tuple[str, str]) -> None:
        row = self._rows.pop(row_key, None)
        if row is not None and isinstance(row.state, Done):
            self._total_body_bytes -= len(row.state.body)

    def _put(self, now_ms: int, row_key: tuple[str, str],
             state: Running | Done) -> None:
        self._remove(row_key)
        self._rows[row_key] = _Row(state, now_ms)
        if isinstance(state, Done):
            self._total_body_bytes += len(state.body)
