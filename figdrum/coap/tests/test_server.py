"""Tests of the CoAP server in virtual time."""

import random

import aiocoap
import hypothesis
from hypothesis import strategies
import pytest

from figdrum.coap import codes
from figdrum.coap import exchange
from figdrum.coap import flow_states
from figdrum.coap import server
from figdrum.core import ids
from figdrum.core import limits
from figdrum.core import states

FLOW = ids.FlowKey('10.0.0.1', 4000, '10.9.0.1', 5683)
OTHER_FLOW = ids.FlowKey('10.0.0.2', 4000, '10.9.0.1', 5683)
CONTENT = int(aiocoap.CONTENT)


def make_server(seed: int = 1) -> server.CoapServer:
    """Returns a server with seeded randomness."""
    return server.CoapServer(random.Random(seed))


def encode_message(code=aiocoap.GET,
                   mid=1,
                   token=b't',
                   mtype=aiocoap.CON,
                   **options):
    """Returns a caller's datagram."""
    return aiocoap.Message(code=code,
                           _mtype=mtype,
                           _mid=mid,
                           _token=token,
                           **options).encode()


def only_message(result: server.ServerResult) -> aiocoap.Message:
    """Returns the only message of a result."""
    datagram, = result.datagrams
    return aiocoap.Message.decode(datagram.payload)


def receive_request(coap, now_ms, data, flow=FLOW):
    """Lets the server receive a new request; returns its exchange number."""
    event, = coap.on_datagram(now_ms, flow, data).events
    return event.exchange


def register_observation(coap, now_ms=0, body=b'0', token=b't', mid=1):
    """Registers an observation and returns the first response."""
    exchange_number = receive_request(
        coap, now_ms,
        encode_message(mid=mid, token=token, uri_path=('f',), observe=0))
    return only_message(
        coap.answer(now_ms, exchange_number, codes.Response(CONTENT, body)))


def test_answer_is_piggybacked_and_copies_get_the_same_reply():
    """Guards against a copy of a request that runs a second time."""
    coap = make_server()
    data = encode_message(mid=77, token=b'ab')
    assert receive_request(coap, 0, data) == 1
    assert not coap.on_datagram(5, FLOW, data).datagrams
    reply = only_message(coap.answer(9, 1, codes.Response(CONTENT, b'x')))
    assert (reply.mtype, reply.mid, reply.token,
            reply.payload) == (aiocoap.ACK, 77, b'ab', b'x')
    again = coap.on_datagram(limits.EXCHANGE_LIFETIME_MS - 1, FLOW, data)
    assert only_message(again).payload == b'x'
    assert isinstance(again.events[0], server.Dropped)
    # Another caller may use the same message id.
    assert receive_request(coap, 10, data, OTHER_FLOW)


def test_answers_out_of_order_reach_their_own_requests():
    """Guards against responses that reach another request (P5)."""
    coap = make_server()
    numbers = {
        token: receive_request(coap, 0, encode_message(mid=mid, token=token))
        for mid, token in enumerate((b'a', b'b', b'c'))
    }
    for token in (b'c', b'a', b'b'):
        reply = only_message(
            coap.answer(1, numbers[token], codes.Response(CONTENT, token)))
        assert reply.token == reply.payload == token
    assert not coap.answer(2, numbers[b'a'], codes.Response(CONTENT)).datagrams


def test_late_answer_is_separate_and_repeated_until_acknowledged():
    """Guards against a separate response that is lost (RFC 7252, 5.2.2)."""
    coap = make_server()
    exchange_number = receive_request(coap, 0, encode_message(mid=5))
    assert not coap.tick(server.SEPARATE_RESPONSE_AFTER_MS - 1).datagrams
    empty = only_message(coap.tick(server.SEPARATE_RESPONSE_AFTER_MS))
    assert (empty.mtype, empty.mid, empty.code) == (aiocoap.ACK, 5,
                                                    aiocoap.EMPTY)
    reply = only_message(
        coap.answer(1500, exchange_number, codes.Response(CONTENT, b'x')))
    assert reply.mtype is aiocoap.CON and reply.token == b't'
    assert only_message(coap.tick(1500 + 3000)).mid == reply.mid
    coap.on_datagram(4600, FLOW,
                     encode_message(aiocoap.EMPTY, reply.mid, b'', aiocoap.ACK))
    assert not coap.tick(600_000).datagrams


