"""Tests of the routing decision."""

import typing

import hypothesis
from hypothesis import strategies
import pytest

from figdrum.core import states
from figdrum.membership import service_list
from figdrum.routing import drop_reason
from figdrum.routing import router
from figdrum.routing import serving
from figdrum.routing import suspicion

SRC = ('10.1.0.9', 4000)
DST = ('10.9.0.1', 5683)
GET = b'\x40\x01\x00\x07'
BALANCER = ('10.0.9.1', 7100)


class _Grant(typing.NamedTuple):
    customer: str
    service: str
    address: tuple


class _Contracts(typing.NamedTuple):
    """Fake of the part of `ContractState` that routing uses."""
    change: int = 3
    zones_out: frozenset = frozenset()

    def lookup(self, address):
        """Returns a grant for `DST` only."""
        return (_Grant('al-sahil', 'fieldbook', DST)
                if address == DST else None)

    def allows(self, customer, service, src_host):
        """Allows the network 10.1.0.0/16 only."""
        del customer, service
        return src_host.startswith('10.1.')


def _members(count=7, zones=('a', 'b', 'c')):
    members = service_list.ServiceList.empty('fieldbook')._replace(version=9)
    for i in range(count):
        members = members.with_member(
            service_list.Member(f'fieldbook-{i}', ('10.0.0.1', 7000 + i),
                                zones[i % len(zones)], i + 1,
                                states.MemberState.ACTIVE))
    return members


class _Freshness:
    """Fake freshness; a test sets `behind`."""
    can_serve = True
    behind = False

    def is_behind(self, now_ms):
        """Returns `behind` at any time."""
        del now_ms
        return self.behind


class _RouterHarness:
    """A router with its freshness, service list and contracts."""

    def __init__(self, zone='a', members=None, contracts=_Contracts()):
        self.freshness = _Freshness()
        self.members = _members() if members is None else members
        self.contracts = contracts
        self.router = router.Router(zone, BALANCER,
                                    serving.ServingGate(self.freshness))

    def route(self, src=SRC, dst=DST, payload=GET, now_ms=0):
        """Routes one packet with the current list and contracts."""
        return self.router.route(now_ms, src, dst, payload, self.contracts,
                                 lambda service: self.members)

    def suspect_first(self):
        """Routes a packet and lets its agent be silent until suspected."""
        address = self.route().member.address
        for now in range(0, 1600, suspicion.TICK_MS):
            self.router.due_pings(now)
        assert self.router.suspected() == (address,)


@pytest.mark.parametrize('port', range(4000, 4050))
def test_every_balancer_chooses_the_first_in_order(port):
    """Guards against balancers that forward one flow to different agents."""
    harness = _RouterHarness(contracts=_Contracts(zones_out=frozenset('b')))
    action = harness.route(src=('10.1.0.9', port))
    order = harness.members.order(action.packet.flow.to_bytes(), frozenset('b'))
    assert action.member == order[0]
    assert action.member.zone != 'b'
    assert action.packet[:2] == (3, 9)
    assert action.packet.skipped == ()


def test_suspected_members_are_skipped_and_listed_in_the_packet():
    """Guards against a packet that omits the members skipped before it.

    The receiving agent needs them to decide whether it may admit the flow (R7).
    """
    harness = _RouterHarness()
    order = harness.members.order(harness.route().packet.flow.to_bytes())
    harness.suspect_first()
    assert harness.route().member == order[1]
    assert harness.route().packet.skipped == (order[0].name,)
    harness.router.on_heard(2000, order[0].address)
    assert harness.route().member == order[0]


def test_packet_goes_to_the_first_member_if_all_are_suspected():
    """Guards against dropping all packets when all agents are suspected.

    The cause is then probably a fault of the balancer itself.
    """
    harness = _RouterHarness(members=_members(1))
    first = harness.route().member
    harness.suspect_first()
    assert harness.route().member == first
    assert harness.route().packet.skipped == ()


@pytest.mark.parametrize('state',
                         [states.MemberState.LOST, states.MemberState.LEFT])
def test_new_list_takes_effect_immediately(state):
    """Guards against cached candidates that outlive their service list."""
    harness = _RouterHarness()
    first = harness.route().member
    harness.members = harness.members.with_member(first._replace(state=state))
    assert harness.route().member != first


def test_zone_out_takes_effect_immediately():
    """Guards against cached candidates in a zone out of service (P4)."""
    harness = _RouterHarness(zone='d')
    first = harness.route().member
    harness.contracts = _Contracts(4, frozenset({first.zone}))
    assert harness.route().member.zone != first.zone
    assert harness.route().packet.change == 4


@pytest.mark.parametrize('arguments, reason', [
    ({
        'dst': ('10.9.0.2', 5683)
    }, drop_reason.DropReason.UNKNOWN_ADDRESS),
    ({
        'dst': ('10.9.0.1', 5684)
    }, drop_reason.DropReason.UNKNOWN_ADDRESS),
    ({
        'src': ('10.2.0.9', 4000)
    }, drop_reason.DropReason.SOURCE_NOT_ALLOWED),
    ({
        'payload': b'\x00\x01\x00\x07'
    }, drop_reason.DropReason.MALFORMED),
])
def test_packets_without_a_contract_are_dropped_with_a_reason(
        arguments, reason):
    """Guards against forwarding packets that no contract allows."""
    assert _RouterHarness().route(**arguments) == router.Dropped(reason)


def test_drops_while_own_zone_is_out():
    """Guards against a balancer that routes in a zone out of service."""
    harness = _RouterHarness(contracts=_Contracts(zones_out=frozenset('a')))
    assert harness.route() == router.Dropped(
        drop_reason.DropReason.OWN_ZONE_OUT)


def test_drops_while_behind_and_without_members():
    """Guards against routing by contracts that are known to be outdated."""
    harness = _RouterHarness(members=_members(0))
    assert harness.route() == router.Dropped(drop_reason.DropReason.NO_MEMBER)
    harness.freshness.behind = True
    assert harness.route() == router.Dropped(drop_reason.DropReason.BEHIND)


@hypothesis.given(strategies.binary(max_size=64))
def test_any_payload_gives_a_decision(payload):
    """Guards against a caller's datagram that makes `route` raise."""
    assert isinstance(_RouterHarness().route(payload=payload),
                      (router.Forward, router.Dropped))
