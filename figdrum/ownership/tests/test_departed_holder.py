"""Tests of flows whose holder changed without the agent's knowledge."""

from figdrum.core import ids
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.ownership import actions
from figdrum.ownership import admission_check
from figdrum.ownership import owner
from figdrum.routing import rendezvous

NAMES = ('a', 'b', 'c')
SETTLED_MS = 300_000


class _AdmitAll(admission_check.AdmissionCheck):
    """Admits every flow."""

    def can_admit(self, now_ms, customer):
        return True


def _flow_with_order(*order: str) -> ids.FlowKey:
    flows = (ids.FlowKey('192.0.2.1', port, '10.9.0.1', 5683)
             for port in range(1024, 9999))
    return next(f for f in flows
                if tuple(rendezvous.order(f.to_bytes(), NAMES)) == order)


def _members(version: int, **changed) -> service_list.ServiceList:
    return service_list.ServiceList(
        ids.ServiceName('fieldbook'), version,
        tuple(
            service_list.Member(name, ('10.0.0.1', n), f'zone-{name}', n +
                                1, changed.get(name, states.MemberState.ACTIVE))
            for n, name in enumerate(NAMES)))


def _packet(flow: ids.FlowKey, version: int, can_start_flow: bool = True):
    return datagram.Packet(0, version, 'al-sahil', 'fieldbook', flow,
                           can_start_flow, ('10.0.0.9', 7000),
                           b'%d' % can_start_flow)


def _send_heartbeats(agent: owner.Owner, now_ms: int, version: int) -> None:
    for n, name in enumerate(NAMES[1:], 2):
        agent.on_message(now_ms, datagram.Heartbeat(name, n, version),
                         _AdmitAll())


def _settled_agent() -> owner.Owner:
    agent = owner.Owner(ids.AgentName('a'), ids.ServiceName('fieldbook'),
                        ids.ZoneName('zone-a'))
    agent.join(0, ids.Incarnation(1))
    agent.on_list(0, _members(3), frozenset())
    for now_ms in range(100, SETTLED_MS, 100):
        _send_heartbeats(agent, now_ms, 3)
        agent.on_tick(now_ms)
    return agent


def _agent_with_stale_pointer() -> tuple[owner.Owner, ids.FlowKey, int]:
    """Returns a settled agent that is first in a flow's order and points to
    `b`, which then leaves the list."""
    agent = _settled_agent()
    flow = _flow_with_order('a', 'b', 'c')
    agent.on_message(SETTLED_MS, datagram.Held(flow, 'b', 2), _AdmitAll())
    agent.on_list(SETTLED_MS, _members(4, b=states.MemberState.LEFT),
                  frozenset())
    _send_heartbeats(agent, SETTLED_MS, 4)
    return agent, flow, SETTLED_MS


def _starts_inquiry(decided: owner.Actions) -> bool:
    return all(
        isinstance(action, actions.Send) and action.message.asker == 'a'
        for action in decided) and bool(decided)


def test_acknowledgement_keeps_the_need_to_inquire():
    """Guards against an acknowledgement that removes a pointer to a departed
    member: the next request was then admitted as a new flow, although the
    departed member had handed the flow over to another one."""
    agent, flow, now_ms = _agent_with_stale_pointer()
    agent.on_packet(now_ms, _packet(flow, 4, can_start_flow=False), _AdmitAll())
    assert _starts_inquiry(
        agent.on_packet(now_ms, _packet(flow, 4), _AdmitAll()))


def test_lost_inquiry_is_repeated():
    """Guards against a copy that is admitted without an inquiry after the first
    inquiry timed out, if the only reason to inquire was a pointer to a departed
    member."""
    agent, flow, now_ms = _agent_with_stale_pointer()
    assert _starts_inquiry(
        agent.on_packet(now_ms, _packet(flow, 4), _AdmitAll()))
    for _ in range(owner.INQUIRY_TIMEOUT_MS // 100):
        now_ms += 100
        _send_heartbeats(agent, now_ms, 4)
        agent.on_tick(now_ms)
    agent.on_packet(now_ms, _packet(flow, 4, can_start_flow=False), _AdmitAll())
    assert _starts_inquiry(
        agent.on_packet(now_ms, _packet(flow, 4), _AdmitAll()))


def test_zone_out_requires_an_inquiry():
    """Guards against a flow that is admitted a second time after a member in a
    zone taken out had forwarded it to a member that stays."""
    agent = _settled_agent()
    flow = _flow_with_order('b', 'a', 'c')
    agent.on_list(SETTLED_MS, _members(3), frozenset({'zone-b'}))
    assert _starts_inquiry(
        agent.on_packet(SETTLED_MS, _packet(flow, 3), _AdmitAll()))


def test_acknowledgement_notifies_visited_members_of_the_holder():
    """Guards against a joiner that sees only a feed's acknowledgements, never
    learns of the flow's holder and, once settled, admits the next request as a
    new flow."""
    flow = _flow_with_order('a', 'b', 'c')
    holder = _settled_agent()
    holder.on_packet(SETTLED_MS, _packet(flow, 3), _AdmitAll())
    acknowledgement = _packet(flow, 3, False)._replace(visited=('b',))
    decided = holder.on_packet(SETTLED_MS, acknowledgement, _AdmitAll())
    assert [(action.to.name, action.message)
            for action in decided
            if isinstance(action, actions.Send)
           ] == [('b', datagram.Held(flow, 'a', 1))]


def test_agent_that_knew_its_list_before_its_join_inquires():
    """Guards against an agent that settles at once because its list arrived
    before the platform's answer to its join, and then admits a flow that
    another member holds."""
    agent = owner.Owner(ids.AgentName('a'), ids.ServiceName('fieldbook'),
                        ids.ZoneName('zone-a'))
    agent.on_list(0, _members(3), frozenset())
    agent.join(0, ids.Incarnation(1))
    agent.on_list(0, _members(3), frozenset())
    flow = _flow_with_order('a', 'b', 'c')
    assert _starts_inquiry(agent.on_packet(0, _packet(flow, 3), _AdmitAll()))
