"""A caller's flow: one UDP source port that uses CoAP with one service.

Explanation
===========

Requests are confirmable and retransmitted until acknowledged. Answers are
matched by token; an answer with a token that the flow never used is a stray.
Notifications of feeds are acknowledged and their gaps are recorded.

References
==========

RFC 7252 section 4.2 (retransmission), RFC 7641 (Observe), RFC 7959 (Block2).
"""

import collections.abc
import random
import typing

import aiocoap
from twisted.internet import defer
from twisted.internet import protocol

from figdrum.core import clock
from figdrum.core import ids
from standins import answer_check
from standins import coap_message
from standins import request_record

MAX_RETRANSMIT = 4
ACK_RANDOM_FACTOR = 1.5
_TOKEN_BYTES = 4
_BLOCK_SZX = 6
_MAX_RESTARTS = 3
_MID_SPACE = 1 << 16
# RFC 7252 section 4.8.2: a message id is not reused within this time.
_EXCHANGE_LIFETIME_MS = 247_000

OnMessage = collections.abc.Callable[[aiocoap.Message | None, str], None]


class FlowSettings(typing.NamedTuple):
    """Addresses and time-outs of a flow.

    Attributes:
      service: Name of the service at `address`.
      address: The service's address.
      host: The caller's own address.
      ack_timeout_ms: RFC 7252 ACK_TIMEOUT.
      answer_timeout_ms: Time after the request at which it counts as lost.
    """
    service: str
    address: ids.Address
    host: str = '127.0.0.1'
    ack_timeout_ms: int = 2_000
    answer_timeout_ms: int = 30_000


class Exchange:
    """One confirmable request and the wait for its answer.

    Attributes:
      msg: The request.
      record: Record that counts the transmissions.
      on_end: Called with the answer, or with None and a reason.
      timeout_ms: Time until the next retransmission.
      retransmissions: Number of retransmissions so far.
      timers: The retransmission timer and the answer timer.
    """

    def __init__(self, msg: aiocoap.Message,
                 record: request_record.RequestRecord, on_end: OnMessage):
        self.msg = msg
        self.record = record
        self.on_end = on_end
        self.timeout_ms = 0.0
        self.retransmissions = 0
        self.timers: dict[str, typing.Any] = {}

    def stop(self, name: str) -> None:
        """Cancels one timer if it runs."""
        timer = self.timers.pop(name, None)
        if timer is not None and timer.active():
            timer.cancel()


