"""What the controllers of flows ask their process to do."""

import typing

from figdrum.core import ids


class ToTarget(typing.NamedTuple):
    """Hand a datagram to the agent's target."""
    raw: bytes


class ToClient(typing.NamedTuple):
    """Send a datagram to a client.

    Attributes:
      host: The client's IPv4 address.
      raw: The datagram.
    """
    host: str
    raw: bytes


class ToPeer(typing.NamedTuple):
    """Send a message to a balancer or an agent.

    Attributes:
      address: Its packet address.
      data: The encoded message.
    """
    address: ids.Address
    data: bytes


class Wake(typing.NamedTuple):
    """Call the controller's `on_due` after a time.

    Attributes:
      delay_ms: The time.
    """
    delay_ms: int


class Probe(typing.NamedTuple):
    """Ask the target's health endpoint whether the target lives."""


class Register(typing.NamedTuple):
    """Bring the agent's registration in the store up to date."""


class Refresh(typing.NamedTuple):
    """Read the configuration again: others have a newer one."""


class Measure(typing.NamedTuple):
    """Add a value to a histogram.

    Attributes:
      name: Name of the histogram.
      value: The value, in ms.
    """
    name: str
    value: int


class Forget(typing.NamedTuple):
    """Remove the registration of an agent that is gone from the store.

    Attributes:
      name: Name of the registration.
    """
    name: str


class Note(typing.NamedTuple):
    """Write a line to the log.

    Attributes:
      event: Name of the event.
      fields: What decided it, by name.
    """
    event: str
    fields: dict[str, typing.Any]


Action = (ToTarget | ToClient | ToPeer | Wake | Probe | Register | Refresh |
          Measure | Forget | Note)
Actions = list[Action]
