"""Context of the agent's filter chain, and refusals of requests."""

import typing

from figdrum.coap import codes
from figdrum.coap import request as request_lib
from figdrum.core import ids
from figdrum.core import states


class RequestContext(typing.NamedTuple):
    """A request and what the filters found out about it.

    Attributes:
      number: Number of the request, unique at this agent.
      flow: Flow of the caller.
      customer: Customer of the flow.
      service: Service to which the balancer routed the packet.
      request: The request.
      deadline_at_ms: Time after which a response is useless.
      outcome_unknown: True if an earlier copy of the request may have run at
        some agent.
      claimed: True once this agent holds the claim of the request's key.
      background: True for a poll of the agent itself.
    """
    number: int
    flow: ids.FlowKey | None
    customer: ids.CustomerId
    service: ids.ServiceName
    request: request_lib.Request
    deadline_at_ms: int
    outcome_unknown: bool = False
    claimed: bool = False
    background: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether the request's method is idempotent, i.e. is not POST."""
        return self.request.method != 'POST'


def make_refusal(ctx: RequestContext) -> codes.Response:
    """Returns the refusal of a request that this agent has not run.

    It says did-not-run only if no other agent can have run a copy of it. For a
    POST that is so if this agent holds the claim of its key, and for any other
    request if no earlier copy of it may have run. Otherwise the refusal says
    that the outcome is unknown.
    """
    certain = ctx.claimed if not ctx.is_idempotent else not ctx.outcome_unknown
    return codes.refusal(states.Refusal.DID_NOT_RUN if certain else states.
                         Refusal.OUTCOME_UNKNOWN)


OUTCOME_UNKNOWN_REFUSAL = codes.refusal(states.Refusal.OUTCOME_UNKNOWN)
"""Refusal of a request that may have run."""
