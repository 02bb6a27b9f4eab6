"""A caller's request on its way through the agent's filters."""

import typing

from figdrum.coap import codes
from figdrum.coap import request as request_lib
from figdrum.core import ids
from figdrum.core import states


class RequestContext(typing.NamedTuple):
    """A request and what the filters learned about it.

    Attributes:
      number: Number of the request at this agent, unique.
      flow: Flow of the caller.
      customer: Customer of the flow.
      service: Service that the balancer routed the packet to.
      request: The request.
      deadline_at_ms: Time by which the answer is of use.
      outcome_unknown: True when an earlier copy may have run somewhere.
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
        """True if a second run of the request does no harm."""
        return self.request.method != 'POST'


def make_refusal(ctx: RequestContext) -> codes.Response:
    """Returns the refusal of a request that this agent has not run.

    It says did-not-run only where no other agent can have run a copy: with a
    claim for a request with a key, without a doubt about the flow for others.
    """
    certain = ctx.claimed if not ctx.is_idempotent else not ctx.outcome_unknown
    return codes.refusal(states.Refusal.DID_NOT_RUN if certain else states.
                         Refusal.OUTCOME_UNKNOWN)


OUTCOME_UNKNOWN_REFUSAL = codes.refusal(states.Refusal.OUTCOME_UNKNOWN)
"""The refusal of a request that may have run."""
