"""Passes the requests of held flows through the filters and responds."""

import collections.abc
import typing

from twisted.internet import defer

from figdrum.agent import claim_service
from figdrum.coap import codes
from figdrum.coap import request as request_lib
from figdrum.coap import server
from figdrum.core import clock as clock_lib
from figdrum.core import ids
from figdrum.core import states
from figdrum.filters import chain
from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import request_claim
from figdrum.filters import request_context
from figdrum.telemetry import logs

# A poll's response is useless once the next polls are due.
POLL_DEADLINE_MS = 5_000

_log = logs.part('coap')


class Callbacks(typing.NamedTuple):
    """Callbacks that take the results of requests.

    Attributes:
      send: Sends a datagram to a caller.
      on_observed: Called with the customer and a new observation.
      on_observation_ended: Called with an observation that ended.
    """
    send: collections.abc.Callable[[server.Datagram], None]
    on_observed: collections.abc.Callable[
        [ids.CustomerId, server.ObservationRegistered], None]
    on_observation_ended: collections.abc.Callable[[server.ObservationEnded],
                                                   None]


class Origin(typing.NamedTuple):
    """Attributes of a datagram that are not in its payload."""
    customer: ids.CustomerId
    service: ids.ServiceName
    outcome_unknown: bool = False


class RequestHandler:
    """Connects the CoAP server to the filters.

    Args:
      coap: Exchanges with the callers.
      filters: The filters of callers' requests.
      poll_filters: The filters of the agent's own polls.
      claims: Claims of idempotency keys.
      clock: Source of the time.
      metrics: Takes counters.
      callbacks: Take the results.
    """

    def __init__(self, coap: server.CoapServer, filters: chain.FilterChain,
                 poll_filters: chain.FilterChain,
                 claims: claim_service.ClaimService, clock: clock_lib.Clock,
                 metrics: typing.Any, callbacks: Callbacks):
        self._coap = coap
        self._filters = filters
        self._poll_filters = poll_filters
        self._claims = claims
        self._clock = clock
        self._metrics = metrics
        self._callbacks = callbacks
        self._customers: dict[ids.FlowKey, ids.CustomerId] = {}
        self._poll_count = 0

    @property
    def open_count(self) -> int:
        """Number of requests without a response."""
        return self._coap.open_exchanges

    def deliver(self, flow: ids.FlowKey, data: bytes, origin: Origin) -> None:
        """Handles a datagram of a held flow."""
        self._customers[flow] = origin.customer
        for event in self._apply(
                self._coap.on_datagram(self._clock.now_ms(), flow, data)):
            self._run(self._context(event, origin), self._filters)

    def refuse(self, flow: ids.FlowKey, data: bytes, origin: Origin,
               refusal: states.Refusal) -> None:
        """Refuses a datagram of a flow that is not admitted.

        A request with an idempotency key is refused as did-not-run only once
        its key is acquired, since another agent may run a copy of it.
        """
        for event in self._apply(
                self._coap.on_datagram(self._clock.now_ms(), flow, data)):
            ctx = self._context(event, origin)
            response = codes.refusal(refusal)
            self._metrics.incr(f'agent.refused.{refusal.value}')
            if refusal is states.Refusal.DID_NOT_RUN and not ctx.is_idempotent:
                self._refuse_claimed(ctx)
            else:
                self._answer(ctx.number, response)

    def notify(self, flow: ids.FlowKey, token: bytes,
               response: codes.Response) -> None:
        """Sends the newest state to an observer."""
        self._apply(
            self._coap.notify(self._clock.now_ms(), flow, token, response))

    def poll(self, flow: ids.FlowKey, origin: Origin,
             req: request_lib.Request) -> defer.Deferred:
        """Runs a poll; returns a Deferred of the response."""
        self._poll_count += 1
        # Polls have negative numbers, exchanges have positive ones.
        ctx = request_context.RequestContext(-self._poll_count,
                                             flow,
                                             origin.customer,
                                             origin.service,
                                             req,
                                             self._clock.now_ms() +
                                             POLL_DEADLINE_MS,
                                             background=True)
        done = defer.maybeDeferred(self._poll_filters.run, ctx)
        return done.addCallback(lambda verdict: verdict.value)

    def tick(self) -> None:
        """Sends the datagrams that are due; call it every 100 ms."""
        self._apply(self._coap.tick(self._clock.now_ms()))

    def handover(self, flow: ids.FlowKey) -> server.FlowSnapshot:
        """Returns the state of a flow for its handover to another agent."""
        return self._coap.handover(self._clock.now_ms(), flow)

    def take_over(self, flow: ids.FlowKey, customer: ids.CustomerId,
                  state: server.FlowSnapshot) -> None:
        """Takes a flow over from another agent."""
        self._customers[flow] = customer
        self._apply(self._coap.take_over(self._clock.now_ms(), flow, state))

    def forget(self, flow: ids.FlowKey) -> None:
        """Removes a flow that ended or moved."""
        self._apply(self._coap.forget(flow))
        self._customers.pop(flow, None)

    def _context(self, event: server.RequestReceived,
                 origin: Origin) -> request_context.RequestContext:
        return request_context.RequestContext(
            event.exchange, event.flow, origin.customer, origin.service,
            event.request,
            self._clock.now_ms() + event.request.deadline_ms,
            origin.outcome_unknown)

    def _run(self, ctx: request_context.RequestContext,
             filters: chain.FilterChain) -> None:
        done = defer.maybeDeferred(filters.run, ctx)
        done.addCallback(lambda verdict: verdict.value)
        done.addErrback(self._on_failure)
        done.addCallback(lambda response: self._answer(ctx.number, response))

    def _refuse_claimed(self, ctx: request_context.RequestContext) -> None:

        def answer(verdict: filter.Verdict) -> codes.Response:
            if isinstance(verdict, filter.Answer):
                return verdict.value
            return request_context.make_refusal(verdict.ctx)

        claim = request_claim.RequestClaimFilter(self._claims)
        done = defer.maybeDeferred(claim.apply, ctx)
        done.addCallback(answer)
        done.addErrback(self._on_failure)
        done.addCallback(lambda response: self._answer(ctx.number, response))

    def _on_failure(self, failure) -> codes.Response:
        self._metrics.incr('agent.request_failed')
        _log.error('request failed: %s', failure.getErrorMessage())
        return request_context.OUTCOME_UNKNOWN_REFUSAL

    def _answer(self, number: int, response: codes.Response) -> None:
        if (response == codes.refusal(states.Refusal.DID_NOT_RUN) and
                not self._coap.can_send_did_not_run(self._clock.now_ms(),
                                                    number)):
            response = request_context.OUTCOME_UNKNOWN_REFUSAL
        self._claims.store_response(number, response)
        self._metrics.incr('agent.answered')
        self._apply(self._coap.answer(self._clock.now_ms(), number, response))

    def _apply(
            self, reaction: server.ServerResult
    ) -> tuple[server.RequestReceived, ...]:
        """Sends datagrams, handles events and returns the new requests."""
        for datagram in reaction.datagrams:
            self._callbacks.send(datagram)
        requested = []
        for event in reaction.events:
            if isinstance(event, server.RequestReceived):
                requested.append(event)
            elif isinstance(event, server.ObservationRegistered):
                customer = self._customers.get(event.flow)
                if customer is not None:
                    self._callbacks.on_observed(customer, event)
            elif isinstance(event, server.ObservationEnded):
                self._callbacks.on_observation_ended(event)
            else:
                self._metrics.incr(event.counter)
        return tuple(requested)
