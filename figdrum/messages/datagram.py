"""Typed datagrams between balancers and agents, and between agents.

Explanation
===========

Each message is a named tuple of integers, strings, bytes, booleans and tuples
of them, which msgpack encodes as an array. `codec` adds the format version and
the type code.
"""

import typing

from figdrum.core import ids


class Packet(typing.NamedTuple):
    """A caller's datagram, forwarded to the agent that holds its flow.

    Attributes:
      change: Number of the last contract change that the sender has applied.
      list_version: Version of the service's list that the sender used.
      customer: Customer to whose address the datagram was sent.
      service: Service of that address.
      flow: Source and destination address of the datagram.
      can_start_flow: True if the datagram can start a flow.
      balancer: Frame address of the balancer that sends replies to the caller.
      payload: The datagram, unchanged.
      visited: Names of the agents that forwarded the packet, in order.
      skipped: Names of the agents that the balancer skipped because it suspects
        them. Agents use their own suspicions instead; this field is for metrics
        and traces.
      asker: Agent that queries the others whether one holds the flow, or ''.
      asker_incarnation: The asker's incarnation, or 0.
      inquiry_number: Number of the asker's inquiry, or 0.
      load_refusals: Number of agents that did not admit the flow because of
        their load.
      outcome_unknown: True if an earlier copy of the datagram may have run at
        some agent.
      must_inquire: True if an agent can admit the flow only after an inquiry at
        all others, including those that forwarded the packet.
      asker_held_flow: True if the asker held the flow before it was paused.
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
    """A datagram from an agent to a caller, which a balancer forwards.

    Attributes:
      flow: Flow of the caller.
      payload: The datagram to send, unchanged.
    """
    flow: ids.FlowKey
    payload: bytes


class Ping(typing.NamedTuple):
    """Checks whether an agent responds; answered by `Pong`."""
    nonce: int


class Pong(typing.NamedTuple):
    """Answers `Ping`.

    Attributes:
      nonce: The nonce of the `Ping`.
      agent: Name of the sender.
    """
    nonce: int
    agent: str


class Stale(typing.NamedTuple):
    """Notifies a sender that its contracts or its list are behind.

    Attributes:
      change: Number of the last contract change that the agent has applied.
      service: The agent's service.
      list_version: Version of the service's list that the agent knows.
    """
    change: int
    service: str
    list_version: int


class Held(typing.NamedTuple):
    """Notifies an asker which member holds the flow.

    Attributes:
      flow: The flow.
      holder: Name of the member that holds it.
      incarnation: The holder's incarnation.
    """
    flow: ids.FlowKey
    holder: str
    incarnation: int


class Refused(typing.NamedTuple):
    """A refusal, returned through the members that forwarded the packet.

    Attributes:
      refusal: Value of `states.Refusal`.
      sender: Name of the member that sends this message.
      sender_incarnation: The sender's incarnation.
      packet: The refused packet. Each member that handles the refusal removes
        itself from the end of `visited`.
    """
    refusal: str
    sender: str
    sender_incarnation: int
    packet: Packet


class Heartbeat(typing.NamedTuple):
    """Shows the other members of a list that the sender is alive.

    Attributes:
      name: Name of the sender.
      incarnation: The sender's incarnation.
      list_version: Version of the list that the sender knows.
    """
    name: str
    incarnation: int
    list_version: int


class Handover(typing.NamedTuple):
    """Offers a held flow to another member.

    Attributes:
      leaving_member: Name of the leaving member.
      flow: The flow.
      customer: Customer of the flow.
      balancer: Frame address of the balancer that forwarded the flow's last
        packet.
      observations: Encoded CoAP requests that registered observations.
      sequence: The last Observe sequence number sent.
      attempt: Number that increases by one each time that all members have
        declined, so that a reply to an earlier offer is not mistaken for a
        reply to this one.
      refused: Encoded CoAP refusals that say did-not-run, to be repeated to
        late copies of their requests.
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
    """Accepts or declines a `Handover`.

    Attributes:
      flow: The offered flow.
      accepted: Whether the sender now holds the flow.
      name: Name of the sender.
      incarnation: The sender's incarnation.
      attempt: The `attempt` of the `Handover`.
    """
    flow: ids.FlowKey
    accepted: bool
    name: str
    incarnation: int
    attempt: int = 0


class Claim(typing.NamedTuple):
    """Requests a member to record which agent runs the request with a key.

    Attributes:
      nonce: Identifies this message; repeated in the reply.
      customer: Customer; keys of different customers are distinct.
      key: Idempotency key.
      executor: Name of the agent that claims to run the request.
      incarnation: The executor's incarnation.
      list_version: Version of the list by which the executor chose the members.
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
      nonce: The nonce of the `Claim`.
      member: Name of the member that replies.
      verdict: Value of `idempotency.claim_registry.Verdict`.
      executor: The recorded executor if another agent has claimed the key, else
        ''.
      incarnation: The recorded executor's incarnation, else 0.
      list_version: Version of the list that the member knows.
    """
    nonce: int
    member: str
    verdict: str
    executor: str
    incarnation: int
    list_version: int


class AnswerQuery(typing.NamedTuple):
    """Queries the executor of a key for its answer, once there is one.

    Attributes:
      nonce: Identifies this message; repeated in the reply.
      customer: Customer; keys of different customers are distinct.
      key: Idempotency key.
      deadline_ms: Time for which the sender waits for the answer.
    """
    nonce: int
    customer: str
    key: str
    deadline_ms: int


class AnswerQueryReply(typing.NamedTuple):
    """Returns the executor's answer.

    Attributes:
      nonce: The nonce of the `AnswerQuery`.
      known: False if the executor has no record of the key.
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
