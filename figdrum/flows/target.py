"""What is known about a target and the agent beside it."""

import enum
import typing

from figdrum.core import ids


class TargetState(enum.Enum):
    """Whether a target takes new flows."""
    UNKNOWN = 'unknown'
    READY = 'ready'
    DRAINING = 'draining'
    DOWN = 'down'


class RefusalReason(enum.Enum):
    """Why an agent does not hand an opening packet to its target."""
    OTHER_SERVICE = 'other-service'
    NOT_READY = 'not-ready'
    NOT_REGISTERED = 'not-registered'
    COLD = 'cold'
    ZONE_OUT = 'zone-out'
    RETURNED = 'returned'


class Registration(typing.NamedTuple):
    """An agent's entry in the store.

    Attributes:
      agent: Address of the agent's packet port.
      zone: Availability zone of agent and target.
      service: Service of the target.
      target: Identity of the target's incarnation, empty if unknown.
      state: State of the target when the entry was written.
      is_cold: Whether the target was cold then.
    """
    agent: ids.Address
    zone: ids.ZoneName
    service: ids.ServiceName
    target: str
    state: TargetState
    is_cold: bool


class Heartbeat(typing.NamedTuple):
    """What a target says about itself.

    Attributes:
      target: Identity of the target's incarnation.
      service: Service that it serves.
      state: READY or DRAINING.
      slots: Requests that it runs at once.
      warmup_left_ms: Time for which it stays cold.
      sequence: Grows with each heartbeat of one incarnation.
    """
    target: str
    service: ids.ServiceName
    state: TargetState
    slots: int
    warmup_left_ms: int
    sequence: int
