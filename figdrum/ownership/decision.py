"""The decision of one agent on one packet of one flow.

Explanation
===========

`decide` is a pure function of the agent's view, its record of the flow and the
packet. `Owner` keeps the records; the specification in `spec/ownership.py`
calls the same function. The rules R3, R4 and R7 of docs/design.md are decided
here, R1, R2, R5 and R6 by the phase that the caller passes in.

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
Hold(tentative=False)

References
==========

Desmouceaux et al., "SRLB: The Power of Choices in Load Balancing with Segment
Routing", ICDCS 2017, for agents that admit or pass on a new flow.
"""

import collections.abc
import enum
import typing

from figdrum.core import states
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.ownership import actions
from figdrum.ownership import records

# Power of two choices: a third candidate adds little balance and one more hop.
MAX_TRIES = 2


class Phase(enum.Enum):
    """What an agent may decide on its own."""
    JOINING = 'joining'
    INQUIRING = 'inquiring'
    SETTLED = 'settled'
    DRAINING = 'draining'
    FENCED = 'fenced'


class Rules(typing.NamedTuple):
    """Switches that let the specification leave a rule out.

    Attributes:
      pointer_at_passing: R3.
      remembered_refusal: R4.
      visited_order: R7.
      claim_at_asking: An asked member points to the asker.
      report_incarnation: The second half of R5.
    """
    pointer_at_passing: bool = True
    remembered_refusal: bool = True
    visited_order: bool = True
    claim_at_asking: bool = True
    report_incarnation: bool = True


ALL_RULES = Rules()


class View(typing.NamedTuple):
    """What an agent knows when it decides on a packet.

    Attributes:
      name: This agent.
      incarnation: Its incarnation.
      list_version: Version of its list.
      order: Routable members in the flow's rendezvous order.
      phase: What this agent may decide on its own.
      can_admit: Tells whether there is room for the flow here.
      suspects: Members that do not answer this agent.
      rules: Rules in force.
    """
    name: str
    incarnation: int
    list_version: int
    order: tuple[service_list.Member, ...]
    phase: Phase
    can_admit: collections.abc.Callable[[], bool]
    suspects: frozenset[str] = frozenset()
    rules: Rules = ALL_RULES

    def find(self, name: str) -> service_list.Member | None:
        """Returns the routable member called `name`, or None."""
        return next((m for m in self.order if m.name == name), None)

    def is_ahead(self, name: str) -> bool:
        """Returns whether member `name` comes before this agent."""
        for member in self.order:
            if member.name in (name, self.name):
                return member.name == name
        return False

    def unvisited(self, packet: datagram.Packet) -> list[service_list.Member]:
        """Returns the other members that can still be asked, in order."""
        passed_over = self.suspects.union(packet.visited, packet.skipped)
        return [
            m for m in self.order
            if m.name != self.name and m.name not in passed_over
        ]


class Decision(typing.NamedTuple):
    """The new record of the flow and what to do."""
    record: records.Record
    actions: tuple[actions.Action, ...]


def decide(view: View, record: records.Record,
           packet: datagram.Packet) -> Decision:
    """Decides on a packet.

    Args:
      view: What the agent knows.
      record: The agent's record of the packet's flow.
      packet: The packet, as a balancer or another member sent it.

    Returns:
      The new record and the actions.
    """
    if view.phase is Phase.FENCED:
        return _drop(record, packet, actions.DropReason.FENCED)
    if isinstance(record, records.Fence) and packet.may_start:
        return refuse(view, packet, record.refusal)
    if isinstance(record,
                  records.Hold) and not (record.tentative and packet.may_start):
        return _deliver_held(view, record, packet)
    if packet.list_version > view.list_version:
        return Decision(record, (actions.FetchList(packet),))
    packet = packet._replace(list_version=view.list_version)
    if packet.asker and packet.asker != view.name:
        asker = view.find(packet.asker)
        if asker is None or asker.incarnation != packet.asker_incarnation:
            return _drop(record, packet, actions.DropReason.STALE_ASKER)
    if isinstance(record, records.Pointer):
        record, packet, followed = _follow(view, record, packet)
        if followed:
            return followed
    if not packet.may_start:
        return _search(view, record, packet)
    if packet.asker == view.name:
        return _resolve(view, record, packet)
    if isinstance(record, (records.Pending, records.Hold)):
        return _while_asking(view, record, packet)
    if packet.asker:
        return _answer_inquiry(view, record, packet)
    return _consider(view, packet)


