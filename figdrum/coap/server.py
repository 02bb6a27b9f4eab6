"""CoAP server that does no I/O itself.

Explanation
===========

The server takes datagrams of callers and returns requests as events and replies
as datagrams. The agent answers a request later by its exchange number. A
response within 1 s is piggybacked on the acknowledgement. Otherwise an empty
acknowledgement ends the caller's retransmissions, and the response follows as a
separate confirmable message.

Message ids and Observe values come from one sequence per flow, which moves with
the flow to another agent. A caller therefore never takes a message of the new
agent for a copy of a message of the old one.

Examples
========

>>> server = CoapServer(random.Random(1))
>>> flow = ids.FlowKey('10.0.0.1', 4000, '10.9.0.1', 5683)
>>> get = aiocoap.Message(code=aiocoap.GET, _mtype=aiocoap.CON, _mid=9,
...                       _token=b't', uri_path=('visits',)).encode()
>>> event, = server.on_datagram(0, flow, get).events
>>> event.request.path
'/visits'
>>> answer = codes.Response(69, b'x')
>>> reply, = server.answer(5, event.exchange, answer).datagrams
>>> server.on_datagram(9, flow, get).datagrams == (reply,)
True

References
==========

RFC 7252, RFC 7641, RFC 7959.
"""

import dataclasses
import heapq
import random
import typing

import aiocoap

from figdrum.coap import blocks
from figdrum.coap import codes
from figdrum.coap import exchange
from figdrum.coap import flow_states
from figdrum.coap import observation
from figdrum.coap import request
from figdrum.coap import wire
from figdrum.core import ids
from figdrum.core import limits
from figdrum.core import states

# Half of a caller's shortest retransmission timeout (RFC 7252, 4.8).
SEPARATE_RESPONSE_AFTER_MS = 1000
MAX_OPEN_EXCHANGES = 4096
MAX_OBSERVATIONS_PER_FLOW = 16
# Refusals are part of the handover message, a few kilobytes at this limit.
MAX_REFUSALS_PER_FLOW = 128
# An agent may use further sequence numbers after it has offered a flow.
HANDOVER_SEQUENCE_GAP = 256


class Datagram(typing.NamedTuple):
    """A datagram to send to the caller of a flow."""
    flow: ids.FlowKey
    payload: bytes


class RequestReceived(typing.NamedTuple):
    """A request was received; answer it by its exchange number."""
    exchange: int
    flow: ids.FlowKey
    request: request.Request


class ObservationRegistered(typing.NamedTuple):
    """A caller registered an observation."""
    flow: ids.FlowKey
    token: bytes
    request: request.Request


class ObservationEnded(typing.NamedTuple):
    """An observation was cancelled, or its caller no longer acknowledges."""
    flow: ids.FlowKey
    token: bytes


class Dropped(typing.NamedTuple):
    """A datagram was dropped; `counter` is the metric that counts it."""
    counter: str


Event = RequestReceived | ObservationRegistered | ObservationEnded | Dropped


class FlowSnapshot(typing.NamedTuple):
    """State of a flow that is handed over to another agent.

    Attributes:
      observations: Registration messages as received.
      sequence: Last number used of the flow's sequence.
      refused: Encoded refusals with did-not-run, as sent to the caller.
    """
    observations: tuple[bytes, ...]
    sequence: int
    refused: tuple[bytes, ...] = ()


class ServerResult(typing.NamedTuple):
    """Datagrams to send and events to handle after an input."""
    datagrams: tuple[Datagram, ...] = ()
    events: tuple[Event, ...] = ()

    def __add__(self, other: 'ServerResult') -> 'ServerResult':
        return ServerResult(self.datagrams + other.datagrams,
                            self.events + other.events)


_NOTHING = ServerResult()
_DID_NOT_RUN = states.Refusal.DID_NOT_RUN.value.encode()


