"""The executor's bounded table of requests with a key and their answers.

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

# 3 MB at 510 B a key with a short answer, see docs/CAPACITY.md. Long answers
# are bounded by their bytes.
DEFAULT_CAPACITY = 6_000
BODIES_LIMIT_BYTES = 2_000_000


class New(typing.NamedTuple):
    """The key is not known here; the caller of `begin` goes on with it."""


class Running(typing.NamedTuple):
    """The request is in progress here; wait for its answer."""


class Done(typing.NamedTuple):
    """The request has an answer.

    Attributes:
      code: CoAP response code.
      body: Response payload.
    """
    code: int
    body: bytes


class Full(typing.NamedTuple):
    """No room for another key until older ones expire."""


BeginResult = New | Running | Done | Full


class _Row(typing.NamedTuple):
    state: Running | Done
    used_ms: int


class ResultTable:
    """Requests by customer and key, for the key lifetime after they end."""

    def __init__(self,
                 capacity: int = DEFAULT_CAPACITY,
                 lifetime_ms: int = claim_registry.IDEMPOTENCY_KEY_LIFETIME_MS):
        """Makes an empty table.

        Args:
          capacity: Most keys that it keeps.
          lifetime_ms: Time that it keeps an answer.
        """
        self._capacity = capacity
        self._lifetime_ms = lifetime_ms
        self._bodies_bytes = 0
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
                self._bodies_bytes >= BODIES_LIMIT_BYTES):
            return Full()
        self._put(now_ms, (customer, key), Running())
        return New()

    def finish(self, now_ms: int, customer: str, key: str, code: int,
               body: bytes) -> None:
        """Records the answer of a key."""
        self._put(now_ms, (customer, key), Done(code, body))

    def forget(self, customer: str, key: str) -> None:
        """Forgets a key whose request certainly did not start here."""
        self._drop((customer, key))

    def expire(self, now_ms: int) -> None:
        """Forgets answers older than the key lifetime; never running ones."""
        while self._rows:
            name, row = next(iter(self._rows.items()))
            if now_ms - row.used_ms < self._lifetime_ms:
                return
            if isinstance(row.state, Running):
                self._put(now_ms, name, row.state)
                continue
            self._drop(name)

    def _drop(self, name: tuple[str, str]) -> None:
        row = self._rows.pop(name, None)
        if row is not None and isinstance(row.state, Done):
            self._bodies_bytes -= len(row.state.body)

    def _put(self, now_ms: int, name: tuple[str, str],
             state: Running | Done) -> None:
        self._drop(name)
        self._rows[name] = _Row(state, now_ms)
        if isinstance(state, Done):
            self._bodies_bytes += len(state.body)
