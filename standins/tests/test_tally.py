"""Tests of the counts of a run and of the verdict on a flow."""

import pytest

from figdrum.core import states
from standins import flow_verdict
from standins import ledger
from standins import request_record
from standins import tally

_ENDING = request_record.Ending
_KIND = request_record.Kind
_RULES = flow_verdict.VerdictRules({'t2': 2}, 1000, 10_000)


def _record(nonce='n1', kind=_KIND.GET, **fields):
    call = request_record.Call(kind, '/x', nonce)
    fields = {'ending': _ENDING.ANSWERED, 'ended_ms': 1, **fields}
    return request_record.RequestRecord('f1', 's', call, 0, **fields)


def _entry(nonce='n1', target='t1', **fields):
    entry = ledger.LedgerEntry(target, 'k', 's', 'c', 'GET', f'/x?n={nonce}', 0,
                               0, ledger.Outcome.DONE)
    return entry._replace(**fields)


def _feed(**fields):
    call = request_record.Call(_KIND.OBSERVE, '/x', 'n1')
    return request_record.FeedRecord('f1', b't', call,
                                     **{'last_seen_ms': 9500} | fields)


def test_clean_run_is_clean():
    """Guards against a demo that can never succeed."""
    refused = _record('n2',
                      ending=_ENDING.REFUSED,
                      refusal=states.Refusal.DID_NOT_RUN)
    found = tally.count([_record(), refused], [_entry()], 0)
    assert found.is_clean
    assert found.to_json() == {
        'sent': 2,
        'answered': 1,
        'refused': 1,
        'lost': 0,
        'misrouted': 0,
        'run_twice': 0,
        'broken_flows': 0
    }


@pytest.mark.parametrize('name, record, entries', [
    ('lost', _record(ending=_ENDING.LOST), []),
    ('lost', _record(ending=_ENDING.WRONG), []),
    ('lost', _record(ending=_ENDING.PENDING), []),
    ('misrouted', _record(answered_by='other'), []),
    ('misrouted', _record(), [_entry(service='other')]),
    ('misrouted', _record(), [_entry(outcome=ledger.Outcome.MISROUTED)]),
    ('run_twice', _record(),
     [_entry(), _entry(target='t2', outcome=ledger.Outcome.CUT)]),
    ('false_refusals',
     _record(ending=_ENDING.REFUSED,
             refusal=states.Refusal.DID_NOT_RUN), [_entry(key='')]),
])
def test_each_fault_is_counted(name, record, entries):
    """Guards against a fault that the demo reports as success."""
    found = tally.count([record], entries, 0)
    assert getattr(found, name) == 1
    assert not found.is_clean


def test_true_refusals_are_not_faults():
    """Guards against outcome-unknown counted as a false refusal."""
    unknown = _record(ending=_ENDING.REFUSED,
                      refusal=states.Refusal.OUTCOME_UNKNOWN)
    assert tally.count([unknown], [_entry()], 0).is_clean


@pytest.mark.parametrize('records, feeds, why', [
    ([_record(), _record(ending=_ENDING.LOST)], [], 'lost'),
    ([_record(), _record(ending=_ENDING.WRONG)], [], 'wrong'),
    ([_record()], [_feed(ended='5.03')], 'ended'),
    ([_record()], [_feed(last_seen_ms=8000)], 'silent for 2000'),
    ([_record()], [_feed(longest_gap_ms=1001)], 'silent for 1001'),
    ([_record(target='t1'),
      _record(target='t3', ended_ms=2)], [], 'moved from t1 to t3'),
    ([_record(target='t2', ended_ms=0),
      _record(target='t1')], [], 'moved from t2 to t1'),
])
def test_broken_flows_are_found(records, feeds, why):
    """Guards against a broken flow that the demo reports as intact."""
    for record in records[1:]:
        record.sent_ms = 1
    assert why in flow_verdict.broken_reason(records, feeds, _RULES)


@pytest.mark.parametrize('records, feeds', [
    ([_record(ending=_ENDING.LOST)], []),
    ([_record(target='t2'),
      _record(target='t1', ended_ms=2)], []),
    ([_record(target='t1'),
      _record(target='t3', kind=_KIND.POST, ended_ms=2)], []),
    ([_record()], [_feed(last_seen_ms=0, cancelled=True)]),
])
def test_intact_flows_are_not_broken(records, feeds):
    """Guards against a planned move or a cancelled feed counted as a fault."""
    assert flow_verdict.broken_reason(records, feeds, _RULES) == ''