@dataclasses.dataclass(slots=True)
class _Exchange:
    flow: ids.FlowKey
    mid: int
    token: bytes
    confirmable: bool
    request: request.Request
    acknowledged: bool = False


class CoapServer:
    """Exchanges, observations and downloads of all flows of an agent.

    Args:
      rng: Source of jitter and initial sequence numbers.
      confirm_ms: Maximum time between notifications of an observation.
      deadline_ms: Deadline of a request without the parameter `deadline_ms`.
    """

    def __init__(self,
                 rng: random.Random,
                 confirm_ms: int = limits.MAX_NOTIFY_INTERVAL_MS,
                 deadline_ms: int = limits.DEFAULT_DEADLINE_MS):
        self._rng = rng
        self._confirm_ms = confirm_ms
        self._deadline_ms = deadline_ms
        self._seen = exchange.DuplicateCache()
        self._store = blocks.ResponseStore()
        self._flows = flow_states.FlowStates(rng)
        self._open: dict[int, _Exchange] = {}
        self._separate: dict[tuple[ids.FlowKey, int],
                             exchange.Retransmission] = {}
        self._timers: list[tuple[int, int, typing.Any]] = []
        self._count = 0

    @property
    def open_exchanges(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._open)

    def on_datagram(self, now_ms: int, flow: ids.FlowKey,
                    data: bytes) -> ServerResult:
        """Handles a datagram of a caller; malformed ones are dropped."""
        message = request.decode(data)
        if message is None:
            return _drop('coap.malformed')
        if message.code.is_request():
            return self._on_request(now_ms, flow, message, data)
        if message.mtype is aiocoap.ACK:
            return self._on_ack(now_ms, flow, message.mid)
        if message.mtype is aiocoap.RST:
            return self._on_reset(flow, message.mid)
        if message.mtype is aiocoap.CON:
            return ServerResult((Datagram(flow,
                                          wire.empty(aiocoap.RST,
                                                     message.mid)),))
        return _drop('coap.unexpected')

    def answer(self, now_ms: int, number: int,
               response: codes.Response) -> ServerResult:
        """Answers the request of exchange `number`.

        Further answers to the same request are dropped.
        """
        item = self._open.pop(number, None)
        if item is None:
            return _drop('coap.answered_before')
        reaction = _NOTHING
        observe = None
        if item.request.observe == request.OBSERVE_REGISTER and response.is_success:
            reaction = self._observe(now_ms, item, response)
            observe = self._flows.get(item.flow).next()
        elif item.request.observe is not None:
            reaction = self._end_observation(item.flow, item.token)
        stored = self._stored(now_ms, item, response)
        if response.payload == _DID_NOT_RUN and not response.is_success:
            data = wire.encode(aiocoap.ACK, item.mid, item.token, stored,
                               blocks.BlockPayload(_DID_NOT_RUN, None, False),
                               None)
            self._flows.get(item.flow).refused[item.mid] = (now_ms, data)
        piece = blocks.select_block(stored, item.request.block)
        if piece is None:
            stored = stored._replace(
                response=codes.error(aiocoap.BAD_REQUEST, 'no such block'))
            piece = blocks.BlockPayload(stored.response.payload, None, False)
        return self._reply(now_ms, item, stored, piece, observe) + reaction

    def notify(self, now_ms: int, flow: ids.FlowKey, token: bytes,
               response: codes.Response) -> ServerResult:
        """Sends an observation's new state if it differs from the last one.

        While a notification is not acknowledged, the new state is sent later. A
        response that is not of class 2 ends the observation (RFC 7641,
        section 4.2).
        """
        item = self._flows.find_observation(flow, token)
        if item is None or item.response == response:
            return _NOTHING
        item.response = response
        if item.outstanding is not None and response.is_success:
            item.dirty = True
            return _NOTHING
        reaction = self._send_notification(now_ms, item)
        if not response.is_success:
            reaction += self._end_observation(flow, token)
        return reaction

    def tick(self, now_ms: int) -> ServerResult:
        """Sends the datagrams that are due; call this every 100 ms."""
        reaction = _NOTHING
        while self._timers and self._timers[0][0] <= now_ms:
            due_ms, _, subject = heapq.heappop(self._timers)
            reaction += self._on_timer(now_ms, due_ms, subject)
        return reaction

    def can_send_did_not_run(self, now_ms: int, number: int) -> bool:
        """Returns True if the request can be answered with did-not-run.

        The refusals of a flow are handed over with it, so that no copy of a
        refused request runs at the next agent. Their number is limited.
        """
        item = self._open.get(number)
        return item is not None and len(self._flows.refused(
            now_ms, item.flow)) < MAX_REFUSALS_PER_FLOW

    def handover(self, now_ms: int, flow: ids.FlowKey) -> FlowSnapshot:
        """Returns a flow's state to hand over to another agent."""
        item = self._flows.get(flow)
        observations = tuple(
            each.request.raw for each in item.observations.values())
        refused = tuple(
            data for _, data in self._flows.refused(now_ms, flow).values())
        return FlowSnapshot(observations, item.sequence, refused)

    def adopt(self, now_ms: int, flow: ids.FlowKey,
              state: FlowSnapshot) -> ServerResult:
        """Takes over a flow's state from another agent."""
        item = self._flows.get(flow)
        item.sequence = (state.sequence +
                         HANDOVER_SEQUENCE_GAP) % flow_states.SEQUENCE_RANGE
        for data in state.refused[:MAX_REFUSALS_PER_FLOW]:
            self._adopt_refusal(now_ms, flow, data)
        events = []
        for data in state.observations[:MAX_OBSERVATIONS_PER_FLOW]:
            message = request.decode(data)
            if message is None or not message.code.is_request():
                continue
            try:
                req = request.read(message, data, self._deadline_ms)
            except request.BadRequest:
                continue
            item.observations[message.token] = observation.Observation(
                flow, message.token, req, None, now_ms)
            events.append(ObservationRegistered(flow, message.token, req))
        return ServerResult((), tuple(events))

    def forget(self, flow: ids.FlowKey) -> ServerResult:
        """Removes the state of a flow that ended or moved."""
        reaction = _NOTHING
        item = self._flows.find(flow)
        for token in tuple(item.observations) if item else ():
            reaction += self._end_observation(flow, token)
        self._flows.drop(flow)
        return reaction

    def _adopt_refusal(self, now_ms: int, flow: ids.FlowKey,
                       data: bytes) -> None:
        message = request.decode(data)
        if (message is not None and
                self._seen.begin(now_ms, flow, message.mid) is None):
            self._seen.finish(flow, message.mid, data)
            self._flows.get(flow).refused[message.mid] = (now_ms, data)

    def _on_request(self, now_ms: int, flow: ids.FlowKey,
                    message: aiocoap.Message, data: bytes) -> ServerResult:
        if message.mtype not in (aiocoap.CON, aiocoap.NON):
            return _drop('coap.unexpected')
        if len(self._open) >= MAX_OPEN_EXCHANGES:
            return _drop('coap.too_many_open')
        seen = self._seen.begin(now_ms, flow, message.mid)
        if seen is not None:
            sent = (Datagram(flow, seen.reply),) if seen.reply else ()
            return ServerResult(sent, (Dropped('coap.duplicate'),))
        item = _Exchange(flow, message.mid, message.token, message.mtype
                         is aiocoap.CON, None)
        try:
            item.request = request.read(message, data, self._deadline_ms)
        except request.BadRequest as exc:
            failed = codes.error(exc.code, exc.reason)
            stored = blocks.StoredResponse(failed, b'', now_ms)
            return self._reply(now_ms, item, stored,
                               blocks.BlockPayload(failed.payload, None, False),
                               None)
        return self._serve_block(now_ms, item) or self._begin(now_ms, item)

    def _begin(self, now_ms: int, item: _Exchange) -> ServerResult:
        self._count += 1
        number = self._count
        self._open[number] = item
        if item.confirmable:
            self._set_timer(now_ms + SEPARATE_RESPONSE_AFTER_MS, number)
        return ServerResult((),
                            (RequestReceived(number, item.flow, item.request),))

    def _serve_block(self, now_ms: int, item: _Exchange) -> ServerResult | None:
        block = item.request.block
        if block is None or block.number == 0:
            return None
        stored = self._store.get(now_ms, item.flow, _cache_key(item.request),
                                 item.request.etag)
        piece = blocks.select_block(stored, block) if stored else None
        if piece is None:
            return None
        return self._reply(now_ms, item, stored, piece, None)

    def _stored(self, now_ms: int, item: _Exchange,
                response: codes.Response) -> blocks.StoredResponse:
        size = 16 << (item.request.block or blocks.DEFAULT_BLOCK).exponent
        if response.is_success and len(response.payload) > size:
            self._store.put(now_ms, item.flow, _cache_key(item.request),
                            response)
        return blocks.StoredResponse(response, blocks.etag(response.payload),
                                     now_ms)

    def _reply(self, now_ms: int, item: _Exchange,
               stored: blocks.StoredResponse, piece: blocks.BlockPayload,
               observe: int | None) -> ServerResult:
        if item.confirmable and not item.acknowledged:
            mtype, mid = aiocoap.ACK, item.mid
        else:
            mtype = aiocoap.CON if item.confirmable else aiocoap.NON
            mid = self._flows.next_mid(item.flow)
        data = wire.encode(mtype, mid, item.token, stored, piece, observe)
        if mtype is aiocoap.CON:
            waiting = exchange.Retransmission(now_ms, mid, data, self._rng)
            self._separate[(item.flow, mid)] = waiting
            self._set_timer(waiting.due_ms, (item.flow, mid))
        else:
            self._seen.finish(item.flow, item.mid, data)
        return ServerResult((Datagram(item.flow, data),))

    def _on_ack(self, now_ms: int, flow: ids.FlowKey, mid: int) -> ServerResult:
        if self._separate.pop((flow, mid), None) is not None:
            return _NOTHING
        item = self._flows.find_unacknowledged(flow, mid)
        if item is None:
            return _drop('coap.unexpected')
        item.outstanding = None
        if item.dirty:
            return self._send_notification(now_ms, item)
        return _NOTHING

    def _on_reset(self, flow: ids.FlowKey, mid: int) -> ServerResult:
        if self._separate.pop((flow, mid), None) is not None:
            return _NOTHING
        item = self._flows.find_unacknowledged(flow, mid)
        if item is None:
            return _drop('coap.unexpected')
        return self._end_observation(flow, item.token)

    def _observe(self, now_ms: int, item: _Exchange,
                 response: codes.Response) -> ServerResult:
        known = self._flows.get(item.flow).observations
        if item.token not in known and len(known) >= MAX_OBSERVATIONS_PER_FLOW:
            return self._end_observation(item.flow, next(iter(known)))
        new = observation.Observation(item.flow, item.token, item.request,
                                      response, now_ms)
        known[item.token] = new
        self._set_observation_timer(new, now_ms + self._confirm_ms)
        return ServerResult(
            (), (ObservationRegistered(item.flow, item.token, item.request),))

    def _end_observation(self, flow: ids.FlowKey, token: bytes) -> ServerResult:
        item = self._flows.find(flow)
        if item is None or item.observations.pop(token, None) is None:
            return _NOTHING
        return ServerResult((), (ObservationEnded(flow, token),))

    def _send_notification(self, now_ms: int,
                           item: observation.Observation) -> ServerResult:
        data = self._notification(now_ms, item)
        item.sent_ms = now_ms
        item.dirty = False
        item.outstanding = exchange.Retransmission(
            now_ms,
            self._flows.get(item.flow).sequence % flow_states.MID_RANGE, data,
            self._rng)
        self._set_observation_timer(item, item.outstanding.due_ms)
        return ServerResult((Datagram(item.flow, data),))

    def _notification(self, now_ms: int,
                      item: observation.Observation) -> bytes:
        number = self._flows.get(item.flow).next()
        response = item.response
        stored = blocks.StoredResponse(response, blocks.etag(response.payload),
                                       now_ms)
        block = item.request.block
        piece = blocks.select_block(stored,
                                    block._replace(number=0) if block else None)
        if piece.more:
            self._store.put(now_ms, item.flow, _cache_key(item.request),
                            response)
        return wire.encode(aiocoap.CON, number % flow_states.MID_RANGE,
                           item.token, stored, piece,
                           number if response.is_success else None)

    def _on_timer(self, now_ms: int, due_ms: int,
                  subject: typing.Any) -> ServerResult:
        if isinstance(subject, int):
            return self._acknowledge(subject)
        if isinstance(subject[1], int):
            return self._repeat_separate(now_ms, subject)
        item = self._flows.find_observation(*subject)
        if item is None or item.timer_ms != due_ms:
            return _NOTHING
        item.timer_ms = None
        if item.outstanding is not None:
            return self._repeat_notification(now_ms, item)
        confirm_ms = item.sent_ms + self._confirm_ms
        if now_ms >= confirm_ms and item.response is not None:
            return self._send_notification(now_ms, item)
        self._set_observation_timer(item, max(now_ms + 1, confirm_ms))
        return _NOTHING

    def _acknowledge(self, number: int) -> ServerResult:
        item = self._open.get(number)
        if item is None:
            return _NOTHING
        item.acknowledged = True
        data = wire.empty(aiocoap.ACK, item.mid)
        self._seen.finish(item.flow, item.mid, data)
        return ServerResult((Datagram(item.flow, data),))

    def _repeat_separate(self, now_ms: int,
                         subject: tuple[ids.FlowKey, int]) -> ServerResult:
        waiting = self._separate.get(subject)
        if waiting is None:
            return _NOTHING
        if not waiting.retry(now_ms):
            del self._separate[subject]
            return _drop('coap.answer_not_acknowledged')
        self._set_timer(waiting.due_ms, subject)
        return ServerResult((Datagram(subject[0], waiting.datagram),))

    def _repeat_notification(self, now_ms: int,
                             item: observation.Observation) -> ServerResult:
        waiting = item.outstanding
        if waiting.due_ms > now_ms:
            self._set_observation_timer(item, waiting.due_ms)
            return _NOTHING
        if not waiting.retry(now_ms):
            return self._end_observation(
                item.flow, item.token) + _drop('coap.observer_gone')
        if item.dirty:
            data = self._notification(now_ms, item)
            waiting.replace(
                self._flows.get(item.flow).sequence % flow_states.MID_RANGE,
                data)
            item.dirty = False
            item.sent_ms = now_ms
        self._set_observation_timer(item, waiting.due_ms)
        return ServerResult((Datagram(item.flow, waiting.datagram),))

    def _set_observation_timer(self, item: observation.Observation,
                               due_ms: int) -> None:
        """Sets the observation's timer unless an earlier one is set.

        Only the last timer set is in effect. With one timer per notification,
        each would renew itself forever and their number would grow.
        """
        if item.timer_ms is None or due_ms < item.timer_ms:
            item.timer_ms = due_ms
            self._set_timer(due_ms, (item.flow, item.token))

    def _set_timer(self, due_ms: int, subject: typing.Any) -> None:
        self._count += 1
        heapq.heappush(self._timers, (due_ms, self._count, subject))


def _drop(counter: str) -> ServerResult:
    return ServerResult((), (Dropped(counter),))


def _cache_key(req: request.Request) -> str:
    return f'{req.method} {req.path} {req.key}'
