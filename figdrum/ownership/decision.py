"""Decides which agent holds a flow, one packet or message at a time.

Explanation
===========

`decide` is a pure function of the agent's view, its record of the flow and the
packet. The other public functions do the same for messages of other members.
`Owner` keeps the records; the specification in `spec/ownership.py` calls the
same functions. The rules R3, R4, R7 and R8 of docs/design.md are implemented
here, R1, R2, R5 and R6 by the view that the caller passes in.

Examples
========

A settled agent that is first in the order admits a new flow:

>>> from figdrum.core import ids
>>> me = service_list.Member('a', ('10.0.0.1', 7000), 'muscat-a', 1,
...                          states.MemberState.ACTIVE)
>>> view = View('a', 1, 1, (me,), Phase.SETTLED, lambda: True)
>>> flow = ids.FlowKey('10.1.0.1', 4000, '10.9.0.1', 5683)
>>> packet = datagram.Packet(0, 1, 'al-sahil', 'fieldbook', flow, True,
...                          ('10.0.0.9', 7000), b'')
>>> decide(view, None, packet).record
Hold(tentative=False, inquiry_number=0)

References
==========

Desmouceaux et al., "SRLB: The Power of Choices in Load Balancing with Segment
Routing", ICDCS 2017, for agents that admit or forward a new flow.
"""

import collections.abc
import enum
import typing

from figdrum.core import states
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.ownership import actions
from figdrum.ownership import records

# Power of two choices: a third candidate would improve the balance little and
# cost one more hop.
MAX_LOAD_REFUSALS = 2
# Times that an inquiry follows pointers to the same member, see
# `_should_follow_pointer`.
MAX_INQUIRY_VISITS = 2


class Phase(enum.Enum):
    """What an agent may decide without the other members."""
    JOINING = 'joining'
    INQUIRING = 'inquiring'
    SETTLED = 'settled'
    DRAINING = 'draining'
    FENCED = 'fenced'
    BEHIND = 'behind'


class Rules(typing.NamedTuple):
    """Switches by which the specification disables single rules.

    Attributes:
      pointer_at_passing: R3: an agent that forwards a new flow records a
        pointer to the next member.
      remembered_refusal: R4: an agent that refused a datagram also refuses its
        later copies.
      visited_order: R7: a new flow goes first to the unvisited members that
        are ahead in the flow's order.
      departure_inquiry: R8: an agent inquires before it admits a flow if a
        member ahead of it has departed.
      claim_at_asking: A queried member records a pointer to the asker.
      doubt: An agent that may lack the record of a flow refuses with
        outcome-unknown.
      epochs: Packets of an earlier inquiry than the open one are dropped.
      takeover_delay: A member that is marked as lost but still heard gets time
        to learn of the mark before others take its flows over.
    """
    pointer_at_passing: bool = True
    remembered_refusal: bool = True
    visited_order: bool = True
    departure_inquiry: bool = True
    claim_at_asking: bool = True
    doubt: bool = True
    epochs: bool = True
    takeover_delay: bool = True


ALL_RULES = Rules()


class View(typing.NamedTuple):
    """What an agent knows when it decides on a packet.

    Attributes:
      name: This agent.
      incarnation: Its incarnation.
      list_version: Version of its list.
      order: Routable members in the flow's rendezvous order.
      phase: What this agent may decide without the other members.
      can_admit: Returns whether this agent can admit the flow.
      suspects: Members without a recent heartbeat.
      next_inquiry_number: Number of this agent's next inquiry.
      amnesic: True if this agent restarted or was paused within the copy
        lifetime.
      departed_ahead: True if a member ahead of this agent left, was lost or had
        its zone taken out within the copy lifetime.
      lost_ahead: True if such a member was lost.
      lost_but_heard: Members that are marked as lost although they sent a
        heartbeat recently.
      lost_but_heard_ahead: True if one of them is ahead of this agent.
      rules: Rules in force.
    """
    name: str
    incarnation: int
    list_version: int
    order: tuple[service_list.Member, ...]
    phase: Phase
    can_admit: collections.abc.Callable[[], bool]
    suspects: frozenset[str] = frozenset()
    next_inquiry_number: int = 0
    amnesic: bool = False
    departed_ahead: bool = False
    lost_ahead: bool = False
    lost_but_heard: frozenset[str] = frozenset()
    lost_but_heard_ahead: bool = False
    rules: Rules = ALL_RULES

    def find(self, name: str) -> service_list.Member | None:
        """Returns the routable member called `name`, or None."""
        return next((m for m in self.order if m.name == name), None)

    def is_ahead(self, name: str) -> bool:
        """Returns whether `name` precedes this agent in the flow's order."""
        for member in self.order:
            if member.name in (name, self.name):
                return member.name == name
        return False

    def unvisited(self, packet: datagram.Packet) -> list[service_list.Member]:
        """Returns the other members that are not suspected and that the packet
        has not visited, in the flow's order."""
        excluded = self.suspects.union(packet.visited, (self.name,))
        return [m for m in self.order if m.name not in excluded]