def test_separate_response_ends_after_the_last_attempt():
    """Guards against endless retransmission to a caller that is gone."""
    coap = make_server()
    exchange_number = receive_request(coap, 0, encode_message())
    coap.tick(1000)
    coap.answer(1500, exchange_number, codes.Response(CONTENT, b'x'))
    sent = sum(
        len(coap.tick(now_ms).datagrams)
        for now_ms in range(1500, 200_000, 100))
    assert sent == exchange.MAX_RETRANSMIT


def test_refusal_names_the_outcome_and_the_retry_delay():
    """Guards against a refusal without its outcome or its retry delay."""
    coap = make_server()
    exchange_number = receive_request(coap, 0, encode_message())
    reply = only_message(
        coap.answer(0, exchange_number,
                    codes.refusal(states.Refusal.OUTCOME_UNKNOWN, 3)))
    assert (reply.code, reply.payload,
            reply.opt.max_age) == (aiocoap.SERVICE_UNAVAILABLE,
                                   b'outcome-unknown', 3)


@pytest.mark.parametrize('options,code', [
    ({
        'uri_path': ('a', '..')
    }, aiocoap.BAD_REQUEST),
    ({
        'uri_query': ('deadline_ms=-1',)
    }, aiocoap.BAD_REQUEST),
    ({
        'uri_query': ('key=' + 'k' * 129,)
    }, aiocoap.BAD_REQUEST),
    ({
        'uri_path': ('a\r\nX: y',)
    }, aiocoap.BAD_REQUEST),
    ({
        'if_none_match': True
    }, aiocoap.BAD_OPTION),
    ({
        'block1': (0, True, 6)
    }, aiocoap.BAD_OPTION),
    ({
        'proxy_uri': 'coap://x/'
    }, aiocoap.PROXYING_NOT_SUPPORTED),
    ({
        'code': aiocoap.FETCH
    }, aiocoap.METHOD_NOT_ALLOWED),
])
def test_bad_requests_are_answered_with_an_error(options, code):
    """Guards against bad requests that reach the target or get no response."""
    result = make_server().on_datagram(0, FLOW, encode_message(**options))
    assert only_message(result).code == code and not result.events


def test_download_is_whole_although_blocks_come_in_any_order():
    """Guards against a download that has a wrong block, end or ETag when blocks
    are requested in any order."""
    coap = make_server()
    body = random.Random(3).randbytes(5000)
    first_exchange = receive_request(coap, 0,
                                     encode_message(mid=1, uri_path=('p',)))
    pieces = {
        0:
            only_message(
                coap.answer(0, first_exchange, codes.Response(CONTENT, body)))
    }
    for mid, block in enumerate((4, 2, 1, 3), 2):
        pieces[block] = only_message(
            coap.on_datagram(
                9, FLOW,
                encode_message(mid=mid,
                               uri_path=('p',),
                               block2=(block, False, 6))))
    assert b''.join(pieces[n].payload for n in range(5)) == body
    assert len({piece.opt.etag for piece in pieces.values()}) == 1
    assert [pieces[n].opt.block2.more for n in range(5)
           ] == [True, True, True, True, False]


def test_later_block_without_a_stored_body_requests_the_body_again():
    """Guards against a download that cannot continue at another agent.

    A block past the end of the body is answered with Bad Request.
    """
    coap = make_server()
    body = bytes(range(250)) * 10
    exchange_number = receive_request(
        coap, 0, encode_message(uri_path=('p',), block2=(1, False, 6)))
    piece = only_message(
        coap.answer(0, exchange_number, codes.Response(CONTENT, body)))
    assert piece.payload == body[1024:2048] and piece.opt.block2.more
    exchange_number = receive_request(
        coap, 0, encode_message(mid=2, uri_path=('p',), block2=(9, False, 6)))
    assert only_message(
        coap.answer(0, exchange_number,
                    codes.Response(CONTENT, body))).code == aiocoap.BAD_REQUEST


def test_older_version_is_served_by_its_etag():
    """Guards against a body that changes in the middle of a download."""
    coap = make_server()
    old, new = b'a' * 3000, b'b' * 3000
    exchange_number = receive_request(coap, 0,
                                      encode_message(mid=1, uri_path=('p',)))
    tag = only_message(
        coap.answer(0, exchange_number, codes.Response(CONTENT, old))).opt.etag
    exchange_number = receive_request(
        coap, 0, encode_message(mid=2, uri_path=('p',), token=b'u'))
    coap.answer(0, exchange_number, codes.Response(CONTENT, new))
    piece = only_message(
        coap.on_datagram(
            1, FLOW,
            encode_message(mid=3,
                           uri_path=('p',),
                           block2=(1, False, 6),
                           etag=tag)))
    assert piece.payload == old[1024:2048]


