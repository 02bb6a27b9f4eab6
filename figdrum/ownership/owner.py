"""The controller of an agent's flows.

Explanation
===========

`Owner` keeps the flow table and the agent's membership status, and decides on
packets and messages of other members. It returns actions for the agent to carry
out; it does no I/O itself and is told the time with each call.
"""

import collections.abc
import typing

from figdrum.core import ids
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.ownership import actions
from figdrum.ownership import admission_check
from figdrum.ownership import decision
from figdrum.ownership import flow_table
from figdrum.ownership import membership_status
from figdrum.ownership import offers
from figdrum.ownership import records
from figdrum.routing import rendezvous

# After this time the caller's next copy starts the inquiry again, in case a
# member failed while it had the packet of the inquiry.
INQUIRY_TIMEOUT_MS = 1_000

# Three heartbeat periods, and three times the gap by which a paused member
# notices its own pause.
SUSPECT_AFTER_MS = 1_500

Actions = tuple[actions.Action, ...]


class Owner:
    """Decides which flows this agent holds."""

    def __init__(self,
                 name: ids.AgentName,
                 service: ids.ServiceName,
                 zone: ids.ZoneName,
                 capacity: int = flow_table.DEFAULT_CAPACITY):
        """Initializes the controller of an agent that has not joined yet.

        Args:
          name: The agent's name.
          service: Service of the agent's target.
          zone: The agent's availability zone.
          capacity: Maximum number of records in the flow table.
        """
        self._name = name
        self._service = service
        self._zone = zone
        self._table = flow_table.FlowTable(capacity)
        self._status: membership_status.MembershipStatus | None = None
        self._list = service_list.ServiceList.empty(service)
        self._zones_out: frozenset[str] = frozenset()
        self._heard_ms: dict[str, int] = {}
        self._inquiry_started_ms: dict[ids.FlowKey, int] = {}
        self._last_event_ms: int | None = None
        self._departure_seen_ms: dict[tuple[str, int], int] = {}
        self._offer_states: dict[ids.FlowKey, offers.OfferState] = {}
        self._declined = offers.DeclinedOffers()

    @property
    def list_version(self) -> int:
        """Version of the service's list that this agent knows."""
        return self._list.version

    def held(self) -> list[tuple[ids.FlowKey, ids.CustomerId]]:
        """Returns the flows that this agent holds, with their customers."""
        return self._table.held()

    def phase(self, now_ms: int) -> decision.Phase:
        """Returns what this agent may decide now."""
        if self._status is None:
            return decision.Phase.FENCED
        return self._status.phase(now_ms, self._list, self._zones_out,
                                  self._suspects(now_ms))

    def join(self, now_ms: int, incarnation: ids.Incarnation) -> Actions:
        """Starts a new incarnation and drops the flows of the earlier one."""
        draining = self._status is not None and self._status.draining
        self._status = membership_status.MembershipStatus(
            self._name, incarnation, draining)
        # A balancer may send the list before the platform answers the join.
        if self._list.version >= incarnation:
            self._status = self._status.after_join(now_ms, self._list)
        self._inquiry_started_ms.clear()
        self._offer_states.clear()
        self._last_event_ms = now_ms
        return tuple(actions.Release(hold.flow) for hold in self._table.clear())

    def on_list(self, now_ms: int, members: service_list.ServiceList,
                zones_out: frozenset[str]) -> Actions:
        """Applies a list of the service unless a newer one is known."""
        self._detect_pause(now_ms)
        self._zones_out = zones_out
        if members.version < self._list.version:
            return ()
        is_first_list = self._status is not None and (
            self._list.version < self._status.incarnation <= members.version)
        self._list = members
        self._record_departures(now_ms)
        self._heard_ms = {
            m.name: self._heard_ms.get(m.name, now_ms) for m in members.members
        }
        if is_first_list:
            self._status = self._status.after_join(now_ms, members)
        return ()

    def on_packet(self, now_ms: int, packet: datagram.Packet,
                  admission: admission_check.AdmissionCheck) -> Actions:
        """Decides what to do with a packet of a balancer or another member."""
        self._detect_pause(now_ms)
        if packet.service != self._service:
            return (actions.Drop(packet, actions.DropReason.WRONG_SERVICE),)
        if self._zone in self._zones_out:
            return (actions.Refuse(packet, states.Refusal.OUTCOME_UNKNOWN),)
        view = self._view(now_ms, packet.flow, packet.customer, admission)
        refusal_record = self._table.find_refusal(packet.flow, packet.payload)
        if refusal_record:
            return decision.decide(view, refusal_record, packet).actions
        record = self._table.get(packet.flow)
        if packet.can_start_flow and self._has_inquiry_timed_out(
                now_ms, packet.flow, record):
            # The reason for the inquiry is still valid, so this copy has to
            # inquire again.
            del self._inquiry_started_ms[packet.flow]
            record = None
            packet = packet._replace(must_inquire=True)
        if record is None and self._table.is_full():
            return (actions.Drop(packet, actions.DropReason.TABLE_FULL),)
        decided = decision.decide(view, record, packet)
        self._store_record(now_ms, packet, decided.record)
        return decided.actions

    def on_message(self, now_ms: int, message: datagram.Message,
                   admission: admission_check.AdmissionCheck) -> Actions:
        """Handles a message of another member; other kinds are ignored."""
        self._detect_pause(now_ms)
        if isinstance(message, datagram.Heartbeat):
            return self._on_heartbeat(now_ms, message)
        if isinstance(message, datagram.Refused):
            return self._on_refused(now_ms, message, admission)
        if isinstance(message, datagram.Held):
            return self._on_flow_message(now_ms, message, decision.on_held, '',
                                         admission)
        if isinstance(message, datagram.Handover):
            return self._on_handover(now_ms, message, admission)
        if isinstance(message, datagram.HandoverReply):
            return self._on_handover_reply(now_ms, message, admission)
        return ()

    def on_tick(self, now_ms: int) -> Actions:
        """Expires records; call this every 100 ms."""
        self._detect_pause(now_ms)
        self._declined.expire(now_ms - flow_table.EXCHANGE_LIFETIME_MS)
        return self._release(self._table.expire(now_ms))

    def start_drain(self, now_ms: int) -> None:
        """Stops admitting flows; call `offers` to hand over the held ones."""
        self._detect_pause(now_ms)
        if self._status is not None:
            self._status = self._status._replace(draining=True)

    def offers(self, now_ms: int) -> tuple[actions.Offer, ...]:
        """Returns the offer of each held flow, to be sent until answered."""
        result = []
        suspects = self._suspects(now_ms)
        for flow, _ in self._table.held():
            candidates = [
                m for m in self._list.order(flow.to_bytes(), self._zones_out)
                if m.name != self._name and m.name not in suspects and
                m.state is states.MemberState.ACTIVE
            ]
            offer_state = offers.choose(
                self._offer_states.get(flow, offers.OfferState()), candidates)
            self._offer_states[flow] = offer_state
            if offer_state.to is not None:
                result.append(
                    actions.Offer(offer_state.to, flow, offer_state.attempt))
        return tuple(result)

    def forget(self, now_ms: int) -> Actions:
        """Drops all flows when the zone is taken out.

        From then on the agent inquires as after a pause.
        """
        self._detect_pause(now_ms)
        if self._status is not None:
            self._status = self._status.after_pause(now_ms, self._list)
        self._inquiry_started_ms.clear()
        return self._release(self._table.clear())

    def _release(self, holds: list[flow_table.RemovedHold]) -> Actions:
        for hold in holds:
            self._offer_states.pop(hold.flow, None)
        return tuple(actions.Release(hold.flow) for hold in holds)

    def _record_departures(self, now_ms: int) -> None:
        """Records when a member was first seen as lost, left or in a zone
        taken out.

        Such a member may have forwarded a flow's packets to a member that comes
        after this agent in the flow's order and still holds the flow.
        """
        departed = {
            (m.name, m.incarnation)
            for m in self._list.members
            if m.state in (states.MemberState.LOST,
                           states.MemberState.LEFT) or m.zone in self._zones_out
        }
        self._departure_seen_ms = {
            member_key: self._departure_seen_ms.get(member_key, now_ms)
            for member_key in departed
        }

    def _recently_departed(self, now_ms: int) -> frozenset[str]:
        limit_ms = now_ms - flow_table.EXCHANGE_LIFETIME_MS
        return frozenset(
            name for (name, _), seen_ms in self._departure_seen_ms.items()
            if seen_ms > limit_ms)

    def _detect_pause(self, now_ms: int) -> None:
        """Detects a pause of this process and then applies rule R6.

        Another member may have taken over the flows held here, so they become
        tentative, and open inquiries are ended.
        """
        last_ms, self._last_event_ms = self._last_event_ms, now_ms
        if self._status is None or last_ms is None:
            return
        if now_ms - last_ms >= membership_status.WAKE_GAP_MS:
            self._status = self._status.after_pause(now_ms, self._list)
            self._heard_ms = dict.fromkeys(self._heard_ms, now_ms)
            self._inquiry_started_ms.clear()
            self._table.mark_tentative(self._status.next_inquiry_number)

    def _view(self, now_ms: int, flow: ids.FlowKey, customer: str,
              admission: admission_check.AdmissionCheck) -> decision.View:
        status = self._status or membership_status.MembershipStatus(
            self._name, 0)
        key = flow.to_bytes()
        departed = [
            name for name in self._recently_departed(now_ms)
            if rendezvous.precedes(key, name, self._name)
        ]
        lost = any(
            self._list.find(name).state is states.MemberState.LOST
            for name in departed)
        suspects = self._suspects(now_ms)
        lost_but_heard = frozenset(
            m.name
            for m in self._list.members
            if m.state is states.MemberState.LOST and m.name not in suspects)
        return decision.View(name=self._name,
                             incarnation=status.incarnation,
                             list_version=self._list.version,
                             order=self._list.order(key, self._zones_out),
                             phase=self.phase(now_ms),
                             can_admit=lambda: admission.can_admit(
                                 now_ms, ids.CustomerId(customer)),
                             suspects=suspects,
                             next_inquiry_number=status.next_inquiry_number,
                             amnesic=now_ms < status.amnesic_until_ms,
                             departed_ahead=bool(departed),
                             lost_ahead=lost,
                             lost_but_heard=lost_but_heard,
                             lost_but_heard_ahead=any(
                                 name in lost_but_heard for name in departed))

    def _has_inquiry_timed_out(self, now_ms: int, flow: ids.FlowKey,
                               record: records.Record) -> bool:
        """Returns whether `record` is an inquiry without a timely answer."""
        if not isinstance(record, records.Pending):
            return False
        since_ms = self._inquiry_started_ms.get(flow, now_ms)
        return now_ms - since_ms >= INQUIRY_TIMEOUT_MS

    def _store_record(self, now_ms: int, packet: datagram.Packet,
                      record: records.Record) -> None:
        if isinstance(record, records.Pending):
            self._inquiry_started_ms.setdefault(packet.flow, now_ms)
            self._status = self._status.after_inquiry(record.inquiry_number)
        else:
            self._inquiry_started_ms.pop(packet.flow, None)
        if isinstance(record, records.RefusalRecord):
            self._table.put_refusal(now_ms, packet.flow, packet.payload, record)
            record = None
        self._table.put(now_ms, packet.flow, record,
                        ids.CustomerId(packet.customer))

    def _on_heartbeat(self, now_ms: int,
                      message: datagram.Heartbeat) -> Actions:
        member = self._list.find(message.name)
        if member is None or member.incarnation != message.incarnation:
            return ()
        self._heard_ms[message.name] = now_ms
        if self._status is not None:
            self._status = self._status.after_heartbeat(now_ms, message.name,
                                                        message.list_version)
        return ()

    def _suspects(self, now_ms: int) -> frozenset[str]:
        """Returns the members without a heartbeat for `SUSPECT_AFTER_MS`."""
        limit_ms = now_ms - SUSPECT_AFTER_MS
        return frozenset(name for name, heard_ms in self._heard_ms.items()
                         if heard_ms <= limit_ms and name != self._name)

    def _on_refused(self, now_ms: int, message: datagram.Refused,
                    admission: admission_check.AdmissionCheck) -> Actions:
        packet = message.packet
        view = self._view(now_ms, packet.flow, packet.customer, admission)
        record = self._table.find_refusal(
            packet.flow, packet.payload) or self._table.get(packet.flow)
        decided = decision.on_refused(view, record, message)
        self._store_record(now_ms, packet, decided.record)
        return decided.actions

    def _on_flow_message(self, now_ms: int, message: typing.Any,
                         decide: collections.abc.Callable[...,
                                                          decision.Decision],
                         customer: str,
                         admission: admission_check.AdmissionCheck) -> Actions:
        view = self._view(now_ms, message.flow, customer, admission)
        record = self._table.get(message.flow)
        decided = decide(view, record, message)
        if decided.record != record:
            self._inquiry_started_ms.pop(message.flow, None)
            self._table.put(now_ms, message.flow, decided.record,
                            ids.CustomerId(customer))
        return decided.actions

    def _on_handover(self, now_ms: int, message: datagram.Handover,
                     admission: admission_check.AdmissionCheck) -> Actions:
        if self._declined.is_full():
            return ()
        declined = self._declined.is_declined(message) or self._table.is_full()
        view = self._view(now_ms, message.flow, message.customer, admission)
        decided = decision.on_handover(view, self._table.get(message.flow),
                                       message, declined)
        if any(a.message.accepted for a in decided.actions):
            self._inquiry_started_ms.pop(message.flow, None)
            self._table.put(now_ms, message.flow, decided.record,
                            ids.CustomerId(message.customer))
        elif decided.actions and not self._declined.is_declined(message):
            self._declined.add(now_ms, message)
        return decided.actions

    def _on_handover_reply(
            self, now_ms: int, message: datagram.HandoverReply,
            admission: admission_check.AdmissionCheck) -> Actions:
        offer_state = offers.on_reply(
            self._offer_states.get(message.flow, offers.OfferState()), message)
        if offer_state is None:
            return ()
        self._offer_states[message.flow] = offer_state
        if not message.accepted:
            return ()
        del self._offer_states[message.flow]
        return self._on_flow_message(now_ms, message,
                                     decision.on_handover_reply, '', admission)
