"""States of a target, its heartbeats and its agent's registration."""

import enum
import typing

from figdrum.core import ids


class TargetState(enum.Enum):
    """State of a target; only a READY one accepts new flows.

    A FAILING target is ready but breaks off requests. Only reports have this
    state. A LEFT target has said itself that it exits, so that its flows end;
    reports have DOWN in place of it, which older balancers can decode.
    """
    UNKNOWN = 'unknown'
    READY = 'ready'
    DRAINING = 'draining'
    FAILING = 'failing'
    DOWN = 'down'
    LEFT = 'left'


class RefusalReason(enum.Enum):
    """Why an opening packet was refused.

    RETURNED is the target's refusal. BUSY is only for the last copy of an
    opening packet that no target may decline.
    """
    OTHER_SERVICE = 'other-service'
    NOT_READY = 'not-ready'
    FAILING = 'failing'
    NOT_REGISTERED = 'not-registered'
    COLD = 'cold'
    ZONE_OUT = 'zone-out'
    RETURNED = 'returned'
    BUSY = 'busy'


class Registration(typing.NamedTuple):
    """An agent's entry in the store.

    Attributes:
      agent: Address of the agent's packet port.
      zone: Availability zone of the agent and its target.
      service: Service of the target.
      target: Identity of the target's incarnation, empty if unknown.
      state: State of the target when the entry was written.
      is_cold: Whether the target was cold then.
      is_doubted: Whether a balancer has not heard the agent for long, and will
        remove the entry unless the agent writes it again.
      message_version: Version of the messages that the agent can decode.
    """
    agent: ids.Address
    zone: ids.ZoneName
    service: ids.ServiceName
    target: str
    state: TargetState
    is_cold: bool
    is_doubted: bool = False
    message_version: int = 1


class Heartbeat(typing.NamedTuple):
    """A target's report of its own state.

    Attributes:
      target: Identity of the target's incarnation.
      service: Service that the target serves.
      state: READY or DRAINING.
      slots: Requests that it processes in parallel.
      warmup_left_ms: Remaining warm-up time in ms.
      sequence: Number that increases with each heartbeat of an incarnation.
    """
    target: str
    service: ids.ServiceName
    state: TargetState
    slots: int
    warmup_left_ms: int
    sequence: int
