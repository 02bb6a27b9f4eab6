"""Tests of the writes to a service's list under faults and races."""

import random

import pytest
from twisted.internet import defer
from twisted.internet import task

from figdrum.balancer import reactor_timers
from figdrum.core import states
from figdrum.membership import leases
from figdrum.membership import list_writer
from figdrum.membership import service_list
from figdrum.object_api import memory_store


class _Service:
    """A service's list in a memory store, in virtual time."""

    def __init__(self):
        self.clock = task.Clock()
        self.timers = reactor_timers.ReactorTimers(self.clock)
        self.store = memory_store.MemoryStore(self.timers)

    def writer(self, i, db=None):
        """Returns the list writer of member `s-<i>`."""
        return list_writer.ListWriter(db or self.store, self.timers, 's',
                                      f's-{i}', ('10.0.0.1', 7000 + i), 'a',
                                      random.Random(i))

    def joined(self, count):
        """Returns the list writers of `count` members that joined."""
        writers = [self.writer(i) for i in range(1, count + 1)]
        for writer in writers:
            writer.join()
        return writers

    def list(self):
        """Returns the list."""
        item = self.store.get('lists/s').result
        if item is None:
            return service_list.ServiceList.empty('s')
        return service_list.ServiceList.from_json('s', item.version, item.value)

    def states(self):
        """Returns the members' states by name."""
        return {m.name: m.state.value for m in self.list().members}


def _due(*numbers):
    return _due_of(numbers)


def _due_of(numbers):
    return lambda: tuple(leases.LostMember(f's-{i}', i) for i in numbers)


def test_incarnation_is_the_version_of_the_join():
    """Guards against two processes of one name with the same incarnation."""
    service = _Service()
    service.joined(3)
    assert [(m.incarnation, m.rejoined) for m in service.list().members
           ] == [(1, False), (2, False), (3, False)]
    again = service.writer(2)
    again.join()
    assert again.incarnation == 4
    assert service.list().find('s-2').rejoined


def test_a_join_without_a_response_is_recognised():
    """Guards against a second incarnation if only the response to the write of
    the join was lost."""
    service = _Service()
    service.store.lose_next_responses = 1
    writer = service.writer(1)
    writer.join()
    assert writer.incarnation == 1
    assert service.list().version == 1


@pytest.mark.parametrize('seed', range(15))
def test_racing_members_with_lost_responses(seed):
    """Guards against a join, drain or leave that a concurrent write undoes."""
    rng = random.Random(seed)
    service = _Service()
    writers = [service.writer(i) for i in range(9)]
    deferreds = [writer.join() for writer in writers]
    deferreds += [writer.publish_draining() for writer in writers[:6]]
    leaves = []
    for step in range(4000):
        service.store.delay_ms = rng.choice((0, 5, 150))
        service.store.effect_delay_ms = rng.choice((0, 5, 150))
        service.store.lose_next_responses = rng.choice((0, 0, 1))
        service.clock.advance(0.02)
        if not leaves and step > 50 and all(d.called for d in deferreds):
            leaves = [writer.leave() for writer in writers[:3]]
        if leaves and all(d.called for d in leaves):
            break
    service.store.delay_ms = service.store.effect_delay_ms = 0
    found = service.states()
    assert [found[f's-{i}'] for i in range(9)
           ] == ['left'] * 3 + [found['s-3']] * 3 + ['active'] * 3
    for writer, member in zip(writers, service.list().members):
        assert writer.incarnation == member.incarnation


def test_a_fenced_member_joins_again():
    """Guards against a paused member that continues although it was marked as
    lost."""
    service = _Service()
    first, second, _ = service.joined(3)
    old = service.list()
    first.publish_lost(0, _due(2))
    assert service.states()['s-2'] == 'lost'
    assert not second.is_fenced(old)
    assert second.is_fenced(service.list())
    second.join()
    assert second.incarnation == 5
    assert not second.is_fenced(service.list())


