"""Tests of a caller's flow in virtual time, against a scripted service."""

import json
import random

import aiocoap
import pytest
from twisted.internet import task

from figdrum.core import states
from standins import caller_flow
from standins import coap_message
from standins import report
from standins import request_record

_SERVICE = ('127.9.0.1', 5683)
_KIND = request_record.Kind
_ENDING = request_record.Ending


class _FlowHarness:
    """Replaces the socket of a flow; the test scripts the answers."""

    def __init__(self):
        self.sent = []
        self.timers = task.Clock()
        settings = caller_flow.FlowSettings('fieldbook',
                                            _SERVICE,
                                            ack_timeout_ms=1000,
                                            answer_timeout_ms=60_000)
        self.flow = caller_flow.CallerFlow('f1', settings, self.timers,
                                           random.Random(3))
        self.flow.transport = self

    def write(self, datagram, _):
        """Records a datagram of the flow."""
        self.sent.append(aiocoap.Message.decode(datagram))

    def request(self, kind, nonce='n1', **fields):
        """Makes a request; returns its record and its message."""
        path = '/report/7' if kind is _KIND.DOWNLOAD else '/roster'
        self.flow.request(request_record.Call(kind, path, nonce, **fields))
        return self.flow.records[-1], self.sent[-1]

    def answer(self, req, payload, mtype=aiocoap.ACK, mid=None, **options):
        """Delivers an answer to `req` and returns the flow's reaction."""
        msg = aiocoap.Message(code=options.pop('code', aiocoap.CONTENT),
                              payload=payload)
        msg.mtype, msg.token = mtype, options.pop('token', req.token)
        msg.mid = req.mid if mid is None else mid
        for name, value in options.items():
            setattr(msg.opt, name, value)
        before = len(self.sent)
        self.flow.datagramReceived(msg.encode(), _SERVICE)
        return self.sent[before:]


def _echo(nonce='n1', key='', service='fieldbook', target='t1'):
    return json.dumps({
        'path': f'/roster?n={nonce}',
        'key': key,
        'service': service,
        'target': target
    }).encode()


@pytest.fixture(name='wire')
def fixture_wire():
    """Returns a flow whose datagrams the test records."""
    return _FlowHarness()


def test_unanswered_request_is_repeated_and_lost(wire):
    """Guards against a wrong number of retransmissions, or endless ones."""
    record, first = wire.request(_KIND.GET)
    wire.timers.pump([0.1] * 480)
    assert len(wire.sent) == 1 + caller_flow.MAX_RETRANSMIT
    assert {(m.mid, m.token) for m in wire.sent} == {(first.mid, first.token)}
    assert (record.ending, record.detail) == (_ENDING.LOST,
                                              'no acknowledgement')
    assert not wire.timers.getDelayedCalls()


def test_separate_answer_is_acknowledged(wire):
    """Guards against repeats after the acknowledgement, and against a repeated
    answer that the service retransmits forever."""
    record, req = wire.request(_KIND.GET)
    wire.flow.datagramReceived(coap_message.empty(aiocoap.ACK, req.mid),
                               _SERVICE)
    wire.timers.advance(30)
    assert len(wire.sent) == 1
    for _ in range(2):
        ack, = wire.answer(req, _echo(), aiocoap.CON, 77)
        assert (ack.mtype, ack.mid) == (aiocoap.ACK, 77)
    assert record.ending is _ENDING.ANSWERED
    assert record.target == 't1'


def test_acknowledged_request_without_answer_is_lost(wire):
    """Guards against a request that stays pending forever."""
    record, req = wire.request(_KIND.GET)
    wire.flow.datagramReceived(coap_message.empty(aiocoap.ACK, req.mid),
                               _SERVICE)
    wire.timers.advance(60)
    assert record.ending is _ENDING.LOST


def test_answers_out_of_order_are_matched_by_token(wire):
    """Guards against one request's answer taken for another's (P5)."""
    first, req1 = wire.request(_KIND.GET, 'n1')
    second, req2 = wire.request(_KIND.GET, 'n2')
    wire.answer(req2, _echo('n2'))
    wire.answer(req1, _echo('n1'))
    assert {first.ending, second.ending} == {_ENDING.ANSWERED}
    assert not wire.flow.strays


@pytest.mark.parametrize('payload', [
    _echo('n2'),
    _echo(key='k'),
    _echo(service='booking'), b'', b'[]', b'{"path": 1}'
])
def test_wrong_content_is_detected(wire, payload):
    """Guards against another request's content under the right token (P5)."""
    record, req = wire.request(_KIND.GET)
    wire.answer(req, payload)
    assert record.ending is _ENDING.WRONG


