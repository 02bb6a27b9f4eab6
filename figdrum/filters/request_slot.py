"""Delays a request until the target has a free slot."""

import abc

from twisted.internet import defer

from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import request_context


class SlotProvider(abc.ABC):
    """Assigns the target's slots to requests."""

    @abc.abstractmethod
    def acquire(self, ctx: request_context.RequestContext) -> defer.Deferred:
        """Returns a Deferred that fires when the request is decided.

        Its result is `Pass` when the request can start, or `Answer` if it
        cannot start in time.
        """


class RequestSlotFilter(filter.Filter):
    """Passes a request once it has a slot, or answers with a refusal."""

    def __init__(self, slots: SlotProvider):
        self._slots = slots

    def apply(self, ctx: request_context.RequestContext) -> defer.Deferred:
        return self._slots.acquire(ctx)