def test_a_lost_mark_applies_to_one_incarnation():
    """Guards against a late mark that applies to the member's next
    incarnation."""
    service = _Service()
    first, _, _ = service.joined(3)
    service.writer(2).join()
    first.publish_lost(0, _due(2))
    assert service.states()['s-2'] == 'active'


@pytest.mark.parametrize('count, expected', [(2, 1), (3, 1), (7, 2), (9, 3)])
def test_marks_a_third_within_10_s(count, expected):
    """Guards against one cut-off observer that marks all members as lost."""
    service = _Service()
    first = service.joined(count)[0]
    everyone = _due(*range(1, count + 1))
    for now in range(0, 10_000, 500):
        first.publish_lost(now, everyone)
    lost = [s for s in service.states().values() if s == 'lost']
    assert len(lost) == expected
    assert service.states()['s-1'] == 'active'
    if count > expected + 1:
        first.publish_lost(10_000, everyone)
        assert list(service.states().values()).count('lost') > expected


def test_lost_responses_do_not_raise_the_limit():
    """Guards against a mark that counts twice, or not at all, after the
    response to its write was lost."""
    service = _Service()
    first = service.joined(7)[0]
    service.store.lose_next_responses = 1
    first.publish_lost(0, _due(2, 3, 4, 5))
    first.publish_lost(100, _due(4, 5, 6, 7))
    assert list(service.states().values()).count('lost') == 2


def test_checks_again_which_members_are_silent():
    """Guards against marking a member as lost that was heard while the platform
    was slow."""
    service = _Service()
    first = service.joined(3)[0]
    service.store.delay_ms = 4000
    silent = [2]
    done = first.publish_lost(0, _due_of(silent))
    silent.clear()
    service.clock.advance(4)
    service.clock.advance(4)
    service.store.delay_ms = 0
    assert done.called
    assert service.states()['s-2'] == 'active'


def test_outage_marks_nothing_and_blocks_no_later_mark():
    """Guards against marks that accumulate while the platform is down, and
    against an outage that blocks later ones."""
    service = _Service()
    first = service.joined(3)[0]
    service.store.down = True
    for now in range(0, 3000, 100):
        first.publish_lost(now, _due(2)).addErrback(lambda _: None)
    service.store.down = False
    assert service.states()['s-2'] == 'active'
    first.publish_lost(3000, _due(2))
    assert service.states()['s-2'] == 'lost'


def test_prunes_tombstones_300_s_after_first_seen():
    """Guards against a tombstone that is removed while the acquisition of
    claims still depends on it."""
    service = _Service()
    first, second, _ = service.joined(3)
    second.leave()
    first.record_tombstones(1000, service.list())
    first.record_tombstones(200_000, service.list())
    assert not first.has_expired_tombstones(300_999)
    assert first.has_expired_tombstones(301_000)
    first.prune_tombstones(301_000)
    assert sorted(service.states()) == ['s-1', 's-3']


def test_prune_keeps_a_new_incarnation():
    """Guards against pruning a member that has joined again."""
    service = _Service()
    first, second, _ = service.joined(3)
    second.leave()
    first.record_tombstones(0, service.list())
    service.writer(2).join()
    first.prune_tombstones(300_000)
    assert service.states()['s-2'] == 'active'


def test_leave_ends_a_join_in_progress():
    """Guards against a member that is listed after its process has ended."""
    service = _Service()
    service.store.down = True
    writer = service.writer(1)
    joining = writer.join()
    leaving = writer.leave()
    service.store.down = False
    service.clock.pump([1] * 20)
    assert joining.result is None
    assert isinstance(leaving, defer.Deferred) and leaving.called
    assert not service.states()


def test_drain_after_leave_changes_nothing():
    """Guards against a left member that returns as draining."""
    service = _Service()
    writer = service.joined(1)[0]
    writer.leave()
    writer.publish_draining()
    assert service.list().members[0].state is states.MemberState.LEFT
