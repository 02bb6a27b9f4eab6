"""Sends a request to the target and converts its answer to a response."""

import abc
import enum

import aiocoap
from twisted.internet import defer

from figdrum.coap import codes
from figdrum.core import clock as clock_lib
from figdrum.core import errors
from figdrum.core import ports
from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import request_context

FIRST_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# With these statuses it is unknown whether the request ran.
_UNKNOWN_STATUSES = (SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT)
_MISDIRECTED = 421


class RunOutcome(enum.Enum):
    """How a request at the target ended, as a sign of the target's health.

    `OK` and `ERROR` follow from the status of the target's answer; `ERROR` is
    also a request that was not run because the agent must not run any.
    `NO_ANSWER` is a call without an answer, `NOT_CONNECTED` a failed connection
    attempt.
    """
    OK = 'ok'
    ERROR = 'error'
    NO_ANSWER = 'cut'
    NOT_CONNECTED = 'not-connected'


class RunGuard(abc.ABC):
    """Decides whether requests can run and is notified when they end."""

    @abc.abstractmethod
    def can_run(self) -> bool:
        """Returns False while this agent must not run any request."""

    @abc.abstractmethod
    def try_retry(self) -> bool:
        """Records a retry if the budget and the target's rate allow one."""

    @abc.abstractmethod
    def on_request_finished(self, ctx: request_context.RequestContext,
                            end: 'RunOutcome', latency_ms: int) -> None:
        """Records the end of a request that held a slot.

        Args:
          ctx: The request.
          end: How the request ended.
          latency_ms: Time from the start to the end.
        """


class RequestRunFilter(filter.Filter):
    """Calls the target; as the last filter of the chain it always answers.

    Only a GET is retried, because a late copy of a PUT or DELETE could undo a
    newer request.

    Args:
      target: The target.
      clock: Source of the current time.
      guard: Decides whether requests can run and is notified when they end.
    """

    def __init__(self, target: ports.Target, clock: clock_lib.Clock,
                 guard: RunGuard):
        self._target = target
        self._clock = clock
        self._guard = guard

    @defer.inlineCallbacks
    def apply(self, ctx: request_context.RequestContext):
        started_ms = self._clock.now_ms()
        end = RunOutcome.NO_ANSWER
        try:
            if not self._guard.can_run():
                end = RunOutcome.ERROR
                return filter.Answer(request_context.make_refusal(ctx))
            answer = yield self._call_with_retry(ctx)
            end = _run_outcome(answer)
            return filter.Answer(to_response(ctx, answer))
        except errors.TargetError:
            return filter.Answer(request_context.OUTCOME_UNKNOWN_REFUSAL)
        finally:
            self._guard.on_request_finished(ctx, end,
                                            self._clock.now_ms() - started_ms)

    @defer.inlineCallbacks
    def _call_with_retry(self, ctx: request_context.RequestContext):
        try:
            answer = yield self._target.call(self._target_request(ctx))
            return answer
        except errors.TargetError:
            if not self._should_retry(ctx):
                raise
        answer = yield self._target.call(self._target_request(ctx))
        return answer

    def _should_retry(self, ctx: request_context.RequestContext) -> bool:
        return (ctx.request.method == 'GET' and
                ctx.deadline_at_ms > self._clock.now_ms() and
                self._guard.can_run() and self._guard.try_retry())

    def _target_request(
            self, ctx: request_context.RequestContext) -> ports.TargetRequest:
        remaining_ms = max(1, ctx.deadline_at_ms - self._clock.now_ms())
        return ports.TargetRequest(ctx.request.method, ctx.request.path,
                                   ctx.request.body, ctx.customer, ctx.service,
                                   ctx.request.key, remaining_ms)


def to_response(ctx: request_context.RequestContext,
                answer: ports.TargetAnswer) -> codes.Response:
    """Returns the response to the caller.

    The outcome of a request is unknown if the target answered 503 or 504
    without stating that it did not run the request.
    """
    if answer.did_not_run:
        return request_context.make_refusal(ctx)
    if answer.status in _UNKNOWN_STATUSES:
        return request_context.OUTCOME_UNKNOWN_REFUSAL
    if answer.status == _MISDIRECTED:
        return codes.error(aiocoap.BAD_GATEWAY, 'misdirected')
    return codes.Response(
        codes.code_from_http_status(ctx.request.method, answer.status),
        answer.body)


def _run_outcome(answer: ports.TargetAnswer) -> RunOutcome:
    if answer.status == ports.NOT_CONNECTED:
        return RunOutcome.NOT_CONNECTED
    return (RunOutcome.OK
            if answer.status < FIRST_SERVER_ERROR else RunOutcome.ERROR)
