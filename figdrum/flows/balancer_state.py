"""State that the parts of a balancer's controller share."""

import typing

from figdrum.core import ids
from figdrum.flows import actions
from figdrum.flows import routes
from figdrum.flows import segment as segment_module
from figdrum.flows import target_view

# Time in ms for which the balancer keeps the record that a flow has ended. It
# covers packets that were in flight when the client was reset.
ENDED_FLOW_TTL_MS = 2_000

# Flows in the balancer's table at most. Each takes about 200 bytes.
MAX_FLOWS = 60_000

# A flow without packets for this time, in ms, is removed. Flows may be
# discarded when they are 60 s old.
IDLE_TIMEOUT_MS = 65_000


class Flow:
    """The agent to which the packets of a flow go.

    Attributes:
      agent: Agent of the target that holds the flow or was chosen for it.
      last_packet_ms: Time of the last packet.
      failed_targets: Names of targets that refused the opening packet or did
        not answer it.
      declined: Requests at the targets that have sent the opening packet back
        because they are busy, by name.
      may_decline: Whether the agent knows that other targets may take the
        opening packet that it got last.
      returned_copies: Numbers of the copies of the opening packet that all
        targets that got them have sent back because they are busy.
      is_accepted: Whether a later packet than the opening packet has come.
      client_first: Number of the opening packet; None if the balancer has not
        seen it.
      opened_ms: Time at which the balancer first saw the flow.
      ack: The client's acknowledgement number in its last packet; None before a
        later packet than the opening packet.
      placed_ms: Time at which the balancer placed the flow; None if it did not,
        or if the client has closed the flow.
    """
    __slots__ = ('agent', 'last_packet_ms', 'failed_targets', 'declined',
                 'may_decline', 'returned_copies', 'is_accepted',
                 'client_first', 'opened_ms', 'ack', 'placed_ms')

    def __init__(self, agent: ids.Address, now_ms: int):
        self.agent = agent
        self.last_packet_ms = now_ms
        self.failed_targets: set[str] = set()
        self.declined: dict[str, int] = {}
        self.may_decline = False
        self.returned_copies: set[int] = set()
        self.is_accepted = False
        self.client_first: int | None = None
        self.opened_ms = now_ms
        self.ack: int | None = None
        self.placed_ms: int | None = None

    def has_number(self, ack: int) -> bool:
        """Returns whether an acknowledgement number may be of this flow."""
        return self.ack is not None and segment_module.is_near(self.ack, ack)

    def is_opened_by(self, now_ms: int,
                     segment: segment_module.Segment) -> bool:
        """Returns whether an opening packet is this flow's or a copy of it.

        A client may use an address and port again for a later flow. Its opening
        packet has another number, unless the client always uses the same one.
        """
        if self.client_first is None:
            return not self.is_accepted
        if self.client_first != segment.seq:
            return False
        copies = segment.ack
        return not self.is_accepted or (copies > 0 and now_ms - self.opened_ms
                                        < segment_module.OPENING_TIMEOUT_MS)


class EndedFlow(typing.NamedTuple):
    """A flow that has ended at its target.

    Attributes:
      until_ms: Time until which the record is kept.
      ack: The client's last acknowledgement number.
    """
    until_ms: int
    ack: int


class BalancerState:
    """What the balancer knows of flows, targets and the configuration.

    Attributes:
      packets: Format of clients' packets.
      zone: Zone of the balancer.
      cfg: The configuration in force; None before the first one.
      zones_out: Zones that operators have taken out.
      flows: Flows whose agent is known, by key.
      ended: Flows that have ended at their targets, by key.
      targets: The registered targets.
    """

    def __init__(self, packets: segment_module.PacketFormat,
                 zone: ids.ZoneName):
        self.packets = packets
        self.zone = zone
        self.cfg: routes.Configuration | None = None
        self.zones_out: frozenset[ids.ZoneName] = frozenset()
        self.flows: dict[bytes, Flow] = {}
        self.ended: dict[bytes, EndedFlow] = {}
        self.targets = target_view.TargetViews()

    def reset_flow(self, key: bytes, ack: int, cause: str) -> actions.Actions:
        """Resets a flow and logs the cause.

        Args:
          key: Key of the flow.
          ack: The client's acknowledgement number.
          cause: Cause for the log.
        """
        return [
            actions.SendToClient(self.packets.client_host(key),
                                 self.packets.build_reset(key, ack)),
            actions.LogEvent('flow reset', {
                'flow': self.packets.describe(key),
                'ack': ack,
                'cause': cause
            })
        ]

    def end_flow(self, now_ms: int, key: bytes, ack: int) -> None:
        """Records that a flow has ended at its target.

        Args:
          now_ms: Time.
          key: Key of the flow.
          ack: The client's last acknowledgement number.
        """
        self.ended[key] = EndedFlow(now_ms + ENDED_FLOW_TTL_MS, ack)

    def expire_ended(self, now_ms: int) -> None:
        """Removes old records of ended flows."""
        for key, ended in tuple(self.ended.items()):
            if ended.until_ms <= now_ms:
                del self.ended[key]

    def expire_flows(self, now_ms: int) -> None:
        """Removes idle flows, and the oldest if there are too many."""
        for key, flow in tuple(self.flows.items()):
            if (now_ms - flow.last_packet_ms > IDLE_TIMEOUT_MS or
                    len(self.flows) > MAX_FLOWS):
                del self.flows[key]
