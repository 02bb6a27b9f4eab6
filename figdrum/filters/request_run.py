"""Runs a request at the target and makes the response of its answer."""

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
# Statuses that leave open whether the request ran.
_UNKNOWN_STATUSES = (SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT)
_MISDIRECTED = 421


class RunOutcome(enum.Enum):
    """How a run ended, as far as the target's state shows in it."""
    OK = 'ok'
    ERROR = 'error'
    CUT = 'cut'
    NOT_CONNECTED = 'not-connected'


class RunGuard(abc.ABC):
    """Allows starts and hears of their ends."""

    @abc.abstractmethod
    def can_run(self) -> bool:
        """Returns False when this agent must not run anything."""

    @abc.abstractmethod
    def try_retry(self) -> bool:
        """Records a retry if the budget and the target's rate allow one."""

    @abc.abstractmethod
    def on_request_finished(self, ctx: request_context.RequestContext,
                            end: 'RunOutcome', latency_ms: int) -> None:
        """Takes the end of a request that held a slot."""


class RequestRunFilter(filter.Filter):
    """Calls the target; the last filter, so it always answers.

    Only a GET is tried again: a late copy of a PUT or DELETE could undo a
    newer one.

    Args:
      target: The target.
      clock: Source of the time.
      guard: Allows starts and hears of their ends.
    """

    def __init__(self, target: ports.Target, clock: clock_lib.Clock,
                 guard: RunGuard):
        self._target = target
        self._clock = clock
        self._guard = guard

    @defer.inlineCallbacks
    def apply(self, ctx: request_context.RequestContext):
        started_ms = self._clock.now_ms()
        end = RunOutcome.CUT
        try:
            if not self._guard.can_run():
                end = RunOutcome.ERROR
                return filter.Answer(request_context.make_refusal(ctx))
            answer = yield self._call(ctx)
            end = _end(answer)
            return filter.Answer(to_response(ctx, answer))
        except errors.TargetError:
            return filter.Answer(request_context.OUTCOME_UNKNOWN_REFUSAL)
        finally:
            self._guard.on_request_finished(ctx, end,
                                            self._clock.now_ms() - started_ms)

    @defer.inlineCallbacks
    def _call(self, ctx: request_context.RequestContext):
        try:
            answer = yield self._target.call(self._request(ctx))
            return answer
        except errors.TargetError:
            if not self._may_try_again(ctx):
                raise
        answer = yield self._target.call(self._request(ctx))
        return answer

    def _may_try_again(self, ctx: request_context.RequestContext) -> bool:
        return (ctx.request.method == 'GET' and
                ctx.deadline_at_ms > self._clock.now_ms() and
                self._guard.can_run() and self._guard.try_retry())

    def _request(self,
                 ctx: request_context.RequestContext) -> ports.TargetRequest:
        left_ms = max(1, ctx.deadline_at_ms - self._clock.now_ms())
        return ports.TargetRequest(ctx.request.method, ctx.request.path,
                                   ctx.request.body, ctx.customer, ctx.service,
                                   ctx.request.key, left_ms)


def to_response(ctx: request_context.RequestContext,
                answer: ports.TargetAnswer) -> codes.Response:
    """Returns the response to the caller.

    A 503 or 504 without the mark of a request that did not run leaves the
    outcome open.
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


def _end(answer: ports.TargetAnswer) -> RunOutcome:
    if answer.status == ports.NOT_CONNECTED:
        return RunOutcome.NOT_CONNECTED
    return RunOutcome.OK if answer.status < FIRST_SERVER_ERROR else RunOutcome.ERROR
