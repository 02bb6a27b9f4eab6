"""Lets a request pass when the target has a slot for it."""

import abc

from twisted.internet import defer

from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import request_context


class SlotProvider(abc.ABC):
    """Hands out the target's slots."""

    @abc.abstractmethod
    def acquire(self, ctx: request_context.RequestContext) -> defer.Deferred:
        """Returns a Deferred of `Pass` when the request may start, or of
        `Answer` when it cannot start in time."""


class RequestSlotFilter(filter.Filter):
    """Waits for a slot."""

    def __init__(self, slots: SlotProvider):
        self._slots = slots

    def apply(self, ctx: request_context.RequestContext) -> defer.Deferred:
        return self._slots.acquire(ctx)
