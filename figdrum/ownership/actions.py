"""Actions that the ownership decision asks an agent to carry out."""

import enum
import typing

from figdrum.core import ids
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.messages import datagram


class DropReason(enum.Enum):
    """Why a packet was dropped."""
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
    """Process the packet here; `started` marks the first one of a new flow."""
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
      attempt: Number of the attempt, sent with the offer; see
        `datagram.Handover`.
    """
    to: service_list.Member
    flow: ids.FlowKey
    attempt: int


class Release(typing.NamedTuple):
    """Discard the flow's session: this agent no longer holds the flow."""
    flow: ids.FlowKey


Action = Deliver | Send | Refuse | Drop | FetchList | Offer | Release