class Decision(typing.NamedTuple):
    """The flow's new record and the actions to carry out."""
    record: records.Record
    actions: tuple[actions.Action, ...]


def decide(view: View, record: records.Record,
           packet: datagram.Packet) -> Decision:
    """Decides what to do with a packet.

    Args:
      view: What the agent knows.
      record: The agent's record of the packet's flow or datagram.
      packet: The packet, as a balancer or another member sent it.

    Returns:
      The new record and the actions.
    """
    if view.phase is Phase.FENCED:
        return _drop(record, packet, actions.DropReason.FENCED)
    if view.phase is Phase.BEHIND:
        return Decision(record, (actions.FetchList(packet),))
    if isinstance(record, records.RefusalRecord) and packet.can_start_flow:
        return refuse(view, packet._replace(visited=record.visited),
                      record.refusal)
    if isinstance(
            record,
            records.Hold) and not (record.tentative and packet.can_start_flow):
        return _deliver_to_holder(view, record, packet)
    if packet.list_version > view.list_version:
        return Decision(record, (actions.FetchList(packet),))
    if _is_inquiry_stale(view, packet):
        return _drop(record, packet, actions.DropReason.STALE_ASKER)
    if view.rules.takeover_delay and _must_delay_takeover(view, record, packet):
        return _drop(record, packet, actions.DropReason.TAKEOVER)
    is_uncertain = view.amnesic or view.lost_ahead or _has_suspect_ahead(
        view, packet)
    packet = packet._replace(list_version=view.list_version,
                             outcome_unknown=packet.outcome_unknown or
                             (view.rules.doubt and is_uncertain))
    must_inquire = packet.must_inquire or _must_inquire(view, packet)
    if isinstance(record, records.Pointer):
        target = view.find(record.to)
        if _is_pointer_valid(view, record, target):
            if _should_follow_pointer(packet, target.name):
                return _forward_along_pointer(view, record, target, packet)
            # That member forwarded the packet without holding the flow, or the
            # inquiry is its own: another member may have become the holder.
            must_inquire = True
        else:
            must_inquire = must_inquire or view.rules.departure_inquiry
            packet = packet._replace(
                outcome_unknown=packet.outcome_unknown or view.rules.doubt)
        # A packet that cannot start a flow keeps the pointer, so that the next
        # request still inquires before the flow is admitted.
        record = None if packet.can_start_flow else record
    packet = packet._replace(must_inquire=must_inquire)
    return _decide_without_pointer(view, record, packet)


def _decide_without_pointer(view: View, record: records.Record,
                            packet: datagram.Packet) -> Decision:
    """Decides on a packet that is not forwarded along a pointer."""
    if not packet.can_start_flow:
        return _search_holder(view, record, packet)
    if isinstance(record, (records.Pending, records.Hold)):
        if packet.asker == view.name:
            return _continue_inquiry(view, record, packet)
        return _decide_during_inquiry(view, record, packet)
    if packet.asker == view.name:
        # This agent yielded the flow to another member after it had started
        # this inquiry, so the answers to it are no longer valid.
        packet = packet._replace(asker='', visited=(), must_inquire=True)
    if packet.asker:
        return _yield_to_asker(view, record, packet)
    return _place_new_flow(view, packet)


def refuse(view: View, packet: datagram.Packet,
           refusal: states.Refusal) -> Decision:
    """Refuses a packet and returns the refusal along the packet's path.

    Every member on the path records the refusal before the caller is told.

    Args:
      view: What the agent knows.
      packet: The packet, with the members that it visited.
      refusal: Outcome to tell the caller.

    Returns:
      The refusal record and the message to the last member visited, or the
      answer to the caller if no other member is left.
    """
    refusal_record = None
    if view.rules.remembered_refusal:
        refusal_record = records.RefusalRecord(refusal, packet.visited)
    visited = list(packet.visited)
    while visited:
        previous = view.find(visited.pop())
        if previous and previous.name != view.name:
            message = datagram.Refused(refusal.value, view.name,
                                       view.incarnation,
                                       packet._replace(visited=tuple(visited)))
            return Decision(refusal_record, (actions.Send(previous, message),))
    return Decision(refusal_record, (actions.Refuse(packet, refusal),))


