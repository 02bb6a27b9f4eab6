"""Flows that this agent holds, and their handover to other agents."""

import collections.abc

from figdrum.admission import controller
from figdrum.agent import claim_service
from figdrum.agent import drain
from figdrum.agent import environment
from figdrum.agent import reply_routes
from figdrum.agent import request_handler as request_handler_lib
from figdrum.coap import server
from figdrum.core import ids
from figdrum.membership import service_list
from figdrum.messages import codec
from figdrum.messages import datagram
from figdrum.ownership import actions
from figdrum.ownership import owner as owner_lib


class HeldFlows(drain.DrainableAgent):
    """Tracks the flows held here and hands them over with their state.

    Args:
      name: The agent's name.
      env: The agent's clock, network and metrics.
      owner: Decides which flows this agent holds.
      admission: Counts the flows.
      routes: Balancers that carry the replies of the flows.
      request_handler: Holds the exchanges and observations of the flows.
      claims: Holds the claims that a leaving agent transfers.
    """

    def __init__(self, name: ids.AgentName, env: environment.Environment,
                 owner: owner_lib.Owner,
                 admission: controller.AdmissionController,
                 routes: reply_routes.ReplyRoutes,
                 request_handler: request_handler_lib.RequestHandler,
                 claims: claim_service.ClaimService):
        self._name = name
        self._env = env
        self._owner = owner
        self._admission = admission
        self._routes = routes
        self._request_handler = request_handler
        self._claims = claims
        self._held: dict[ids.FlowKey, ids.CustomerId] = {}

    def __len__(self) -> int:
        return len(self._held)

    def items(self) -> tuple[tuple[ids.FlowKey, ids.CustomerId], ...]:
        """Returns the flows and their customers."""
        return tuple(self._held.items())

    def add(self, now_ms: int, flow: ids.FlowKey,
            customer: ids.CustomerId) -> None:
        """Adds a flow unless it is held already."""
        if flow not in self._held:
            self._held[flow] = customer
            self._admission.on_flow_admitted(now_ms, customer)

    def remove(self, flow: ids.FlowKey) -> None:
        """Removes a flow that ended, moved or is held by another agent."""
        customer = self._held.pop(flow, None)
        if customer is not None:
            self._admission.on_flow_ended(customer)
        self._request_handler.forget(flow)

    def take_over(self, now_ms: int, message: datagram.Handover,
                  decided: collections.abc.Iterable[actions.Action]) -> None:
        """Takes over an offered flow if the owner accepted it.

        Repeated offers of a held flow have no effect.
        """
        accepted = any(
            isinstance(action, actions.Send) and
            isinstance(action.message, datagram.HandoverReply) and
            action.message.accepted for action in decided)
        if not accepted or message.flow in self._held:
            return
        customer = ids.CustomerId(message.customer)
        self.add(now_ms, message.flow, customer)
        if message.balancer[0]:
            self._routes.set_balancer(message.flow, message.balancer)
        self._request_handler.take_over(
            message.flow, customer,
            server.FlowSnapshot(message.observations, message.sequence,
                                message.refused))

    def offers(self):
        return self._owner.offers(self._env.clock.now_ms())

    def send_offer(self, offer: actions.Offer) -> None:
        state = self._request_handler.handover(offer.flow)
        balancer = self._routes.choose(self._env.clock.now_ms(), offer.flow)
        message = datagram.Handover(leaving_member=self._name,
                                    flow=offer.flow,
                                    customer=self._held.get(offer.flow, ''),
                                    balancer=balancer or ('', 0),
                                    observations=state.observations,
                                    sequence=state.sequence,
                                    attempt=offer.attempt,
                                    refused=state.refused)
        self._env.peers.send(offer.to.address, codec.encode(message))

    def send_claim_copy(self, to: service_list.Member,
                        claim: datagram.Claim) -> None:
        self._claims.send_copy(to, claim)

    def pending_copies(self) -> int:
        return self._claims.pending_copies

    def flow_count(self) -> int:
        return len(self._held)

    def has_open_requests(self) -> bool:
        slots = self._admission.slots
        return bool(slots.running or slots.waiting or
                    self._request_handler.open_count)

    def start_claim_transfer(self):
        return self._claims.start_transfer()

    def stop_requests(self) -> None:
        self._admission.requests_stopped = True

    def record_broken_flows(self, count: int) -> None:
        self._env.metrics.incr('agent.broken_flows', count)