def refuse(view: View, packet: datagram.Packet,
           refusal: states.Refusal) -> Decision:
    """Refuses a packet and sends the refusal back the way the packet came.

    Every member on the way fences the flow before the caller hears of it.
    """
    fence = records.Fence(refusal) if view.rules.remembered_refusal else None
    visited = list(packet.visited)
    while visited:
        back = view.find(visited.pop())
        if back and back.name != view.name:
            message = datagram.Refused(refusal.value,
                                       packet._replace(visited=tuple(visited)))
            return Decision(fence, (actions.Send(back, message),))
    return Decision(fence, (actions.Refuse(packet, refusal),))


def on_refused(view: View, record: records.Record,
               refused: datagram.Refused) -> Decision:
    """Fences a flow that this agent passed on and a later member refused."""
    if isinstance(record, records.Hold):
        return _drop(record, refused.packet, actions.DropReason.YIELDED)
    refusal = states.Refusal(refused.refusal)
    if isinstance(record, records.Fence):
        refusal = _weaker(refusal, record.refusal)
    return refuse(view, refused.packet, refusal)


def _weaker(one: states.Refusal, other: states.Refusal) -> states.Refusal:
    unknown = states.Refusal.OUTCOME_UNKNOWN
    return unknown if unknown in (one, other) else one


def _drop(record: records.Record, packet: datagram.Packet,
          reason: actions.DropReason) -> Decision:
    return Decision(record, (actions.Drop(packet, reason),))


def _send(record: records.Record, to: service_list.Member,
          packet: datagram.Packet) -> Decision:
    return Decision(record, (actions.Send(to, packet),))


def _visit(view: View, packet: datagram.Packet) -> datagram.Packet:
    if view.name in packet.visited:
        return packet
    return packet._replace(visited=packet.visited + (view.name,))


def _held_notice(view: View,
                 packet: datagram.Packet) -> tuple[actions.Action, ...]:
    asker = view.find(packet.asker) if packet.asker != view.name else None
    if asker is None:
        return ()
    return (actions.Send(
        asker, datagram.Held(packet.flow, view.name, view.incarnation)),)


def _deliver_held(view: View, record: records.Hold,
                  packet: datagram.Packet) -> Decision:
    return Decision(record,
                    (actions.Deliver(packet),) + _held_notice(view, packet))


def _follow(
    view: View, record: records.Pointer, packet: datagram.Packet
) -> tuple[records.Record, datagram.Packet, Decision | None]:
    """Passes a packet along a pointer, or drops a pointer that is dead."""
    target = view.find(record.to)
    if target is None or target.incarnation != record.incarnation:
        if view.rules.report_incarnation:
            packet = packet._replace(uncertain=True)
        return None, packet, None
    if target.name in packet.visited or target.name in packet.skipped:
        return None, packet, None
    return record, packet, _send(record, target, _visit(view, packet))


def _search(view: View, record: records.Record,
            packet: datagram.Packet) -> Decision:
    """Looks for the holder of a packet that may not start a flow."""
    rest = view.unvisited(packet)
    if not rest:
        return _drop(record, packet, actions.DropReason.NO_HOLDER)
    return _send(record, rest[0], _visit(view, packet))