def on_refused(view: View, record: records.Record,
               refused: datagram.Refused) -> Decision:
    """Records the refusal of a packet that this agent had forwarded."""
    packet = refused.packet
    if not _is_refusal_expected(view, record, refused):
        return _drop(record, packet, actions.DropReason.STALE_REFUSAL)
    refusal = states.Refusal(refused.refusal)
    if isinstance(record, records.RefusalRecord):
        refusal = _less_certain(refusal, record.refusal)
    return refuse(view, packet, refusal)


def _is_refusal_expected(view: View, record: records.Record,
                         refused: datagram.Refused) -> bool:
    """Returns whether a refusal matches what this agent has recorded.

    A refusal that was in flight while its sender restarted, or while this
    agent yielded the flow to another member, may no longer be true.
    """
    packet = refused.packet
    if isinstance(record, records.RefusalRecord):
        return True
    if isinstance(record, records.Pending):
        return (packet.asker == view.name and
                packet.asker_incarnation == view.incarnation and
                packet.inquiry_number == record.inquiry_number)
    return record in (records.Pointer(refused.sender,
                                      refused.sender_incarnation),
                      records.Pointer(packet.asker, packet.asker_incarnation))


def on_held(view: View, record: records.Record,
            held: datagram.Held) -> Decision:
    """Records a pointer to the member that reported that it holds the flow."""
    holder = view.find(held.holder)
    if (held.holder == view.name or holder is None or
            holder.incarnation != held.incarnation or record == records.Hold()):
        return Decision(record, ())
    pointer = records.Pointer(holder.name, holder.incarnation)
    if isinstance(record, records.Hold):
        return Decision(pointer, (actions.Release(held.flow),))
    return Decision(pointer, ())


def on_handover(view: View,
                record: records.Record,
                handover: datagram.Handover,
                declined: bool = False) -> Decision:
    """Accepts or declines a flow that a leaving member offers.

    Args:
      view: What the agent knows.
      record: The agent's record of the flow.
      handover: The offer.
      declined: True if the agent has to decline, in particular an offer that
        it has declined before: the leaving member may have offered the flow
        to another member since.

    Returns:
      The flow's record and the reply; no reply to a member that is not
      routable.
    """
    leaving_member = view.find(handover.leaving_member)
    if leaving_member is None:
        return Decision(record, ())
    has_room = view.phase in (Phase.INQUIRING,
                              Phase.SETTLED) and view.can_admit()
    accepted = not declined and (isinstance(record, records.Hold) or has_room)
    if accepted:
        record = records.Hold()
    reply = datagram.HandoverReply(handover.flow, accepted, view.name,
                                   view.incarnation, handover.attempt)
    return Decision(record, (actions.Send(leaving_member, reply),))


def on_handover_reply(view: View, record: records.Record,
                      reply: datagram.HandoverReply) -> Decision:
    """Releases a flow to the member that accepted it."""
    holder = view.find(reply.name)
    if (not reply.accepted or holder is None or
            holder.incarnation != reply.incarnation or
            not isinstance(record, records.Hold)):
        return Decision(record, ())
    return Decision(records.Pointer(holder.name, holder.incarnation),
                    (actions.Release(reply.flow),))


def _less_certain(one: states.Refusal, other: states.Refusal) -> states.Refusal:
    unknown = states.Refusal.OUTCOME_UNKNOWN
    return unknown if unknown in (one, other) else one


def _drop(record: records.Record, packet: datagram.Packet,
          reason: actions.DropReason) -> Decision:
    return Decision(record, (actions.Drop(packet, reason),))


def _send(record: records.Record, to: service_list.Member,
          packet: datagram.Packet) -> Decision:
    return Decision(record, (actions.Send(to, packet),))


def _mark_visited(view: View, packet: datagram.Packet) -> datagram.Packet:
    if view.name in packet.visited:
        return packet
    return packet._replace(visited=packet.visited + (view.name,))


