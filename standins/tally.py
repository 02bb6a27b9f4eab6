"""Totals of a run, from callers' records and targets' ledgers only."""

import dataclasses
import typing
import urllib.parse

from figdrum.core import states
from standins import ledger
from standins import request_record


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Totals of a run.

    Attributes:
      sent: Requests that callers made.
      answered: Requests with a complete and correct answer.
      refused: Requests that were refused.
      lost: Requests without an answer, or with a wrong one.
      misrouted: Requests that reached another service, or were answered by it.
      run_twice: Idempotency keys that were started more than once.
      broken_flows: Flows that count as broken for their caller.
      false_refusals: Requests that ran although they were refused with
        did-not-run.
    """
    sent: int
    answered: int
    refused: int
    lost: int
    misrouted: int
    run_twice: int
    broken_flows: int
    false_refusals: int

    @property
    def is_clean(self) -> bool:
        """Whether no request or flow failed."""
        return not (self.lost or self.misrouted or self.run_twice or
                    self.broken_flows or self.false_refusals)

    def to_json(self) -> dict[str, int]:
        """Returns the counts that the demo reports."""
        counts = dataclasses.asdict(self)
        del counts['false_refusals']
        return counts


def count(records: list[request_record.RequestRecord],
          entries: list[ledger.LedgerEntry], broken_flows: int) -> Tally:
    """Returns the totals."""
    endings = [r.ending for r in records]
    ending = request_record.Ending
    return Tally(sent=len(records),
                 answered=endings.count(ending.ANSWERED),
                 refused=endings.count(ending.REFUSED),
                 lost=len(records) - endings.count(ending.ANSWERED) -
                 endings.count(ending.REFUSED),
                 misrouted=len(misrouted(records, entries)),
                 run_twice=len(ledger.keys_started_twice(entries)),
                 broken_flows=broken_flows,
                 false_refusals=len(false_refusals(records, entries)))


def false_refusals(
        records: list[request_record.RequestRecord],
        entries: list[ledger.LedgerEntry]
) -> list[request_record.RequestRecord]:
    """Returns the requests that ran and were refused with did-not-run."""
    nonces = {_nonce(e.path) for e in ledger.started(entries)}
    return [
        r for r in records
        if r.refusal is states.Refusal.DID_NOT_RUN and r.call.nonce in nonces
    ]


def misrouted(records: list[request_record.RequestRecord],
              entries: list[ledger.LedgerEntry]) -> list[typing.Any]:
    """Returns the entries and records of requests that reached, or were
    answered by, another service."""
    services = {r.call.nonce: r.service for r in records}
    crossed_entries = [
        e for e in entries if e.outcome is ledger.Outcome.MISROUTED or
        services.get(_nonce(e.path), e.service) != e.service
    ]
    crossed_records = [
        r for r in records if r.answered_by not in ('', r.service)
    ]
    return crossed_entries + crossed_records


def _nonce(path: str) -> str:
    query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
    return query.get('n', [''])[0]