def test_notifications_are_ordered_and_only_on_change():
    """Guards against a feed that repeats or reorders its states."""
    coap = make_server()
    first = register_observation(coap)
    assert not coap.notify(1, FLOW, b't', codes.Response(CONTENT,
                                                         b'0')).datagrams
    second = only_message(
        coap.notify(2, FLOW, b't', codes.Response(CONTENT, b'1')))
    assert second.mtype is aiocoap.CON and second.token == b't'
    # A notification is newer if its value is less than 2**23 ahead (RFC 7641,
    # section 3.4).
    assert 0 < second.opt.observe - first.opt.observe < 2**23
    # Not acknowledged yet: the next retransmission has the newest state.
    for body in (b'2', b'3'):
        assert not coap.notify(3, FLOW, b't', codes.Response(CONTENT,
                                                             body)).datagrams
    third = only_message(coap.tick(3002))
    assert third.payload == b'3' and third.opt.observe > second.opt.observe
    assert third.mid != second.mid


def test_acknowledgement_triggers_the_newest_state():
    """Guards against a last change that is never sent."""
    coap = make_server()
    register_observation(coap)
    sent = only_message(
        coap.notify(2, FLOW, b't', codes.Response(CONTENT, b'1')))
    coap.notify(3, FLOW, b't', codes.Response(CONTENT, b'2'))
    ack = encode_message(aiocoap.EMPTY, sent.mid, b'', aiocoap.ACK)
    assert only_message(coap.on_datagram(4, FLOW, ack)).payload == b'2'


def test_unchanged_feed_is_notified_each_minute():
    """Guards against an unchanged feed whose flow is removed from the agent's
    flow table, where a record expires 247 s after its last use."""
    coap = make_server()
    register_observation(coap)
    sent = []
    for now_ms in range(0, 300_000, 100):
        for datagram in coap.tick(now_ms).datagrams:
            message = aiocoap.Message.decode(datagram.payload)
            sent.append(now_ms)
            coap.on_datagram(
                now_ms, FLOW,
                encode_message(aiocoap.EMPTY, message.mid, b'', aiocoap.ACK))
    assert sent == [60_000, 120_000, 180_000, 240_000]


