"""The controller of an agent's flows.

Explanation
===========

`Owner` keeps the flow table and the agent's standing, and turns packets and
messages of other members into actions. It does no I/O and reads no clock.
"""

import typing

from figdrum.core import ids
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.ownership import actions
from figdrum.ownership import admission_check
from figdrum.ownership import decision
from figdrum.ownership import flow_table
from figdrum.ownership import records
from figdrum.ownership import standing

# The inquiry is repeated by the caller's next copy after this time, in case
# an asked member failed with the packet.
PENDING_TIMEOUT_MS = 1_000

Actions = tuple[actions.Action, ...]


class Owner:
    """Decides which flows this agent holds."""

    def __init__(self,
                 name: ids.AgentName,
                 service: ids.ServiceName,
                 zone: ids.ZoneName,
                 capacity: int = flow_table.DEFAULT_CAPACITY):
        """Makes the controller of an agent that has not joined yet.

        Args:
          name: The agent's name.
          service: The service of its target.
          zone: Its availability zone.
          capacity: Most records that it keeps.
        """
        self._name = name
        self._service = service
        self._zone = zone
        self._table = flow_table.FlowTable(capacity)
        self._standing: standing.Standing | None = None
        self._list = service_list.ServiceList.empty(service)
        self._zones_out: frozenset[str] = frozenset()
        self._suspects: frozenset[str] = frozenset()
        self._pending_since: dict[ids.FlowKey, int] = {}
        self._last_event_ms: int | None = None

    @property
    def list_version(self) -> int:
        """Version of the service's list that this agent knows."""
        return self._list.version

    def held(self) -> list[tuple[ids.FlowKey, ids.CustomerId]]:
        """Returns the flows that this agent holds, with their customers."""
        return self._table.held()

    def phase(self, now_ms: int) -> decision.Phase:
        """Returns what this agent may decide now."""
        if self._standing is None:
            return decision.Phase.FENCED
        return self._standing.phase(now_ms, self._list, self._zones_out)

    def join(self, now_ms: int, incarnation: ids.Incarnation) -> Actions:
        """Starts a new incarnation; what an earlier one held is forgotten."""
        draining = self._standing is not None and self._standing.draining
        self._standing = standing.Standing(self._name, incarnation,
                                           draining).woken(now_ms)
        self._pending_since.clear()
        self._last_event_ms = now_ms
        return tuple(actions.Release(hold.flow) for hold in self._table.clear())

    def on_list(self, now_ms: int, members: service_list.ServiceList,
                zones_out: frozenset[str]) -> Actions:
        """Takes a list that is not older than the known one."""
        self._notice_gap(now_ms)
        self._zones_out = zones_out
        if members.version < self._list.version:
            return ()
        first = self._standing is not None and (
            self._list.version < self._standing.incarnation <= members.version)
        self._list = members
        if first:
            self._standing = self._standing.joined(now_ms, members)
        return ()

    def set_suspects(self, suspects: frozenset[str]) -> None:
        """Sets the members that do not answer this agent."""
        self._suspects = suspects

    def on_packet(self, now_ms: int, packet: datagram.Packet,
                  admission: admission_check.AdmissionCheck) -> Actions:
        """Decides on a packet from a balancer or another member."""
        self._notice_gap(now_ms)
        if packet.service != self._service:
            return (actions.Drop(packet, actions.DropReason.WRONG_SERVICE),)
        if self._zone in self._zones_out:
            return (actions.Refuse(packet, states.Refusal.OUTCOME_UNKNOWN),)
        view = self._view(now_ms, packet.flow, packet.customer, admission)
        fence = self._table.fence(packet.flow, packet.payload)
        if fence:
            return decision.decide(view, fence, packet).actions
        record = self._live_record(now_ms, packet.flow)
        if record is None and self._table.is_full():
            return (actions.Drop(packet, actions.DropReason.TABLE_FULL),)
        decided = decision.decide(view, record, packet)
        self._store(now_ms, packet, decided.record)
        return decided.actions

    def on_message(self, now_ms: int, message: datagram.Message,
                   admission: admission_check.AdmissionCheck) -> Actions:
        """Handles a message of another member; ignores other kinds."""
        self._notice_gap(now_ms)
        if isinstance(message, datagram.Heartbeat):
            return self._on_heartbeat(message)
        if isinstance(message, datagram.Refused):
            return self._on_refused(now_ms, message, admission)
        if isinstance(message, (datagram.Held, datagram.Moved)):
            return self._on_moved(now_ms, message)
        if isinstance(message, datagram.Handover):
            return self._on_handover(now_ms, message, admission)
        if isinstance(message, datagram.HandoverReply):
            return self._on_handover_reply(now_ms, message)
        return ()

    def on_tick(self, now_ms: int) -> Actions:
        """Expires records; to be called each 100 ms."""
        self._notice_gap(now_ms)
        return tuple(
            actions.Release(hold.flow) for hold in self._table.expire(now_ms))

    def start_drain(self, now_ms: int) -> Actions:
        """Stops admitting and offers every held flow to another member."""
        self._notice_gap(now_ms)
        if self._standing is not None:
            self._standing = self._standing._replace(draining=True)
        return self.offers(frozenset())

    def offers(self, declined: frozenset[str]) -> Actions:
        """Returns offers of the held flows to members not in `declined`."""
        offers = []
        for flow, _ in self._table.held():
            to = self._successor(flow, declined)
            if to is not None:
                offers.append(actions.Offer(to, flow))
        return tuple(offers)

    def _notice_gap(self, now_ms: int) -> None:
        """Applies rule R6 when this process was paused."""
        last_ms, self._last_event_ms = self._last_event_ms, now_ms
        if self._standing is None or last_ms is None:
            return
        if now_ms - last_ms >= standing.WAKE_GAP_MS:
            self._standing = self._standing.woken(now_ms)
            self._table.suspend_holds()

    def _view(self, now_ms: int, flow: ids.FlowKey, customer: str,
              admission: admission_check.AdmissionCheck) -> decision.View:
        incarnation = self._standing.incarnation if self._standing else 0
        return decision.View(
            self._name, incarnation, self._list.version,
            self._list.order(flow.to_bytes(), self._zones_out),
            self.phase(now_ms),
            lambda: admission.can_admit(now_ms, ids.CustomerId(customer)),
            self._suspects)

    def _live_record(self, now_ms: int, flow: ids.FlowKey) -> records.Record:
        record = self._table.get(flow)
        if isinstance(record, records.Pending):
            since_ms = self._pending_since.get(flow, now_ms)
            if now_ms - since_ms >= PENDING_TIMEOUT_MS:
                del self._pending_since[flow]
                return None
        return record

    def _store(self, now_ms: int, packet: datagram.Packet,
               record: records.Record) -> None:
        if isinstance(record, records.Pending):
            self._pending_since.setdefault(packet.flow, now_ms)
        else:
            self._pending_since.pop(packet.flow, None)
        if isinstance(record, records.Fence):
            self._table.put_fence(now_ms, packet.flow, packet.payload, record)
            record = None
        self._table.put(now_ms, packet.flow, record,
                        ids.CustomerId(packet.customer))

    def _on_heartbeat(self, message: datagram.Heartbeat) -> Actions:
        if self._standing is not None:
            self._standing = self._standing.acknowledge(message.name,
                                                        message.list_version)
        return ()

    def _on_refused(self, now_ms: int, message: datagram.Refused,
                    admission: admission_check.AdmissionCheck) -> Actions:
        packet = message.packet
        view = self._view(now_ms, packet.flow, packet.customer, admission)
        record = self._table.fence(
            packet.flow, packet.payload) or self._table.get(packet.flow)
        decided = decision.on_refused(view, record, message)
        self._store(now_ms, packet, decided.record)
        return decided.actions

    def _on_moved(self, now_ms: int,
                  message: datagram.Held | datagram.Moved) -> Actions:
        record = self._table.get(message.flow)
        member = self._list.find(message.holder)
        if (message.holder == self._name or member is None or
                member.incarnation != message.incarnation or
                record == records.Hold()):
            return ()
        self._pending_since.pop(message.flow, None)
        self._point(now_ms, message.flow, member)
        if isinstance(record, records.Hold):
            return (actions.Release(message.flow),)
        return ()

    def _point(self, now_ms: int, flow: ids.FlowKey,
               member: service_list.Member) -> None:
        self._table.put(now_ms, flow,
                        records.Pointer(member.name, member.incarnation),
                        ids.CustomerId(''))

    def _on_handover(self, now_ms: int, message: datagram.Handover,
                     admission: admission_check.AdmissionCheck) -> Actions:
        """Accepts a flow of a leaving member if there is room."""
        giver = self._list.find(message.giver)
        if giver is None or self._standing is None:
            return ()
        customer = ids.CustomerId(message.customer)
        held = isinstance(self._table.get(message.flow), records.Hold)
        accepted = held or (self.phase(now_ms) in (decision.Phase.SETTLED,
                                                   decision.Phase.INQUIRING) and
                            not self._table.is_full() and
                            admission.can_admit(now_ms, customer))
        if accepted:
            self._pending_since.pop(message.flow, None)
            self._table.put(now_ms, message.flow, records.Hold(), customer)
        reply = datagram.HandoverReply(message.flow, accepted, self._name,
                                       self._standing.incarnation)
        return (actions.Send(giver, reply),)

    def _on_handover_reply(self, now_ms: int,
                           message: datagram.HandoverReply) -> Actions:
        """Points to the new holder and tells the other members of it."""
        holder = self._list.find(message.name)
        record = self._table.get(message.flow)
        if (not message.accepted or holder is None or
                not isinstance(record, records.Hold)):
            return ()
        self._point(now_ms, message.flow, holder)
        moved = datagram.Moved(message.flow, message.name, message.incarnation)
        others = [
            m for m in self._list.routable(self._zones_out)
            if m.name not in (self._name, message.name)
        ]
        return (actions.Release(message.flow),
                *(actions.Send(m, moved) for m in others))

    def _successor(
            self, flow: ids.FlowKey,
            declined: frozenset[str]) -> typing.Optional[service_list.Member]:
        passed_over = self._suspects.union(declined)
        for member in self._list.order(flow.to_bytes(), self._zones_out):
            if (member.name != self._name and
                    member.state is states.MemberState.ACTIVE and
                    member.name not in passed_over):
                return member
        return None
