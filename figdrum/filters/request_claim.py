"""Lets a non-idempotent request pass only with the claim of its key."""

import abc

import aiocoap
from twisted.internet import defer

from figdrum.coap import codes
from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import request_context


class ClaimProvider(abc.ABC):
    """Obtains claims."""

    @abc.abstractmethod
    def acquire(self, ctx: request_context.RequestContext) -> defer.Deferred:
        """Returns a Deferred of `Pass` with `claimed` set, or of `Answer`."""


class RequestClaimFilter(filter.Filter):
    """Asks for a claim for each POST; a POST without a key gets 4.00."""

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