def _notify_asker(view: View,
                  packet: datagram.Packet) -> tuple[actions.Action, ...]:
    asker = view.find(packet.asker) if packet.asker != view.name else None
    if asker is None:
        return ()
    return (actions.Send(
        asker, datagram.Held(packet.flow, view.name, view.incarnation)),)


def _deliver_to_holder(view: View, record: records.Hold,
                       packet: datagram.Packet) -> Decision:
    return Decision(record, (actions.Deliver(packet),) +
                    _notify_asker(view, packet) + _notify_visited(view, packet))


def _notify_visited(view: View,
                    packet: datagram.Packet) -> tuple[actions.Action, ...]:
    """Tells the members that forwarded a packet that this agent holds its flow.

    A packet that cannot start a flow leaves no pointers at these members. The
    caller of a feed sends few other packets, so a joiner would not learn of the
    holder and, once settled, would admit the flow's next request as a new flow.
    """
    if packet.can_start_flow:
        return ()
    held = datagram.Held(packet.flow, view.name, view.incarnation)
    visited = [view.find(name) for name in packet.visited if name != view.name]
    return tuple(actions.Send(m, held) for m in visited if m is not None)


def _is_inquiry_stale(view: View, packet: datagram.Packet) -> bool:
    """Returns whether a packet belongs to an inquiry of a member that has left
    the routable members or has another incarnation now."""
    if not packet.asker:
        return False
    if packet.asker == view.name:
        return packet.asker_incarnation != view.incarnation
    asker = view.find(packet.asker)
    return asker is None or asker.incarnation != packet.asker_incarnation


def _is_pointer_valid(view: View, pointer: records.Pointer,
                      target: service_list.Member | None) -> bool:
    return (target is not None and target.name not in view.suspects and
            target.incarnation == pointer.incarnation)


def _forward_along_pointer(view: View, pointer: records.Pointer,
                           target: service_list.Member,
                           packet: datagram.Packet) -> Decision:
    """Forwards a packet along a pointer.

    A packet of an inquiry replaces the pointer by one to the asker, so that a
    refusal from `target` that is still in flight is dropped as stale.
    """
    if packet.asker and view.rules.claim_at_asking:
        pointer = records.Pointer(packet.asker, packet.asker_incarnation)
    packet = packet._replace(visited=packet.visited + (view.name,))
    return _send(pointer, target, packet)


def _should_follow_pointer(packet: datagram.Packet, target: str) -> bool:
    """Returns whether a packet is forwarded along a pointer to `target`.

    An inquiry may visit a member a second time: the flow may have been handed
    over to that member after the first visit.
    """
    visits = packet.visited.count(target)
    if packet.asker and packet.asker != target:
        return visits < MAX_INQUIRY_VISITS
    return visits == 0


def _must_delay_takeover(view: View, record: records.Record,
                         packet: datagram.Packet) -> bool:
    """Returns whether a member that is marked as lost may still act as holder.

    Such a member learns of the mark from the next heartbeat of any other
    member; until then packets of the flow are dropped.
    """
    if isinstance(record, records.Pointer):
        return record.to in view.lost_but_heard
    return packet.can_start_flow and view.lost_but_heard_ahead


def _must_inquire(view: View, packet: datagram.Packet) -> bool:
    """Returns whether another member may hold the flow without this agent's
    knowledge.

    This is so while the agent may lack records, and after a member ahead of it
    has departed. A suspected member ahead counts as well, since it may have
    left after it handed its flows over.
    """
    departed = view.departed_ahead or _has_suspect_ahead(view, packet)
    return (view.phase is Phase.INQUIRING or view.amnesic or
            (view.rules.departure_inquiry and departed))


def _has_suspect_ahead(view: View, packet: datagram.Packet) -> bool:
    return any(
        view.is_ahead(name)
        for name in view.suspects.difference(packet.visited))


def _search_holder(view: View, record: records.Record,
                   packet: datagram.Packet) -> Decision:
    """Forwards a packet that cannot start a flow to the next member, in search
    of the holder."""
    candidates = view.unvisited(packet)
    if not candidates:
        return _drop(record, packet, actions.DropReason.NO_HOLDER)
    return _send(record, candidates[0], _mark_visited(view, packet))


