"""What the controllers of flows ask their process to do."""

import typing

from figdrum.core import ids


class SendToTarget(typing.NamedTuple):
    """Hand a datagram to the agent's target."""
    raw: bytes


class SendToClient(typing.NamedTuple):
    """Send a datagram to a client.

    Attributes:
      host: The client's IPv4 address.
      raw: The datagram.
    """
    host: str
    raw: bytes


class SendToPeer(typing.NamedTuple):
    """Send a message to a balancer or an agent.

    Attributes:
      address: Its packet address.
      data: The encoded message.
    """
    address: ids.Address
    data: bytes


class StartTimer(typing.NamedTuple):
    """Call the controller's `on_timer` after a time.

    Attributes:
      delay_ms: The time.
    """
    delay_ms: int


class ProbeTarget(typing.NamedTuple):
    """Ask the target's health endpoint whether the target lives."""


class SaveRegistration(typing.NamedTuple):
    """Bring the agent's registration in the store up to date."""


class RefreshConfiguration(typing.NamedTuple):
    """Read the configuration again: others have a newer one."""


class ObserveHistogram(typing.NamedTuple):
    """Add a value to a histogram.

    Attributes:
      name: Name of the histogram.
      value: The value, in ms.
    """
    name: str
    value: int


class RemoveRegistration(typing.NamedTuple):
    """Remove the registration of an agent that is gone from the store.

    Attributes:
      name: Name of the registration.
    """
    name: str


class LogEvent(typing.NamedTuple):
    """Write a line to the log.

    Attributes:
      event: Name of the event.
      fields: What decided it, by name.
    """
    event: str
    fields: dict[str, typing.Any]


Action = (SendToTarget | SendToClient | SendToPeer | StartTimer | ProbeTarget |
          SaveRegistration | RefreshConfiguration | ObserveHistogram |
          RemoveRegistration | LogEvent)
Actions = list[Action]
