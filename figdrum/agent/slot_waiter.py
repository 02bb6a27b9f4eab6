"""Requests that wait for a slot of the target."""

import typing

from twisted.internet import defer

from figdrum.admission import controller
from figdrum.core import clock as clock_lib
from figdrum.core import ports
from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import request_context
from figdrum.filters import request_slot


class _WaitingRequest(typing.NamedTuple):
    ctx: request_context.RequestContext
    done: defer.Deferred


class SlotWaiter(request_slot.SlotProvider):
    """Starts waiting requests as admission allows.

    Args:
      clock: Source of the time.
      timers: Source of timers.
      admission: Decides which request starts when.
      metrics: Takes counters.
    """

    def __init__(self, clock: clock_lib.Clock, timers: ports.Timers,
                 admission: controller.AdmissionController,
                 metrics: typing.Any):
        self._clock = clock
        self._timers = timers
        self._admission = admission
        self._metrics = metrics
        self._waiting: dict[int, _WaitingRequest] = {}
        self._timer: typing.Any = None

    def acquire(self, ctx: request_context.RequestContext) -> defer.Deferred:
        offer = self._admission.offer(self._clock.now_ms(), ctx.number,
                                      ctx.customer, ctx.deadline_at_ms,
                                      ctx.background)
        if offer.denial is not None:
            self._metrics.incr(f'agent.refused.{offer.denial.value}')
            return defer.succeed(
                filter.Answer(request_context.make_refusal(ctx)))
        done: defer.Deferred = defer.Deferred()
        self._waiting[ctx.number] = _WaitingRequest(ctx, done)
        if offer.displaced is not None:
            self._refuse(offer.displaced, 'displaced')
        self.start_requests()
        return done

    def start_requests(self) -> None:
        """Starts requests that admission lets start; refuses expired ones."""
        now_ms = self._clock.now_ms()
        for number in self._admission.pop_expired(now_ms):
            self._refuse(number, 'expired')
        while start := self._admission.start_next(now_ms):
            waiting = self._waiting.pop(start.name)
            waiting.done.callback(filter.Pass(waiting.ctx))
        self._set_timer(now_ms)

    def _refuse(self, number: int, reason: str) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is not None:
            self._metrics.incr(f'agent.refused.{reason}')
            waiting.done.callback(
                filter.Answer(request_context.make_refusal(waiting.ctx)))

    def _set_timer(self, now_ms: int) -> None:
        next_ms = self._admission.next_start_ms(now_ms)
        if next_ms is None or next_ms <= now_ms or self._timer is not None:
            return
        self._timer = self._timers.call_later(next_ms - now_ms, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.start_requests()