def _resolve(view: View, record: records.Record,
             packet: datagram.Packet) -> Decision:
    """Decides on a packet that came back from all other members."""
    if packet.asker_incarnation != view.incarnation:
        return _drop(record, packet, actions.DropReason.STALE_ASKER)
    if isinstance(record, records.Hold):
        return Decision(records.Hold(), (actions.Deliver(packet),))
    if view.phase in (Phase.INQUIRING, Phase.SETTLED) and view.can_admit():
        return Decision(records.Hold(),
                        (actions.Deliver(packet, started=True),))
    return refuse(view, packet, _refusal(view, packet))


def _while_asking(view: View, record: records.Pending | records.Hold,
                  packet: datagram.Packet) -> Decision:
    """Handles a copy or another inquiry while this agent's own is open."""
    holds = isinstance(record, records.Hold)
    if not packet.asker:
        if holds:
            return _ask(view, record, packet)
        return _drop(record, packet, actions.DropReason.PENDING)
    if _asker_goes_first(view, holds, packet):
        return _answer_inquiry(view, record, packet)
    notice = _held_notice(view, packet)
    dropped = actions.Drop(packet, actions.DropReason.YIELDED)
    return Decision(record, notice + (dropped,))


def _asker_goes_first(view: View, holds: bool, packet: datagram.Packet) -> bool:
    """Decides which of two inquiries that meet goes on.

    A member that held the flow comes before one that did not, so that a flow
    does not move without a handover; else the first in the order goes on.
    """
    if packet.asker_holds != holds:
        return packet.asker_holds
    return view.is_ahead(packet.asker)


def _answer_inquiry(view: View, record: records.Record,
                    packet: datagram.Packet) -> Decision:
    """Points to the asker and lets the inquiry go on."""
    released = ((actions.Release(packet.flow),) if isinstance(
        record, records.Hold) else ())
    if view.rules.claim_at_asking:
        record = records.Pointer(packet.asker, packet.asker_incarnation)
    packet = _visit(view, packet)
    rest = [m for m in view.unvisited(packet) if m.name != packet.asker]
    to = rest[0] if rest else view.find(packet.asker)
    return Decision(record, released + (actions.Send(to, packet),))


def _consider(view: View, packet: datagram.Packet) -> Decision:
    """Admits a new flow, asks the others, passes it on or refuses it."""
    rest = view.unvisited(packet)
    if view.rules.visited_order and rest and view.is_ahead(rest[0].name):
        return _send(None, rest[0], packet)
    if view.phase in (Phase.INQUIRING, Phase.SETTLED):
        if view.can_admit():
            if view.phase is Phase.INQUIRING:
                return _ask(view, records.Pending(), packet)
            return Decision(records.Hold(),
                            (actions.Deliver(packet, started=True),))
        packet = packet._replace(tries=packet.tries + 1)
    if packet.tries >= MAX_TRIES or not rest:
        return refuse(view, packet, _refusal(view, packet))
    record = None
    if view.rules.pointer_at_passing:
        record = records.Pointer(rest[0].name, rest[0].incarnation)
    return _send(record, rest[0], _visit(view, packet))


def _ask(view: View, record: records.Pending | records.Hold,
         packet: datagram.Packet) -> Decision:
    """Asks the other members, or settles at once when there is none."""
    packet = packet._replace(asker=view.name,
                             asker_incarnation=view.incarnation,
                             asker_holds=isinstance(record, records.Hold))
    packet = _visit(view, packet)
    rest = view.unvisited(packet)
    if not rest:
        return _resolve(view, record, packet)
    return _send(record, rest[0], packet)


def _refusal(view: View, packet: datagram.Packet) -> states.Refusal:
    """Returns what a refusal may truthfully say of the request."""
    ahead = any(
        view.is_ahead(name)
        for name in view.suspects.union(packet.skipped)
        if name not in packet.visited)
    if packet.uncertain or ahead:
        return states.Refusal.OUTCOME_UNKNOWN
    return states.Refusal.DID_NOT_RUN
