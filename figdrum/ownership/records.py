"""What an agent remembers of a flow."""

import typing

from figdrum.core import states


class Hold(typing.NamedTuple):
    """This agent holds the flow.

    Attributes:
      tentative: True after the agent was paused, until the other members
        have been asked whether one of them took the flow over.
      epoch: Number of the inquiry of a tentative holder.
    """
    tentative: bool = False
    epoch: int = 0


class Pointer(typing.NamedTuple):
    """Packets of the flow go on to another member.

    Attributes:
      to: Name of the member.
      incarnation: Its incarnation when the pointer was set.
    """
    to: str
    incarnation: int


class RefusalRecord(typing.NamedTuple):
    """The datagram was refused, and later copies of it are too.

    Attributes:
      refusal: What the caller is told.
      visited: Members that had passed the datagram on. Every refusal goes
        back through them, so that each has a fence before the caller hears.
    """
    refusal: states.Refusal
    visited: tuple[str, ...] = ()


class Pending(typing.NamedTuple):
    """This agent asks the other members whether one holds the flow.

    Attributes:
      epoch: Number of the inquiry. Answers to an earlier one do not count.
    """
    epoch: int = 0


Record = Hold | Pointer | RefusalRecord | Pending | None