class CallerFlow(protocol.DatagramProtocol):
    """One flow of a caller.

    Attributes:
      name: Name in records.
      settings: Addresses and time-outs.
      records: Every request, in order.
      feeds: Every observation by token.
      strays: Answers that belong to no request of this flow.
    """
    noisy = False

    def __init__(self, name: str, settings: FlowSettings, timers: typing.Any,
                 rng: random.Random):
        self.name = name
        self.settings = settings
        self.records: list[request_record.RequestRecord] = []
        self.feeds: dict[bytes, request_record.FeedRecord] = {}
        self.strays: list[str] = []
        self._timers = timers
        self._rng = rng
        self._mid = rng.randrange(_MID_SPACE)
        self._token = rng.randrange(1 << (8 * _TOKEN_BYTES))
        self._exchanges: dict[bytes, Exchange] = {}
        self._by_mid: dict[int, Exchange] = {}
        self._used_tokens: set[bytes] = set()
        self._acknowledged: dict[int, tuple[int, bytes]] = {}

    def start(self, reactor: typing.Any) -> None:
        """Opens the source port."""
        reactor.listenUDP(0, self, self.settings.host, 65_536)

    def stop(self) -> None:
        """Closes the source port; open requests stay pending."""
        for exchange in list(self._exchanges.values()):
            self._remove_exchange(exchange)
        if self.transport is not None:
            self.transport.stopListening()

    @property
    def is_established(self) -> bool:
        """Whether a request of this flow was answered."""
        return any(
            r.ending is request_record.Ending.ANSWERED for r in self.records)

    def request(self, call: request_record.Call) -> defer.Deferred:
        """Makes a request; the Deferred fires with its `RequestRecord`."""
        if call.kind is request_record.Kind.DOWNLOAD:
            return self._download(call)
        record, done = self._begin(call)
        msg = self._message(call)
        if call.kind is request_record.Kind.OBSERVE:
            self.feeds[msg.token] = request_record.FeedRecord(
                self.name, msg.token, call, self._now_ms())

        def on_end(answer: aiocoap.Message | None, reason: str) -> None:
            if answer is None:
                self._mark_lost(record, reason)
            else:
                answer_check.record_answer(record, answer.code, answer.payload,
                                           answer.opt.max_age)
            self._update_feed(msg.token, record, answer)
            self._end(record, done)

        self._send(Exchange(msg, record, on_end))
        return done

    def cancel_feed(self, feed: request_record.FeedRecord) -> defer.Deferred:
        """Ends an observation; the Deferred fires with the answer's record."""
        feed.cancelled = True
        record, done = self._begin(feed.call)
        msg = coap_message.request(feed.call, self._next_mid(), feed.token)
        msg.opt.observe = 1

        def on_end(answer: aiocoap.Message | None, reason: str) -> None:
            if answer is None:
                self._mark_lost(record, reason)
            else:
                answer_check.record_answer(record, answer.code, answer.payload,
                                           answer.opt.max_age)
            self._end(record, done)

        self._send(Exchange(msg, record, on_end))
        return done

    def _begin(
        self, call: request_record.Call
    ) -> tuple[request_record.RequestRecord, defer.Deferred]:
        record = request_record.RequestRecord(self.name, self.settings.service,
                                              call, self._now_ms())
        self.records.append(record)
        return record, defer.Deferred()

    def _end(self, record: request_record.RequestRecord,
             done: defer.Deferred) -> None:
        record.ended_ms = self._now_ms()
        done.callback(record)

    def _mark_lost(self, record: request_record.RequestRecord,
                   reason: str) -> None:
        record.ending = request_record.Ending.LOST
        record.detail = reason

    def _update_feed(self, token: bytes, record: request_record.RequestRecord,
                     answer: aiocoap.Message | None) -> None:
        feed = self.feeds.get(token)
        if feed is None:
            return
        if record.ending is not request_record.Ending.ANSWERED:
            del self.feeds[token]
        elif answer is None or answer.opt.observe is None:
            feed.ended = 'not observed'
        else:
            feed.on_notification(self._now_ms(), answer.opt.observe)

    def _download(self, call: request_record.Call) -> defer.Deferred:
        record, done = self._begin(call)
        blocks: list[bytes] = []
        etags: list[bytes | None] = []
        restarts = 0

        def request_block() -> None:
            msg = self._message(call)
            msg.opt.block2 = (len(blocks), False, _BLOCK_SZX)
            self._send(Exchange(msg, record, on_block))

        def on_block(answer: aiocoap.Message | None, reason: str) -> None:
            nonlocal restarts
            if answer is None:
                self._mark_lost(record, reason)
                self._end(record, done)
                return
            block = answer.opt.block2
            if not answer.code.is_successful():
                finish(answer, answer.payload)
                return
            number = block.block_number if block else 0
            if number != len(blocks) or (blocks and
                                         answer.opt.etag != etags[0]):
                restarts += 1
                if restarts > _MAX_RESTARTS:
                    record.ending = request_record.Ending.WRONG
                    record.detail = f'block {number} after {len(blocks)}'
                    self._end(record, done)
                    return
                blocks.clear()
                etags.clear()
                request_block()
                return
            blocks.append(answer.payload)
            etags.append(answer.opt.etag)
            if block and block.more:
                request_block()
            else:
                finish(answer, b''.join(blocks))

        def finish(answer: aiocoap.Message, payload: bytes) -> None:
            answer_check.record_answer(record, answer.code, payload,
                                       answer.opt.max_age)
            self._end(record, done)

        request_block()
        return done

    def _message(self, call: request_record.Call) -> aiocoap.Message:
        self._token = (self._token + 1) % (1 << (8 * _TOKEN_BYTES))
        token = self._token.to_bytes(_TOKEN_BYTES, 'big')
        self._used_tokens.add(token)
        return coap_message.request(call, self._next_mid(), token)

    def _next_mid(self) -> int:
        self._mid = (self._mid + 1) % _MID_SPACE
        return self._mid

    def _send(self, exchange: Exchange) -> None:
        self._exchanges[exchange.msg.token] = exchange
        self._by_mid[exchange.msg.mid] = exchange
        base_ms = self.settings.ack_timeout_ms
        exchange.timeout_ms = self._rng.uniform(base_ms,
                                                base_ms * ACK_RANDOM_FACTOR)
        exchange.timers['answer'] = self._call_later(
            self.settings.answer_timeout_ms, lambda: self._fail(
                exchange, f'no answer in {self.settings.answer_timeout_ms} ms'))
        self._transmit(exchange)

    def _transmit(self, exchange: Exchange) -> None:
        exchange.record.transmissions += 1
        self._write(exchange.msg.encode())
        exchange.timers['ack'] = self._call_later(
            exchange.timeout_ms, lambda: self._on_ack_timeout(exchange))

    def _on_ack_timeout(self, exchange: Exchange) -> None:
        if exchange.retransmissions >= MAX_RETRANSMIT:
            self._fail(exchange, 'no acknowledgement')
            return
        exchange.retransmissions += 1
        exchange.timeout_ms *= 2
        self._transmit(exchange)

    def _fail(self, exchange: Exchange, reason: str) -> None:
        self._remove_exchange(exchange)
        exchange.on_end(None, reason)

    def _remove_exchange(self, exchange: Exchange) -> None:
        exchange.stop('ack')
        exchange.stop('answer')
        self._by_mid.pop(exchange.msg.mid, None)
        if self._exchanges.get(exchange.msg.token) is exchange:
            del self._exchanges[exchange.msg.token]

    def datagramReceived(self, datagram: bytes, addr: ids.Address) -> None:
        msg = coap_message.read(datagram)
        if msg is None or addr != self.settings.address:
            self.strays.append(f'{addr}: {datagram[:16].hex()}')
            return
        if msg.mtype in (aiocoap.ACK, aiocoap.RST):
            self._on_acknowledgement(msg)
        if msg.code.is_response():
            self._on_response(msg)

    def _on_acknowledgement(self, msg: aiocoap.Message) -> None:
        exchange = self._by_mid.get(msg.mid)
        if exchange is None:
            return
        if msg.mtype is aiocoap.RST:
            self._fail(exchange, 'reset')
        else:
            exchange.stop('ack')

    def _on_response(self, msg: aiocoap.Message) -> None:
        is_confirmable = msg.mtype is aiocoap.CON
        if is_confirmable and self._acknowledge_duplicate(msg.mid):
            return
        reaction = aiocoap.ACK
        exchange = self._exchanges.get(msg.token)
        if exchange is not None and msg.mtype is aiocoap.ACK and \
                exchange.msg.mid != msg.mid:
            self.strays.append(f'message id {msg.mid} of another request')
            return
        feed = self.feeds.get(msg.token)
        if exchange is not None:
            self._remove_exchange(exchange)
        elif feed is None or feed.cancelled:
            if msg.token not in self._used_tokens:
                self.strays.append(f'token {msg.token.hex()}')
            reaction = aiocoap.RST
        if is_confirmable:
            answer = coap_message.empty(reaction, msg.mid)
            self._acknowledged[msg.mid] = (self._now_ms(), answer)
            self._write(answer)
        if exchange is not None:
            exchange.on_end(msg, '')
        elif feed is not None and not feed.cancelled:
            self._on_notification(feed, msg)

    def _acknowledge_duplicate(self, mid: int) -> bool:
        at_ms, answer = self._acknowledged.get(mid,
                                               (-_EXCHANGE_LIFETIME_MS, b''))
        if self._now_ms() - at_ms >= _EXCHANGE_LIFETIME_MS:
            return False
        self._write(answer)
        return True

    def _on_notification(self, feed: request_record.FeedRecord,
                         msg: aiocoap.Message) -> None:
        if not msg.code.is_successful() or msg.opt.observe is None:
            feed.ended = f'{msg.code.dotted} {msg.payload[:80]!r}'
            return
        record = request_record.RequestRecord(self.name, self.settings.service,
                                              feed.call, self._now_ms())
        answer_check.record_answer(record, msg.code, msg.payload, None)
        if record.ending is request_record.Ending.WRONG:
            self.strays.append(f'notification: {record.detail}')
        feed.on_notification(self._now_ms(), msg.opt.observe)

    def _write(self, datagram: bytes) -> None:
        try:
            self.transport.write(datagram, self.settings.address)
        except OSError:
            pass  # Counts as lost in the network; retransmission recovers.

    def _call_later(self, delay_ms: float, fn: collections.abc.Callable) -> \
            typing.Any:
        return self._timers.callLater(delay_ms / clock.MS_PER_S, fn)

    def _now_ms(self) -> int:
        return round(self._timers.seconds() * clock.MS_PER_S)
