"""Acquires the claim of the key of a non-idempotent request."""

import abc

import aiocoap
from twisted.internet import defer

from figdrum.coap import codes
from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import request_context


class ClaimProvider(abc.ABC):
    """Acquires claims of idempotency keys."""

    @abc.abstractmethod
    def acquire(self, ctx: request_context.RequestContext) -> defer.Deferred:
        """Returns a Deferred of `Pass` with `claimed` set, or of `Answer`."""


class RequestClaimFilter(filter.Filter):
    """Acquires a claim for each POST; answers 4.00 to a POST without a key."""

    def __init__(self, claims: ClaimProvider):
        self._claims = claims

    def apply(
            self, ctx: request_context.RequestContext
    ) -> filter.Verdict | defer.Deferred:
        if ctx.is_idempotent:
            return filter.Pass(ctx)
        if not ctx.request.key:
            return filter.Answer(codes.error(aiocoap.BAD_REQUEST, 'no key'))
        return self._claims.acquire(ctx)
