"""Records that an agent keeps of a flow or of a refused datagram."""

import typing

from figdrum.core import states


class Hold(typing.NamedTuple):
    """This agent holds the flow.

    Attributes:
      tentative: True after the agent was paused, until an inquiry has shown
        whether another member took the flow over.
      inquiry_number: Number of the inquiry that a tentative holder makes.
    """
    tentative: bool = False
    inquiry_number: int = 0


class Pointer(typing.NamedTuple):
    """Packets of the flow are forwarded to another member.

    Attributes:
      to: Name of the member.
      incarnation: Its incarnation when the pointer was set.
    """
    to: str
    incarnation: int


class RefusalRecord(typing.NamedTuple):
    """A datagram was refused; later copies of it are refused too.

    Attributes:
      refusal: Outcome that the caller is told.
      visited: Members that had forwarded the datagram. Every refusal returns
        through them, so that each has recorded it before the caller is told.
    """
    refusal: states.Refusal
    visited: tuple[str, ...] = ()


class Pending(typing.NamedTuple):
    """This agent is asking the other members whether one holds the flow.

    Attributes:
      inquiry_number: Number of the inquiry. Answers to an earlier one are
        ignored.
    """
    inquiry_number: int = 0


Record = Hold | Pointer | RefusalRecord | Pending | None
