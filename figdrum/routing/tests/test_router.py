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
    """The part of `ContractState` that routing reads."""
    change: int = 3
    zones_out: frozenset = frozenset()

    def lookup(self, address):
        """Knows one address."""
        return (_Grant('al-sahil', 'fieldbook', DST)
                if address == DST else None)

    def allows(self, customer, service, src_host):
        """Knows one network."""
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
    """A fresh balancer, until it is told that it is behind."""
    can_serve = True
    behind = False

    def is_behind(self, now_ms):
        """Answers the same at any time."""
        del now_ms
        return self.behind


class _Balancer:
    """A router with its parts."""

    def __init__(self, zone='a', members=None, contracts=_Contracts()):
        self.freshness = _Freshness()
        self.members = _members() if members is None else members
        self.contracts = contracts
        self.router = router.Router(zone, BALANCER,
                                    serving.ServingGate(self.freshness))

    def route(self, src=SRC, dst=DST, payload=GET, now_ms=0):
        """Routes one packet."""
        return self.router.route(now_ms, src, dst, payload, self.contracts,
                                 lambda service: self.members)

    def suspect_first(self):
        """Routes a packet whose agent is then silent until suspected."""
        address = self.route().member.address
        for now in range(0, 1600, suspicion.TICK_MS):
            self.router.due_pings(now)
        assert self.router.suspected() == (address,)


@pytest.mark.parametrize('port', range(4000, 4050))
def test_every_balancer_chooses_the_first_in_order(port):
    """Guards against two balancers that send one flow to two agents."""
    balancer = _Balancer(contracts=_Contracts(zones_out=frozenset('b')))
    action = balancer.route(src=('10.1.0.9', port))
    order = balancer.members.order(action.packet.flow.to_bytes(),
                                   frozenset('b'))
    assert action.member == order[0]
    assert action.member.zone != 'b'
    assert action.packet[:2] == (3, 9)
    assert action.packet.skipped == ()


def test_suspected_members_are_skipped_and_named():
    """Guards against R7 broken by a packet that hides whom it passed over."""
    balancer = _Balancer()
    order = balancer.members.order(balancer.route().packet.flow.to_bytes())
    balancer.suspect_first()
    assert balancer.route().member == order[1]
    assert balancer.route().packet.skipped == (order[0].name,)
    balancer.router.on_heard(2000, order[0].address)
    assert balancer.route().member == order[0]


def test_all_suspected_goes_to_the_first():
    """Guards against a balancer with a fault of its own that drops all."""
    balancer = _Balancer(members=_members(1))
    first = balancer.route().member
    balancer.suspect_first()
    assert balancer.route().member == first
    assert balancer.route().packet.skipped == ()


@pytest.mark.parametrize('state',
                         [states.MemberState.LOST, states.MemberState.LEFT])
def test_follows_a_new_list_at_once(state):
    """Guards against candidates of an old list that stay in the cache."""
    balancer = _Balancer()
    first = balancer.route().member
    balancer.members = balancer.members.with_member(first._replace(state=state))
    assert balancer.route().member != first


def test_follows_a_zone_taken_out_at_once():
    """Guards against P4 broken by candidates that stay in the cache."""
    balancer = _Balancer(zone='d')
    first = balancer.route().member
    balancer.contracts = _Contracts(4, frozenset({first.zone}))
    assert balancer.route().member.zone != first.zone
    assert balancer.route().packet.change == 4


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
def test_drops_with_a_reason(arguments, reason):
    """Guards against packets that reach a service they are not meant for."""
    assert _Balancer().route(**arguments) == router.Dropped(reason)


def test_drops_while_own_zone_is_out():
    """Guards against a balancer that serves from a zone taken out."""
    balancer = _Balancer(contracts=_Contracts(zones_out=frozenset('a')))
    assert balancer.route() == router.Dropped(
        drop_reason.DropReason.OWN_ZONE_OUT)


def test_drops_while_behind_and_without_members():
    """Guards against routing by a state that is known to be old."""
    balancer = _Balancer(members=_members(0))
    assert balancer.route() == router.Dropped(drop_reason.DropReason.NO_MEMBER)
    balancer.freshness.behind = True
    assert balancer.route() == router.Dropped(drop_reason.DropReason.BEHIND)


@hypothesis.given(strategies.binary(max_size=64))
def test_any_payload_gives_a_decision(payload):
    """Guards against a payload that raises."""
    assert isinstance(_Balancer().route(payload=payload),
                      (router.Forward, router.Dropped))
