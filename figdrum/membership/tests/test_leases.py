"""Tests of the lease table in virtual time."""

import random

import pytest

from figdrum.core import states
from figdrum.membership import leases
from figdrum.membership import service_list
from figdrum.messages import datagram


def _service_list(count, version=None):
    members = service_list.ServiceList.empty('s')
    for i in range(1, count + 1):
        members = members.with_member(
            service_list.Member(f's-{i}', ('10.0.0.1', 7000 + i), 'a', i,
                                states.MemberState.ACTIVE))
    return members._replace(version=version or count)


def _heartbeat(number, list_version=9):
    """Returns a heartbeat of member `s-<number>` of incarnation `number`."""
    return datagram.Heartbeat(f's-{number}', number, list_version)


def test_a_join_needs_all_earlier_members():
    """Guards against a join that counts as acknowledged although one earlier
    member has not seen it.

    Rule R1: a join is acknowledged once all earlier members have sent a
    heartbeat with a list version that contains it.
    """
    table = leases.LeaseTable('s-3')
    table.on_list(0, _service_list(5), 3)
    table.on_heartbeat(1, _heartbeat(1, 3))
    table.on_heartbeat(1, _heartbeat(2, 2))
    assert not table.is_join_acknowledged()
    table.on_heartbeat(2, _heartbeat(2, 3))
    assert table.is_join_acknowledged()


def test_a_lost_member_need_not_acknowledge():
    """Guards against a join that waits forever for a lost member."""
    table = leases.LeaseTable('s-2')
    members = _service_list(2)
    table.on_list(0, members, 2)
    assert not table.is_join_acknowledged()
    lost = members.members[0]._replace(state=states.MemberState.LOST)
    table.on_list(1, members.with_member(lost)._replace(version=3), 2)
    assert table.is_join_acknowledged()


def test_silence_is_counted_from_this_members_join():
    """Guards against a joiner that publishes live members as lost because they
    sent it no heartbeats before they knew of its join."""
    table = leases.LeaseTable('s-1')
    table.on_list(0, _service_list(5), 0)
    table.on_list(20_000, _service_list(5, 9), 1)
    assert not table.lost_to_publish(20_100)
    assert len(table.lost_to_publish(23_000)) == 4


def test_a_new_incarnation_needs_new_acknowledgements():
    """Guards against a rejoined member that counts acknowledgements of its
    earlier incarnation."""
    table = leases.LeaseTable('s-2')
    table.on_list(0, _service_list(2), 2)
    table.on_heartbeat(1, _heartbeat(1, 2))
    own = _service_list(2).members[1]._replace(incarnation=3)
    table.on_list(2, _service_list(2).with_member(own)._replace(version=3), 3)
    assert not table.is_join_acknowledged()


def test_heartbeat_of_an_earlier_incarnation_is_ignored():
    """Guards against a delayed heartbeat of an earlier incarnation that renews
    a member's lease."""
    table = leases.LeaseTable('s-1')
    table.on_list(0, _service_list(2), 1)
    table.on_heartbeat(1400, datagram.Heartbeat('s-2', 1, 2))
    assert table.suspected(1500) == {'s-2'}


def test_an_older_list_is_ignored():
    """Guards against a removed member that returns with a late, older list."""
    table = leases.LeaseTable('s-1')
    table.on_list(0, _service_list(2, version=5), 1)
    table.on_list(1, _service_list(3, version=4), 1)
    assert table.suspected(5000) == {'s-2'}


@pytest.mark.parametrize('pause_ms', [500, 4000, 600_000])
def test_own_pause_is_detected_and_suspects_nobody(pause_ms):
    """Guards against a member that marks all others as lost after it was
    paused."""
    table = leases.LeaseTable('s-1')
    table.on_list(0, _service_list(3), 1)
    assert [table.on_tick(t).gap_ms for t in (100, 200, 699)] == [0, 0, 0]
    assert table.on_tick(699 + pause_ms).gap_ms == pause_ms
    assert not table.suspected(699 + pause_ms + 1499)
    assert not table.lost_to_publish(699 + pause_ms + 2999)


def test_heartbeats_go_to_the_others_each_500_ms():
    """Guards against a heartbeat that is late, early or sent to its sender."""
    table = leases.LeaseTable('s-1')
    table.on_list(0, _service_list(3), 0)
    assert table.on_tick(0).heartbeat is None
    table.on_list(50, _service_list(3), 1)
    sent = [t for t in range(100, 2100, 100) if table.on_tick(t).heartbeat]
    assert sent == [100, 600, 1100, 1600]
    assert [m.name for m in table.on_tick(2100).to] == ['s-2', 's-3']


@pytest.mark.parametrize('seed', range(20))
def test_exactly_one_live_member_publishes(seed):
    """Guards against no publisher or several, whichever members failed."""
    rng = random.Random(seed)
    count = rng.randint(2, 9)
    dead = set(rng.sample(range(1, count + 1), rng.randint(1, count - 1)))
    publishers = []
    for i in set(range(1, count + 1)) - dead:
        table = leases.LeaseTable(f's-{i}')
        table.on_list(0, _service_list(count), i)
        for now in range(0, 3001, 100):
            table.on_tick(now)
            for other in set(range(1, count + 1)) - dead - {i}:
                table.on_heartbeat(now, _heartbeat(other))
        due = table.lost_to_publish(3000)
        if due:
            publishers.append(i)
            assert {lost.incarnation for lost in due} == dead
    assert publishers == [min(set(range(1, count + 1)) - dead)]