def _continue_inquiry(view: View, record: records.Pending | records.Hold,
                      packet: datagram.Packet) -> Decision:
    """Continues this agent's inquiry, or decides once all have been queried."""
    if view.rules.epochs and packet.inquiry_number != record.inquiry_number:
        return _drop(record, packet, actions.DropReason.STALE_ASKER)
    candidates = view.unvisited(packet)
    if candidates:
        return _send(record, candidates[0], packet)
    if isinstance(record, records.Hold):
        return Decision(records.Hold(), (actions.Deliver(packet),))
    if view.phase in (Phase.INQUIRING, Phase.SETTLED) and view.can_admit():
        return Decision(records.Hold(),
                        (actions.Deliver(packet, started=True),))
    return refuse(view, packet, _refusal_outcome(view, packet))


def _decide_during_inquiry(view: View, record: records.Pending | records.Hold,
                           packet: datagram.Packet) -> Decision:
    """Decides on a copy or another member's inquiry during an own inquiry."""
    holds = isinstance(record, records.Hold)
    if not packet.asker:
        if holds:
            return _start_inquiry(view, record, packet)
        return _drop(record, packet, actions.DropReason.PENDING)
    if _has_asker_precedence(view, holds, packet):
        return _yield_to_asker(view, record, packet)
    notice = _notify_asker(view, packet)
    dropped = actions.Drop(packet, actions.DropReason.YIELDED)
    return Decision(record, notice + (dropped,))


def _has_asker_precedence(view: View, holds: bool,
                          packet: datagram.Packet) -> bool:
    """Returns whether another member's inquiry has precedence over the own one.

    A member that held the flow has precedence over one that did not, so that a
    flow does not move without a handover. Otherwise the member that is first in
    the flow's order has precedence.
    """
    if packet.asker_held_flow != holds:
        return packet.asker_held_flow
    return view.is_ahead(packet.asker)


def _yield_to_asker(view: View, record: records.Record,
                    packet: datagram.Packet) -> Decision:
    """Records a pointer to the asker and forwards its inquiry."""
    released = ((actions.Release(packet.flow),) if isinstance(
        record, records.Hold) else ())
    if view.rules.claim_at_asking:
        record = records.Pointer(packet.asker, packet.asker_incarnation)
    packet = _mark_visited(view, packet)
    candidates = [m for m in view.unvisited(packet) if m.name != packet.asker]
    to = candidates[0] if candidates else view.find(packet.asker)
    return Decision(record, released + (actions.Send(to, packet),))


def _place_new_flow(view: View, packet: datagram.Packet) -> Decision:
    """Admits, inquires about, forwards or refuses a new flow."""
    candidates = view.unvisited(packet)
    if view.rules.visited_order and candidates and view.is_ahead(
            candidates[0].name):
        return _send(None, candidates[0], packet)
    if view.phase in (Phase.INQUIRING, Phase.SETTLED):
        if view.can_admit():
            if packet.must_inquire:
                return _start_inquiry(view,
                                      records.Pending(view.next_inquiry_number),
                                      packet)
            return Decision(records.Hold(),
                            (actions.Deliver(packet, started=True),))
        packet = packet._replace(load_refusals=packet.load_refusals + 1,
                                 outcome_unknown=packet.outcome_unknown or
                                 (view.rules.doubt and packet.must_inquire))
    if packet.load_refusals >= MAX_LOAD_REFUSALS or not candidates:
        return refuse(view, packet, _refusal_outcome(view, packet))
    record = None
    if view.rules.pointer_at_passing:
        record = records.Pointer(candidates[0].name, candidates[0].incarnation)
    return _send(record, candidates[0], _mark_visited(view, packet))


def _start_inquiry(view: View, record: records.Pending | records.Hold,
                   packet: datagram.Packet) -> Decision:
    """Starts an inquiry, or decides at once if there is no member to query."""
    # Members that forwarded the packet are queried too: one that has since
    # come to suspect this agent may have admitted a later copy.
    packet = packet._replace(visited=(view.name,),
                             asker=view.name,
                             asker_incarnation=view.incarnation,
                             inquiry_number=record.inquiry_number,
                             asker_held_flow=isinstance(record, records.Hold))
    candidates = view.unvisited(packet)
    if not candidates:
        return _continue_inquiry(view, record, packet)
    return _send(record, candidates[0], packet)


def _refusal_outcome(view: View, packet: datagram.Packet) -> states.Refusal:
    """Returns the outcome that a refusal can truthfully state.

    It is did-not-run only if another member records the refusal as well, since
    a record is lost with its agent.
    """
    is_alone = all(name == view.name for name in packet.visited)
    if packet.outcome_unknown or (is_alone and view.rules.doubt):
        return states.Refusal.OUTCOME_UNKNOWN
    return states.Refusal.DID_NOT_RUN
