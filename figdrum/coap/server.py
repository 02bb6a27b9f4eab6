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


_EMPTY_RESULT = ServerResult()
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
      max_interval_ms: Maximum time between notifications of an observation.
      deadline_ms: Deadline of a request without the parameter `deadline_ms`.
    """

    def __init__(self,
                 rng: random.Random,
                 max_interval_ms: int = limits.MAX_NOTIFY_INTERVAL_MS,
                 deadline_ms: int = limits.DEFAULT_DEADLINE_MS):
        self._rng = rng
        self._max_interval_ms = max_interval_ms
        self._deadline_ms = deadline_ms
        self._duplicates = exchange.DuplicateCache()
        self._stored_responses = blocks.ResponseStore()
        self._flow_states = flow_states.FlowStates(rng)
        self._open_exchanges: dict[int, _Exchange] = {}
        self._separate_responses: dict[tuple[ids.FlowKey, int],
                                       exchange.Retransmission] = {}
        self._timers: list[tuple[int, int, typing.Any]] = []
        self._last_number = 0

    @property
    def open_exchanges(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._open_exchanges)

    def on_datagram(self, now_ms: int, flow: ids.FlowKey,
                    data: bytes) -> ServerResult:
        """Handles a datagram of a caller; malformed ones are dropped."""
        message = request.decode(data)
        if message is None:
            return _dropped('coap.malformed')
        if message.code.is_request():
            return self._on_request(now_ms, flow, message, data)
        if message.mtype is aiocoap.ACK:
            return self._on_ack(now_ms, flow, message.mid)
        if message.mtype is aiocoap.RST:
            return self._on_reset(flow, message.mid)
        if message.mtype is aiocoap.CON:
            return ServerResult(
                (Datagram(flow, wire.encode_empty(aiocoap.RST, message.mid)),))
        return _dropped('coap.unexpected')

    def answer(self, now_ms: int, number: int,
               response: codes.Response) -> ServerResult:
        """Answers the request of exchange `number`.

        Further answers to the same request are dropped.
        """
        exch = self._open_exchanges.pop(number, None)
        if exch is None:
            return _dropped('coap.answered_before')
        result = _EMPTY_RESULT
        observe = None
        if (exch.request.observe == request.OBSERVE_REGISTER and
                response.is_success):
            result = self._register_observation(now_ms, exch, response)
            observe = self._flow_states.get(exch.flow).next_number()
        elif exch.request.observe is not None:
            result = self._end_observation(exch.flow, exch.token)
        stored = self._store_response(now_ms, exch, response)
        if response.payload == _DID_NOT_RUN and not response.is_success:
            data = wire.encode_response(
                aiocoap.ACK, exch.mid, exch.token, stored,
                blocks.BlockPayload(_DID_NOT_RUN, None, False), None)
            self._flow_states.get(exch.flow).refusals[exch.mid] = (now_ms, data)
        block_payload = blocks.select_block(stored, exch.request.block)
        if block_payload is None:
            stored = stored._replace(
                response=codes.error(aiocoap.BAD_REQUEST, 'no such block'))
            block_payload = blocks.BlockPayload(stored.response.payload, None,
                                                False)
        return self._reply(now_ms, exch, stored, block_payload,
                           observe) + result

    def notify(self, now_ms: int, flow: ids.FlowKey, token: bytes,
               response: codes.Response) -> ServerResult:
        """Sends an observation's new state if it differs from the last one.

        While a notification is not acknowledged, the new state is sent later. A
        response that is not of class 2 ends the observation (RFC 7641,
        section 4.2).
        """
        obs = self._flow_states.find_observation(flow, token)
        if obs is None or obs.response == response:
            return _EMPTY_RESULT
        obs.response = response
        if obs.outstanding is not None and response.is_success:
            obs.has_newer_state = True
            return _EMPTY_RESULT
        result = self._send_notification(now_ms, obs)
        if not response.is_success:
            result += self._end_observation(flow, token)
        return result

    def tick(self, now_ms: int) -> ServerResult:
        """Sends the datagrams that are due; call this every 100 ms."""
        result = _EMPTY_RESULT
        while self._timers and self._timers[0][0] <= now_ms:
            due_ms, _, timer_key = heapq.heappop(self._timers)
            result += self._on_timer(now_ms, due_ms, timer_key)
        return result

    def can_send_did_not_run(self, now_ms: int, number: int) -> bool:
        """Returns True if the request can be answered with did-not-run.

        The refusals of a flow are handed over with it, so that no copy of a
        refused request runs at the next agent. Their number is limited.
        """
        exch = self._open_exchanges.get(number)
        return exch is not None and len(
            self._flow_states.recent_refusals(
                now_ms, exch.flow)) < MAX_REFUSALS_PER_FLOW

    def handover(self, now_ms: int, flow: ids.FlowKey) -> FlowSnapshot:
        """Returns a flow's state to hand over to another agent."""
        flow_state = self._flow_states.get(flow)
        observations = tuple(
            obs.request.raw for obs in flow_state.observations.values())
        refused = tuple(data for _, data in self._flow_states.recent_refusals(
            now_ms, flow).values())
        return FlowSnapshot(observations, flow_state.sequence, refused)

    def take_over(self, now_ms: int, flow: ids.FlowKey,
                  state: FlowSnapshot) -> ServerResult:
        """Takes over a flow's state from another agent."""
        flow_state = self._flow_states.get(flow)
        flow_state.sequence = (
            state.sequence + HANDOVER_SEQUENCE_GAP) % flow_states.SEQUENCE_RANGE
        for data in state.refused[:MAX_REFUSALS_PER_FLOW]:
            self._import_refusal(now_ms, flow, data)
        events = []
        for data in state.observations[:MAX_OBSERVATIONS_PER_FLOW]:
            message = request.decode(data)
            if message is None or not message.code.is_request():
                continue
            try:
                req = request.parse_request(message, data, self._deadline_ms)
            except request.BadRequest:
                continue
            flow_state.observations[message.token] = observation.Observation(
                flow, message.token, req, None, now_ms)
            events.append(ObservationRegistered(flow, message.token, req))
        return ServerResult((), tuple(events))

    def forget(self, flow: ids.FlowKey) -> ServerResult:
        """Removes the state of a flow that ended or moved."""
        result = _EMPTY_RESULT
        flow_state = self._flow_states.find(flow)
        for token in tuple(flow_state.observations) if flow_state else ():
            result += self._end_observation(flow, token)
        self._flow_states.remove(flow)
        return result

    def _import_refusal(self, now_ms: int, flow: ids.FlowKey,
                        data: bytes) -> None:
        message = request.decode(data)
        if (message is not None and
                self._duplicates.begin(now_ms, flow, message.mid) is None):
            self._duplicates.finish(flow, message.mid, data)
            self._flow_states.get(flow).refusals[message.mid] = (now_ms, data)

    def _on_request(self, now_ms: int, flow: ids.FlowKey,
                    message: aiocoap.Message, data: bytes) -> ServerResult:
        if message.mtype not in (aiocoap.CON, aiocoap.NON):
            return _dropped('coap.unexpected')
        if len(self._open_exchanges) >= MAX_OPEN_EXCHANGES:
            return _dropped('coap.too_many_open')
        duplicate = self._duplicates.begin(now_ms, flow, message.mid)
        if duplicate is not None:
            sent = (Datagram(flow, duplicate.reply),) if duplicate.reply else ()
            return ServerResult(sent, (Dropped('coap.duplicate'),))
        exch = _Exchange(flow, message.mid, message.token, message.mtype
                         is aiocoap.CON, None)
        try:
            exch.request = request.parse_request(message, data,
                                                 self._deadline_ms)
        except request.BadRequest as exc:
            failed = codes.error(exc.code, exc.reason)
            stored = blocks.StoredResponse(failed, b'', now_ms)
            return self._reply(now_ms, exch, stored,
                               blocks.BlockPayload(failed.payload, None, False),
                               None)
        return self._serve_block(now_ms, exch) or self._begin(now_ms, exch)

    def _begin(self, now_ms: int, exch: _Exchange) -> ServerResult:
        self._last_number += 1
        number = self._last_number
        self._open_exchanges[number] = exch
        if exch.confirmable:
            self._set_timer(now_ms + SEPARATE_RESPONSE_AFTER_MS, number)
        return ServerResult((),
                            (RequestReceived(number, exch.flow, exch.request),))

    def _serve_block(self, now_ms: int, exch: _Exchange) -> ServerResult | None:
        block = exch.request.block
        if block is None or block.number == 0:
            return None
        stored = self._stored_responses.get(now_ms, exch.flow,
                                            _cache_key(exch.request),
                                            exch.request.etag)
        block_payload = blocks.select_block(stored, block) if stored else None
        if block_payload is None:
            return None
        return self._reply(now_ms, exch, stored, block_payload, None)

    def _store_response(self, now_ms: int, exch: _Exchange,
                        response: codes.Response) -> blocks.StoredResponse:
        size = 16 << (exch.request.block or blocks.DEFAULT_BLOCK).exponent
        if response.is_success and len(response.payload) > size:
            self._stored_responses.put(now_ms, exch.flow,
                                       _cache_key(exch.request), response)
        return blocks.StoredResponse(response, blocks.etag(response.payload),
                                     now_ms)

    def _reply(self, now_ms: int, exch: _Exchange,
               stored: blocks.StoredResponse,
               block_payload: blocks.BlockPayload,
               observe: int | None) -> ServerResult:
        if exch.confirmable and not exch.acknowledged:
            mtype, mid = aiocoap.ACK, exch.mid
        else:
            mtype = aiocoap.CON if exch.confirmable else aiocoap.NON
            mid = self._flow_states.next_mid(exch.flow)
        data = wire.encode_response(mtype, mid, exch.token, stored,
                                    block_payload, observe)
        if mtype is aiocoap.CON:
            retransmission = exchange.Retransmission(now_ms, mid, data,
                                                     self._rng)
            self._separate_responses[(exch.flow, mid)] = retransmission
            self._set_timer(retransmission.due_ms, (exch.flow, mid))
        else:
            self._duplicates.finish(exch.flow, exch.mid, data)
        return ServerResult((Datagram(exch.flow, data),))

    def _on_ack(self, now_ms: int, flow: ids.FlowKey, mid: int) -> ServerResult:
        if self._separate_responses.pop((flow, mid), None) is not None:
            return _EMPTY_RESULT
        obs = self._flow_states.find_unacknowledged(flow, mid)
        if obs is None:
            return _dropped('coap.unexpected')
        obs.outstanding = None
        if obs.has_newer_state:
            return self._send_notification(now_ms, obs)
        return _EMPTY_RESULT

    def _on_reset(self, flow: ids.FlowKey, mid: int) -> ServerResult:
        if self._separate_responses.pop((flow, mid), None) is not None:
            return _EMPTY_RESULT
        obs = self._flow_states.find_unacknowledged(flow, mid)
        if obs is None:
            return _dropped('coap.unexpected')
        return self._end_observation(flow, obs.token)

    def _register_observation(self, now_ms: int, exch: _Exchange,
                              response: codes.Response) -> ServerResult:
        observations = self._flow_states.get(exch.flow).observations
        if exch.token not in observations and len(
                observations) >= MAX_OBSERVATIONS_PER_FLOW:
            return self._end_observation(exch.flow, next(iter(observations)))
        obs = observation.Observation(exch.flow, exch.token, exch.request,
                                      response, now_ms)
        observations[exch.token] = obs
        self._set_observation_timer(obs, now_ms + self._max_interval_ms)
        return ServerResult(
            (), (ObservationRegistered(exch.flow, exch.token, exch.request),))

    def _end_observation(self, flow: ids.FlowKey, token: bytes) -> ServerResult:
        flow_state = self._flow_states.find(flow)
        if flow_state is None or flow_state.observations.pop(token,
                                                             None) is None:
            return _EMPTY_RESULT
        return ServerResult((), (ObservationEnded(flow, token),))

    def _send_notification(self, now_ms: int,
                           obs: observation.Observation) -> ServerResult:
        data = self._encode_notification(now_ms, obs)
        obs.sent_ms = now_ms
        obs.has_newer_state = False
        obs.outstanding = exchange.Retransmission(
            now_ms,
            self._flow_states.get(obs.flow).sequence % flow_states.MID_RANGE,
            data, self._rng)
        self._set_observation_timer(obs, obs.outstanding.due_ms)
        return ServerResult((Datagram(obs.flow, data),))

    def _encode_notification(self, now_ms: int,
                             obs: observation.Observation) -> bytes:
        number = self._flow_states.get(obs.flow).next_number()
        response = obs.response
        stored = blocks.StoredResponse(response, blocks.etag(response.payload),
                                       now_ms)
        block = obs.request.block
        block_payload = blocks.select_block(
            stored,
            block._replace(number=0) if block else None)
        if block_payload.more:
            self._stored_responses.put(now_ms, obs.flow,
                                       _cache_key(obs.request), response)
        return wire.encode_response(aiocoap.CON, number % flow_states.MID_RANGE,
                                    obs.token, stored, block_payload,
                                    number if response.is_success else None)

    def _on_timer(self, now_ms: int, due_ms: int,
                  timer_key: typing.Any) -> ServerResult:
        if isinstance(timer_key, int):
            return self._send_empty_ack(timer_key)
        if isinstance(timer_key[1], int):
            return self._retransmit_response(now_ms, timer_key)
        obs = self._flow_states.find_observation(*timer_key)
        if obs is None or obs.timer_ms != due_ms:
            return _EMPTY_RESULT
        obs.timer_ms = None
        if obs.outstanding is not None:
            return self._retransmit_notification(now_ms, obs)
        next_due_ms = obs.sent_ms + self._max_interval_ms
        if now_ms >= next_due_ms and obs.response is not None:
            return self._send_notification(now_ms, obs)
        self._set_observation_timer(obs, max(now_ms + 1, next_due_ms))
        return _EMPTY_RESULT

    def _send_empty_ack(self, number: int) -> ServerResult:
        exch = self._open_exchanges.get(number)
        if exch is None:
            return _EMPTY_RESULT
        exch.acknowledged = True
        data = wire.encode_empty(aiocoap.ACK, exch.mid)
        self._duplicates.finish(exch.flow, exch.mid, data)
        return ServerResult((Datagram(exch.flow, data),))

    def _retransmit_response(
            self, now_ms: int, timer_key: tuple[ids.FlowKey,
                                                int]) -> ServerResult:
        retransmission = self._separate_responses.get(timer_key)
        if retransmission is None:
            return _EMPTY_RESULT
        if not retransmission.retry(now_ms):
            del self._separate_responses[timer_key]
            return _dropped('coap.answer_not_acknowledged')
        self._set_timer(retransmission.due_ms, timer_key)
        return ServerResult((Datagram(timer_key[0], retransmission.datagram),))

    def _retransmit_notification(self, now_ms: int,
                                 obs: observation.Observation) -> ServerResult:
        retransmission = obs.outstanding
        if retransmission.due_ms > now_ms:
            self._set_observation_timer(obs, retransmission.due_ms)
            return _EMPTY_RESULT
        if not retransmission.retry(now_ms):
            return self._end_observation(
                obs.flow, obs.token) + _dropped('coap.observer_gone')
        if obs.has_newer_state:
            data = self._encode_notification(now_ms, obs)
            retransmission.replace(
                self._flow_states.get(obs.flow).sequence %
                flow_states.MID_RANGE, data)
            obs.has_newer_state = False
            obs.sent_ms = now_ms
        self._set_observation_timer(obs, retransmission.due_ms)
        return ServerResult((Datagram(obs.flow, retransmission.datagram),))

    def _set_observation_timer(self, obs: observation.Observation,
                               due_ms: int) -> None:
        """Sets the observation's timer unless an earlier one is set.

        Only the last timer set is in effect. With one timer per notification,
        each would renew itself forever and their number would grow.
        """
        if obs.timer_ms is None or due_ms < obs.timer_ms:
            obs.timer_ms = due_ms
            self._set_timer(due_ms, (obs.flow, obs.token))

    def _set_timer(self, due_ms: int, timer_key: typing.Any) -> None:
        self._last_number += 1
        heapq.heappush(self._timers, (due_ms, self._last_number, timer_key))


def _dropped(counter: str) -> ServerResult:
    return ServerResult((), (Dropped(counter),))


def _cache_key(req: request.Request) -> str:
    return f'{req.method} {req.path} {req.key}'
