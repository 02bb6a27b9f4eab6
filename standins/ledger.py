"""Ledger of the requests that a target ran."""

import collections
import enum
import typing


class Outcome(enum.Enum):
    """How a request ended at a target."""
    RUNNING = 'running'
    DONE = 'done'
    CUT = 'cut'
    MISROUTED = 'misrouted'


class LedgerEntry(typing.NamedTuple):
    """A request that a target started, or refused as misrouted.

    Attributes:
      target: Name of the target.
      key: Idempotency key, or the empty string.
      service: Service that the request was meant for.
      customer: Customer that the request belongs to.
      method: HTTP method.
      path: Path with its query.
      start_ms: Start, ms since the Unix epoch.
      end_ms: End, ms since the Unix epoch, or 0 while running.
      outcome: How it ended.
    """
    target: str
    key: str
    service: str
    customer: str
    method: str
    path: str
    start_ms: int
    end_ms: int = 0
    outcome: Outcome = Outcome.RUNNING

    def to_json(self) -> dict[str, typing.Any]:
        """Returns the entry as a JSON object."""
        return {**self._asdict(), 'outcome': self.outcome.value}

    @classmethod
    def from_json(cls, row: dict[str, typing.Any]) -> 'LedgerEntry':
        """Returns the entry in a JSON object."""
        return cls(**{**row, 'outcome': Outcome(row['outcome'])})


def started(entries: list[LedgerEntry]) -> list[LedgerEntry]:
    """Returns the entries whose request was started."""
    return [e for e in entries if e.outcome is not Outcome.MISROUTED]


def keys_started_twice(entries: list[LedgerEntry]) -> list[str]:
    """Returns the (customer, key) pairs, as text, that were started more than
    once.

    >>> entry = LedgerEntry('t1', 'k1', 's', 'c', 'POST', '/', 1)
    >>> keys_started_twice([entry, entry._replace(target='t2')])
    ['c/k1']
    """
    counts = collections.Counter(
        f'{e.customer}/{e.key}' for e in started(entries) if e.key)
    return sorted(name for name, number in counts.items() if number > 1)
