"""Typed datagrams between balancers and agents, and between agents.

Explanation
===========

Each message is an immutable named tuple of integers, strings, bytes, booleans
and tuples of them, so that msgpack writes it as an array. `codec` adds the
format version and the type code.
"""

import typing

from figdrum.core import ids


class Packet(typing.NamedTuple):
    """A caller's datagram on its way to the agent that holds its flow.

    Attributes:
      change: Number of the last contract change that the sender knows.
      list_version: Version of the service's list that the sender used.
      customer: Customer whose address the datagram was sent to.
      service: Service of that address.
      flow: Source and destination address.
      can_start_flow: True when the datagram may start a flow.
      balancer: Address of the balancer that takes the reply.
      payload: The datagram, unchanged.
      visited: Agents that passed the packet on, in order.
      skipped: Agents that the balancer passed over because they did not answer
        it. Agents go by their own suspicion; this is for metrics and traces.
      asker: Agent that asks the others whether one holds the flow, or ''.
      asker_incarnation: The asker's incarnation, or 0.
      load_refusals: Agents that could have admitted the flow but for their load.
      outcome_unknown: True when an earlier copy may have run somewhere.
      inquiry_number: Number of the asker's inquiry.
      must_inquire: True when an agent may admit the flow only after asking all
        others, those that passed the packet on included.
      asker_held_flow: True when the asker held the flow before it was paused.
    """
    change: int
    list_version: int
    customer: str
    service: str
    flow: ids.FlowKey
    can_start_flow: bool
    balancer: ids.Address
    payload: bytes
    visited: tuple[str, ...] = ()
    skipped: tuple[str, ...] = ()
    asker: str = ''
    asker_incarnation: int = 0
    inquiry_number: int = 0
    load_refusals: int = 0
    outcome_unknown: bool = False
    must_inquire: bool = False
    asker_held_flow: bool = False


class Reply(typing.NamedTuple):
    """An agent's datagram to a caller, by way of a balancer."""
    flow: ids.FlowKey
    payload: bytes


class Ping(typing.NamedTuple):
    """Asks an agent for a sign of life."""
    nonce: int


class Pong(typing.NamedTuple):
    """Answers `Ping`; `agent` is the sender's name."""
    nonce: int
    agent: str


class Stale(typing.NamedTuple):
    """Tells a sender that it is behind.

    Attributes:
      change: Number of the last contract change that the agent knows.
      service: The agent's service.
      list_version: Version of the service's list that the agent knows.
    """
    change: int
    service: str
    list_version: int


class Held(typing.NamedTuple):
    """Tells an asker which member holds the flow."""
    flow: ids.FlowKey
    holder: str
    incarnation: int


class Refused(typing.NamedTuple):
    """A refusal on its way back through the members that passed the packet.

    Attributes:
      refusal: Value of `states.Refusal`.
      sender: The member that sends it back.
      sender_incarnation: The sender's incarnation.
      packet: The refused packet; its `visited` shrinks on the way back.
    """
    refusal: str
    sender: str
    sender_incarnation: int
    packet: Packet


class Heartbeat(typing.NamedTuple):
    """A member's sign of life to the other members of its list."""
    name: str
    incarnation: int
    list_version: int


class Handover(typing.NamedTuple):
    """Offers a held flow to another member.

    Attributes:
      leaving_member: Name of the leaving member.
      flow: The flow.
      customer: Its customer.
      balancer: Balancer that carried the flow's last packet.
      observations: Encoded CoAP requests that registered observations.
      sequence: The last Observe sequence number sent.
      attempt: Grows by one each time that all members have declined, so that
        the answer to an earlier offer is not taken for one to this.
      refused: Encoded CoAP refusals that say did-not-run, for late copies.
    """
    leaving_member: str
    flow: ids.FlowKey
    customer: str
    balancer: ids.Address
    observations: tuple[bytes, ...]
    sequence: int
    attempt: int = 0
    refused: tuple[bytes, ...] = ()


class HandoverReply(typing.NamedTuple):
    """Accepts or declines a `Handover` of the same attempt."""
    flow: ids.FlowKey
    accepted: bool
    name: str
    incarnation: int
    attempt: int = 0


class Claim(typing.NamedTuple):
    """Asks a member to record who runs the request with a key.

    Attributes:
      nonce: Matches the reply to the question.
      customer: Customer, part of the key.
      key: Idempotency key.
      executor: Agent that wants to run the request.
      incarnation: The executor's incarnation.
      list_version: List version by which the executor chose the members.
      is_copy: True for a copy from a leaving member; any reply acknowledges it.
    """
    nonce: int
    customer: str
    key: str
    executor: str
    incarnation: int
    list_version: int
    is_copy: bool = False


class ClaimReply(typing.NamedTuple):
    """Answers `Claim`.

    Attributes:
      nonce: The question's nonce.
      member: Name of the answering member.
      verdict: Value of `idempotency.claim_registry.Verdict`.
      executor: The recorded executor when the key is taken, else ''.
      incarnation: The recorded executor's incarnation, else 0.
      list_version: List version that the member knows.
    """
    nonce: int
    member: str
    verdict: str
    executor: str
    incarnation: int
    list_version: int


class AnswerQuery(typing.NamedTuple):
    """Asks the executor of a key for the stored or coming answer."""
    nonce: int
    customer: str
    key: str
    deadline_ms: int


class AnswerQueryReply(typing.NamedTuple):
    """The executor's answer.

    Attributes:
      nonce: The question's nonce.
      known: False when the executor has no record of the key.
      code: CoAP response code.
      body: Response payload.
    """
    nonce: int
    known: bool
    code: int
    body: bytes


Message = (Packet | Reply | Ping | Pong | Stale | Held | Refused | Heartbeat |
           Handover | HandoverReply | Claim | ClaimReply | AnswerQuery |
           AnswerQueryReply)
