"""Checks requests against the customer's contract."""

import collections.abc

import aiocoap

from figdrum.coap import codes
from figdrum.contracts import state
from figdrum.core import ids
from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import request_context


class RequestContractFilter(filter.Filter):
    """Answers 4.03 to a request that no contract in force allows.

    The balancer has checked the packet already, but the agent may know a later
    contract change, which may have come after the flow was admitted.

    Args:
      service: Service of the target.
      contracts: Returns the agent's contract state.
    """

    def __init__(self, service: ids.ServiceName,
                 contracts: collections.abc.Callable[[], state.ContractState]):
        self._service = service
        self._contracts = contracts

    def apply(self, ctx: request_context.RequestContext) -> filter.Verdict:
        allowed = (ctx.service == self._service and self._contracts().allows(
            ctx.customer, ctx.service, ctx.flow.src_host))
        if allowed:
            return filter.Pass(ctx)
        return filter.Answer(codes.error(aiocoap.FORBIDDEN, 'contract'))
