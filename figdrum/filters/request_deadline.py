"""Refuses requests whose deadline has passed."""

from figdrum.core import clock as clock_lib
from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import request_context


class RequestDeadlineFilter(filter.Filter):
    """Refuses a request whose deadline has passed.

    Args:
      clock: Source of the current time.
    """

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock

    def apply(self, ctx: request_context.RequestContext) -> filter.Verdict:
        if ctx.deadline_at_ms > self._clock.now_ms():
            return filter.Pass(ctx)
        return filter.Answer(request_context.make_refusal(ctx))
