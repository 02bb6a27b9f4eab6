"""Actions that the ownership decision asks an agent to carry out."""

import enum
import typing

from figdrum.core import ids
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.messages import datagram


class DropReason(enum.Enum):
    """Why a packet was dropped.

    Attributes:
      FENCED: This agent may not decide, as it is not a live member of a
        list.
      NO_HOLDER: The packet cannot start a flow, and no member that it has not
        visited is left to ask for the flow's holder.
      PENDING: A copy from the caller arrived while this agent's inquiry about
        the flow runs.
      STALE_REFUSAL: The refusal is not expected any more by the agent that
        forwarded the packet.
      STALE_ASKER: The packet belongs to an inquiry of a member that has left or
        has another incarnation now, or it is the reply to an inquiry of this
        agent that is no longer the current one.
      TABLE_FULL: The flow is not in the flow table, which is full.
      TAKEOVER: A member that is marked as lost may still hold the flow, so a
        takeover must be delayed.
      WRONG_SERVICE: The packet is for another service than this agent's.
      YIELDED: Another member inquired about the flow during this agent's
        inquiry. This agent has precedence, and the asker is notified that it
        must yield.
    """
    FENCED = 'fenced'
    NO_HOLDER = 'no-holder'
    PENDING = 'pending'
    STALE_REFUSAL = 'stale-refusal'
    STALE_ASKER = 'stale-asker'
    TABLE_FULL = 'table-full'
    TAKEOVER = 'takeover'
    WRONG_SERVICE = 'wrong-service'
    YIELDED = 'yielded'


class Deliver(typing.NamedTuple):
    """Process the packet here.

    Attributes:
      packet: The packet.
      started: Whether it is the first packet of a new flow.
    """
    packet: datagram.Packet
    started: bool = False


class Send(typing.NamedTuple):
    """Send a message to another member."""
    to: service_list.Member
    message: datagram.Message


class Refuse(typing.NamedTuple):
    """Answer the caller with a refusal."""
    packet: datagram.Packet
    refusal: states.Refusal


class Drop(typing.NamedTuple):
    """Discard the packet and count it under `reason`."""
    packet: datagram.Packet
    reason: DropReason


class FetchList(typing.NamedTuple):
    """Fetch the service's list, then decide on the packet again."""
    packet: datagram.Packet


class Offer(typing.NamedTuple):
    """Offer a held flow to another member before leaving.

    Attributes:
      to: Member that the flow is offered to.
      flow: The flow.
      attempt: Number of times that all members have declined, sent with the
        offer; see `datagram.Handover`.
    """
    to: service_list.Member
    flow: ids.FlowKey
    attempt: int


class Release(typing.NamedTuple):
    """Discard the agent's state of the flow, which it no longer holds.

    Its observations end, and it no longer counts in admission.
    """
    flow: ids.FlowKey


Action = Deliver | Send | Refuse | Drop | FetchList | Offer | Release