def test_timers_of_a_feed_do_not_grow():
    """Guards against one timer per notification, each of which is renewed
    forever."""
    coap = make_server()
    for now_ms in range(0, 200_000, 1000):
        register_observation(coap, now_ms, b'%d' % now_ms, mid=now_ms // 1000)
        body = codes.Response(CONTENT, b'n%d' % now_ms)
        for datagram in coap.notify(now_ms, FLOW, b't', body).datagrams:
            mid = aiocoap.Message.decode(datagram.payload).mid
            coap.on_datagram(
                now_ms, FLOW,
                encode_message(aiocoap.EMPTY, mid, b'', aiocoap.ACK))
        coap.tick(now_ms)
    # At most one per registration and notification of the last minute.
    assert len(coap._timers) <= 2 * 61  # pylint: disable=protected-access


@pytest.mark.parametrize('how', ['reset', 'cancel', 'silence', 'error'])
def test_observation_ends(how):
    """Guards against feeds that continue for callers that are gone."""
    coap = make_server()
    register_observation(coap)
    sent = only_message(
        coap.notify(2, FLOW, b't', codes.Response(CONTENT, b'1')))
    if how == 'reset':
        events = coap.on_datagram(
            3, FLOW, encode_message(aiocoap.EMPTY, sent.mid, b'',
                                    aiocoap.RST)).events
    elif how == 'cancel':
        exchange_number = receive_request(
            coap, 3, encode_message(mid=9, uri_path=('f',), observe=1))
        events = coap.answer(3, exchange_number, codes.Response(CONTENT,
                                                                b'1')).events
    elif how == 'silence':
        events = coap.tick(3000).events
        for now_ms in range(3000, 200_000, 1000):
            events += coap.tick(now_ms).events
    else:
        coap.on_datagram(
            3, FLOW, encode_message(aiocoap.EMPTY, sent.mid, b'', aiocoap.ACK))
        events = coap.notify(4, FLOW, b't', codes.Response(132)).events
    assert server.ObservationEnded(FLOW, b't') in events
    assert not coap.notify(300_000, FLOW, b't', codes.Response(CONTENT,
                                                               b'9')).datagrams


def test_handed_over_feed_continues_in_order():
    """Guards against a caller that takes the new agent's states for older
    ones."""
    old_server, new_server = make_server(1), make_server(2)
    register_observation(old_server)
    last = only_message(
        old_server.notify(1, FLOW, b't', codes.Response(CONTENT, b'1')))
    events = new_server.take_over(5, FLOW, old_server.handover(4, FLOW)).events
    assert [event.token for event in events] == [b't']
    sent = only_message(
        new_server.notify(6, FLOW, b't', codes.Response(CONTENT, b'2')))
    # Newer than the last one, by RFC 7641, section 3.4.
    assert 0 < sent.opt.observe - last.opt.observe < 2**23
    assert sent.mid != last.mid
    assert old_server.forget(FLOW).events == (server.ObservationEnded(
        FLOW, b't'),)


def test_refusal_moves_with_the_flow():
    """Guards against a refused request whose copy the next agent runs (P6)."""
    old_server, new_server = make_server(1), make_server(2)
    data = encode_message(mid=7)
    exchange_number = receive_request(old_server, 0, data)
    old_server.answer(0, exchange_number,
                      codes.refusal(states.Refusal.DID_NOT_RUN))
    new_server.take_over(1, FLOW, old_server.handover(1, FLOW))
    copy = new_server.on_datagram(2, FLOW, data)
    assert only_message(copy).payload == b'did-not-run'
    assert not any(isinstance(e, server.RequestReceived) for e in copy.events)
    # It is handed over again, and expires with the lifetime of copies.
    assert len(new_server.handover(3, FLOW).refused) == 1
    assert not old_server.handover(limits.EXCHANGE_LIFETIME_MS, FLOW).refused


def test_number_of_refusals_is_bounded():
    """Guards against a handover that is too large for a datagram."""
    coap = make_server()
    for mid in range(server.MAX_REFUSALS_PER_FLOW):
        exchange_number = receive_request(coap, 0, encode_message(mid=mid))
        assert coap.can_send_did_not_run(0, exchange_number)
        coap.answer(0, exchange_number,
                    codes.refusal(states.Refusal.DID_NOT_RUN))
    assert not coap.can_send_did_not_run(
        0, receive_request(coap, 0, encode_message(mid=9999)))


def test_states_of_refused_flows_are_bounded(monkeypatch):
    """Guards against memory that grows with flows that are refused."""
    monkeypatch.setattr(flow_states, 'MAX_FLOWS', 10)
    coap = make_server()
    register_observation(coap)
    for port in range(50):
        flow = FLOW._replace(src_port=port)
        exchange_number = receive_request(coap, 0, encode_message(), flow)
        coap.answer(0, exchange_number,
                    codes.refusal(states.Refusal.DID_NOT_RUN))
    assert coap.notify(1, FLOW, b't', codes.Response(CONTENT, b'1')).datagrams
    # `MAX_FLOWS`, plus one state that is created before the oldest is evicted.
    assert len(coap._flow_states) <= 11  # pylint: disable=protected-access


def test_ping_is_answered_with_a_reset_and_unexpected_messages_are_counted():
    """Guards against unexpected messages that change any state."""
    coap = make_server()
    ping = encode_message(aiocoap.EMPTY, 8, b'')
    assert only_message(coap.on_datagram(0, FLOW, ping)).mtype is aiocoap.RST
    for mtype in (aiocoap.ACK, aiocoap.RST):
        stray = encode_message(aiocoap.EMPTY, 8, b'', mtype)
        assert coap.on_datagram(
            0, FLOW, stray).events == (server.Dropped('coap.unexpected'),)


# Some of the datagrams start with the header of a confirmable GET with message
# id 0x0001 and the token `t`, so that the parser gets to their options.
@hypothesis.given(
    strategies.lists(strategies.binary(max_size=40) | strategies.binary(
        max_size=40).map(lambda tail: b'\x41\x01\x00\x01t' + tail),
                     max_size=20))
def test_random_datagrams_never_raise(datagrams):
    """Guards against a datagram that raises and ends the process."""
    coap = make_server()
    for now_ms, data in enumerate(datagrams):
        for event in coap.on_datagram(now_ms, FLOW, data).events:
            if isinstance(event, server.RequestReceived):
                coap.answer(now_ms, event.exchange,
                            codes.Response(CONTENT, bytes(2000)))
        coap.tick(now_ms * 5000)


def test_duplicate_cache_is_bounded():
    """Guards against memory that grows with the callers' message ids."""
    cache = exchange.DuplicateCache(max_entries=10, max_bytes=100)
    for mid in range(100):
        cache.begin(mid, FLOW, mid)
        cache.finish(FLOW, mid, bytes(30))
        assert len(cache) <= 10
    # Three replies of 30 bytes are within the limit of 100 bytes. The latest is
    # added to them, and the limit is checked again at the next message id.
    assert len(cache) <= 5
