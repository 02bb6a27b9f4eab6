"""Actions that the flow controllers return for their process to execute."""

import typing

from figdrum.core import ids
from figdrum.flows import target


class SendToTarget(typing.NamedTuple):
    """Send a datagram to the agent's target.

    Attributes:
      raw: The datagram.
    """
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
    """Call the controller's `on_timer` after a delay.

    Attributes:
      delay_ms: Delay in ms.
    """
    delay_ms: int


class ProbeTarget(typing.NamedTuple):
    """Query the target's health endpoint."""


class IdentifyTarget(typing.NamedTuple):
    """Ask the target's health endpoint for the name of the target."""


class RefuseHeartbeat(typing.NamedTuple):
    """Answer the target's request with an error, since it had no effect."""


class SaveRegistration(typing.NamedTuple):
    """Write the agent's current registration to the store."""


class CheckStoreEra(typing.NamedTuple):
    """Check what is stored, if the store was restored and this is not known.

    Attributes:
      era: Era of the store that another node knows of.
    """
    era: int


class RefreshConfiguration(typing.NamedTuple):
    """Read the configuration again, since other nodes have a newer version."""


class ReadConfiguration(typing.NamedTuple):
    """Read what the store has now, and pass on a configuration that is new.

    `Balancer.on_configuration_read` is called afterwards, also if the store
    cannot be read.
    """


class ReadRegistrations(typing.NamedTuple):
    """Read what the store has now, and pass on registrations that are new.

    `Balancer.on_registrations_read` is called afterwards, also if the store
    cannot be read.
    """


class ObserveHistogram(typing.NamedTuple):
    """Add a value to a histogram.

    Attributes:
      name: Name of the histogram.
      value: The value, in ms.
    """
    name: str
    value: int


class DoubtRegistration(typing.NamedTuple):
    """Mark the registration of an unreachable agent in the store.

    Attributes:
      name: Name of the registration.
      registration: The registration.
    """
    name: str
    registration: target.Registration


class RemoveRegistration(typing.NamedTuple):
    """Remove a registration that was marked and not written since.

    Attributes:
      name: Name of the registration.
    """
    name: str


class VerifyRegistration(typing.NamedTuple):
    """Read the agent's registration, and write it again if it has changed."""


class LogEvent(typing.NamedTuple):
    """Write a line to the log.

    Attributes:
      event: Name of the event.
      fields: Values of the log fields, by name.
    """
    event: str
    fields: dict[str, typing.Any]


Action = (SendToTarget | SendToClient | SendToPeer | StartTimer | ProbeTarget |
          IdentifyTarget | RefuseHeartbeat | SaveRegistration | CheckStoreEra |
          RefreshConfiguration | ReadConfiguration | ReadRegistrations |
          ObserveHistogram | RemoveRegistration | LogEvent)
Actions = list[Action]