def test_strays_are_recorded(wire):
    """Guards against answers to other flows that stay undetected (P5)."""
    _, req = wire.request(_KIND.GET)
    wire.answer(req, _echo(), token=b'none')
    wire.answer(req, _echo(), mid=req.mid + 1)
    wire.flow.datagramReceived(b'\0', _SERVICE)
    wire.flow.datagramReceived(b'', ('127.9.0.2', 1))
    assert len(wire.flow.strays) == 4


@pytest.mark.parametrize('refusal', list(states.Refusal))
def test_refusals_are_read(wire, refusal):
    """Guards against a refusal counted as an answer or as a loss."""
    record, req = wire.request(_KIND.POST, key='k1', deadline_ms=900)
    assert req.opt.uri_query == ('n=n1', 'key=k1', 'deadline_ms=900')
    wire.answer(req,
                refusal.value.encode(),
                code=aiocoap.SERVICE_UNAVAILABLE,
                max_age=2)
    assert (record.ending, record.refusal,
            record.retry_after_s) == (_ENDING.REFUSED, refusal, 2)


def test_other_errors_are_losses(wire):
    """Guards against an error that states no refusal counted as a refusal."""
    record, req = wire.request(_KIND.GET)
    wire.answer(req, b'oops', code=aiocoap.INTERNAL_SERVER_ERROR)
    assert record.ending is _ENDING.LOST
    record, req = wire.request(_KIND.GET, 'n2')
    wire.flow.datagramReceived(coap_message.empty(aiocoap.RST, req.mid),
                               _SERVICE)
    assert (record.ending, record.detail) == (_ENDING.LOST, 'reset')


def _serve_block(wire, body, etag=b'a'):
    req = wire.sent[-1]
    number, _, szx = req.opt.block2
    size = 16 << szx
    wire.answer(req,
                body[number * size:(number + 1) * size],
                block2=(number, (number + 1) * size < len(body), szx),
                etag=etag)


def test_download_is_reassembled(wire):
    """Guards against a download with a block missing or of another size."""
    record, _ = wire.request(_KIND.DOWNLOAD, size=3000)
    for _ in range(3):
        assert record.ending is _ENDING.PENDING
        _serve_block(wire, report.body('7', 3000))
    assert record.ending is _ENDING.ANSWERED
    record, _ = wire.request(_KIND.DOWNLOAD, size=3000)
    for _ in range(3):
        _serve_block(wire, report.body('8', 3000))
    assert record.ending is _ENDING.WRONG


def test_download_restarts_when_the_version_changes(wire):
    """Guards against blocks of two versions in one download (P5)."""
    record, _ = wire.request(_KIND.DOWNLOAD, size=2000)
    _serve_block(wire, report.body('8', 2000), b'a')
    _serve_block(wire, report.body('7', 2000), b'b')
    assert wire.sent[-1].opt.block2.block_number == 0
    _serve_block(wire, report.body('7', 2000), b'b')
    _serve_block(wire, report.body('7', 2000), b'b')
    assert record.ending is _ENDING.ANSWERED


def test_feed_counts_gaps_and_stale_notifications(wire):
    """Guards against a stalled or reordered feed that counts as intact."""
    _, req = wire.request(_KIND.OBSERVE)
    assert req.opt.observe == 0
    wire.answer(req, _echo(), observe=5)
    wire.timers.advance(7)
    ack, = wire.answer(req, _echo(), aiocoap.CON, 90, observe=6)
    assert ack.mtype is aiocoap.ACK
    wire.answer(req, _echo(), aiocoap.NON, 91, observe=4)
    feed = wire.flow.feeds[req.token]
    assert (feed.notifications, feed.stale, feed.longest_gap_ms) == (2, 1, 7000)
    wire.answer(req, _echo('n2'), aiocoap.CON, 92, observe=7)
    assert len(wire.flow.strays) == 1
    wire.answer(req,
                b'outcome-unknown',
                aiocoap.CON,
                93,
                code=aiocoap.SERVICE_UNAVAILABLE)
    assert feed.ended.startswith('5.03')


def test_cancelled_feed_rejects_notifications(wire):
    """Guards against notifications accepted after a feed was cancelled."""
    _, req = wire.request(_KIND.OBSERVE)
    wire.answer(req, _echo(), observe=5)
    wire.flow.cancel_feed(wire.flow.feeds[req.token])
    assert wire.sent[-1].opt.observe == 1
    wire.answer(wire.sent[-1], _echo())
    reset, = wire.answer(req, _echo(), aiocoap.CON, 90, observe=6)
    assert reset.mtype is aiocoap.RST
    assert not wire.flow.strays


def test_feed_that_is_not_observed_is_ended(wire):
    """Guards against a plain answer taken for a live feed."""
    _, req = wire.request(_KIND.OBSERVE)
    wire.answer(req, _echo())
    assert wire.flow.feeds[req.token].ended == 'not observed'
