"""Tests of freshness, of the election of readers and of silence."""

import random

import pytest

from figdrum.contracts import change as change_lib
from figdrum.core import limits
from figdrum.messages import control
from figdrum.sync import actions
from figdrum.sync import freshness
from figdrum.sync import gossip
from figdrum.sync import readers
from figdrum.sync import replica as replica_lib
from figdrum.sync import silence

ADDRESS = ('10.0.0.1', 7400)


def make_digest(name: str, revision: int, change: int = 0) -> control.Digest:
    """Returns a digest of a peer whose replica was never confirmed."""
    return control.Digest(name, 'z', '10.0.0.2', 7400, revision, -1, False,
                          change)


def test_peer_ahead_confirms_only_after_catching_up():
    """Guards against a confirmed age for an outdated replica."""
    confirmation = freshness.ConfirmationTracker()
    confirmation.on_peer_confirmed(1_000, 100, 8, 5)
    assert confirmation.age_ms(1_000) == freshness.NEVER_CONFIRMED
    confirmation.on_revision(7)
    assert confirmation.age_ms(1_000) == freshness.NEVER_CONFIRMED
    confirmation.on_revision(8)
    assert confirmation.age_ms(1_000) == 100
    confirmation.on_peer_confirmed(2_000, 5_000, 3, 8)
    assert confirmation.age_ms(2_000) == 1_100


def test_confirmation_from_before_the_start_does_not_open_the_gate():
    """Guards against a fresh node that serves with an outdated replica."""
    gate = freshness.ReadinessGate(10_000)
    assert not gate.on_tick(20_000, 5, 9_999, True, ['a'])
    assert gate.on_tick(20_000, 5, 10_000, True, ['a'])


def test_gate_waits_for_enough_peers_and_the_highest_revision():
    """Guards against a fresh node that serves at a lower revision than its
    peers while the platform is down."""
    gate = freshness.ReadinessGate(0)
    peers = ['a', 'b', 'c']
    gate.on_digest(make_digest('a', 5))
    assert not gate.on_tick(3_000, 5, None, False, peers)
    gate.on_digest(make_digest('b', 9))
    assert not gate.on_tick(3_000, 8, None, False, peers)
    assert not gate.on_tick(1_999, 9, None, False, peers)
    assert not gate.on_tick(3_000, 9, None, True, peers)
    assert gate.on_tick(3_000, 9, None, False, peers)


def test_gate_needs_all_known_peers_if_there_are_few():
    """Guards against two balancers that wait for a third peer for ever, and
    against serving without any known peer, while the platform is down."""
    gate = freshness.ReadinessGate(0)
    assert not gate.on_tick(9_000, 0, None, False, [])
    gate.on_digest(make_digest('a', 5))
    assert gate.on_tick(9_000, 5, None, False, ['a'])


def test_balancer_that_lacks_a_reported_change_is_behind_after_7_s():
    """Guards against a balancer that continues with outdated contracts, and
    against one that stops although only a list is newer."""
    controller = gossip.GossipController(gossip.GossipConfig('n', 'z', ADDRESS),
                                         replica_lib.Replica(),
                                         random.Random(1), 0)
    controller.on_digest(0, make_digest('a', 50, change=0))
    assert not controller.is_behind(60_000)
    controller.on_change_reported(60_000, 4)
    controller.on_digest(63_000, make_digest('a', 50, change=6))
    assert not controller.is_behind(67_000)
    assert controller.is_behind(67_001)


def test_platform_with_a_lower_revision_confirms_nothing():
    """Guards against a confirmation by a platform that was restored to an older
    state, and against treating a valid result as older because a peer's delta
    arrived first."""
    controller = gossip.GossipController(gossip.GossipConfig('n', 'z', ADDRESS),
                                         replica_lib.Replica(),
                                         random.Random(1), 0)

    def read(now_ms, since, revision):
        controller.on_store_result(
            now_ms,
            actions.StoreResult(now_ms - 50,
                                control.Delta(since, revision, (), -1)))
        return controller.confirmed_age_ms(now_ms)

    controller.on_delta(0, control.Delta(0, 9, (), -1))
    assert read(100, 0, 7) == 50
    assert read(200, 9, 8) == 150
    assert controller.regressions == 1
    assert controller.replica.revision == 9


def test_time_limit_starts_separately_for_each_change():
    """Guards against a balancer that stops although no change is late."""
    tracker = freshness.MissingChangeTracker()
    for n in range(1, 100):
        tracker.on_change_reported(n * 1_000, n, max(0, n - 6))
        tracker.on_applied(max(0, n - 6))
        assert not tracker.is_behind(n * 1_000)
    assert tracker.is_behind(200_000)


def test_next_balancers_read_when_readers_are_down_or_lack_the_platform():
    """Guards against a zone without a reader or with too many readers."""
    names = [f'lb-{i}' for i in range(10)]
    ranked = readers.order('z', names)
    down: set[str] = set()
    without_platform: set[str] = set()
    now_ms = 0
    elections = {n: readers.ReaderElection(n, 'z', 0) for n in names}
    for election in elections.values():
        election.on_registered_names(names)

    def run_and_find_readers():
        nonlocal now_ms
        for now_ms in range(now_ms, now_ms + 30_000, 100):
            for name in set(names) - down:
                for probed in elections[name].on_tick(now_ms):
                    if probed not in down:
                        elections[name].record_digest(
                            probed, probed not in without_platform)
        return [n for n in ranked if n not in down and elections[n].is_reader()]

    assert run_and_find_readers() == ranked[:2]
    down.update(ranked[:3])
    assert run_and_find_readers() == ranked[3:5]
    down.clear()
    assert run_and_find_readers() == ranked[:2]
    without_platform.update(ranked[:2])
    assert run_and_find_readers() == ranked[:4]
    without_platform.update(names)
    assert len(run_and_find_readers()) == readers.MAX_READERS


def test_silent_balancers_are_pruned_unless_the_reader_is_unreliable():
    """Guards against an entry of a dead balancer that is never pruned, and
    against a paused or disconnected reader that prunes its whole zone."""
    tracker = silence.SilenceTracker(0)
    tracker.on_registered_names(0, ['a', 'b', 'c'])
    for now_ms in range(0, limits.BALANCER_SILENCE_MS + 2_000, 1_000):
        tracker.on_tick(now_ms)
        tracker.record_digest(now_ms, 'a')
        tracker.record_digest(now_ms, 'b')
    assert tracker.silent_names(now_ms) == ('c',)
    tracker.on_tick(now_ms + 100_000)
    assert not tracker.silent_names(now_ms + 100_000)
    disconnected = silence.SilenceTracker(0)
    disconnected.on_registered_names(0, ['a', 'b', 'c'])
    assert not disconnected.silent_names(limits.BALANCER_SILENCE_MS + 1)


def make_change_entry(n: int, value: str, revision: int) -> control.Entry:
    """Returns the object of change `n` at `revision`."""
    return control.Entry(change_lib.key(n), value, 1, revision)


@pytest.mark.parametrize('from_platform', [True, False])
def test_invalid_change_stops_a_balancer_until_it_is_corrected(from_platform):
    """Guards against an invalid object that stops all balancers permanently,
    and against routing by outdated contracts because of it."""
    controller = gossip.GossipController(gossip.GossipConfig('n', 'z', ADDRESS),
                                         replica_lib.Replica(),
                                         random.Random(1), 0)
    valid_change = change_lib.Change(1, 'i', 'p', 'ana', 'bo', 1, 0, 1,
                                     change_lib.ZoneOut('z')).to_json()

    def receive(now_ms, delta):
        if from_platform:
            controller.on_store_result(now_ms,
                                       actions.StoreResult(now_ms, delta))
        else:
            controller.on_delta(now_ms, delta)

    receive(0, control.Delta(0, 5, (make_change_entry(1, '{', 5),), -1))
    assert not controller.is_behind(7_000)
    assert controller.is_behind(7_001)
    receive(70_000,
            control.Delta(5, 6, (make_change_entry(1, valid_change, 6),), -1))
    assert controller.replica.contracts.zones_out == {'z'}
    assert not controller.is_behind(200_000)


def test_gap_before_a_change_counts_as_missing_change():
    """Guards against a balancer that serves although a change before the last
    received one is missing."""
    controller = gossip.GossipController(gossip.GossipConfig('n', 'z', ADDRESS),
                                         replica_lib.Replica(),
                                         random.Random(1), 0)
    controller.on_delta(
        0, control.Delta(0, 5, (make_change_entry(2, '{', 5),), -1))
    assert not controller.is_behind(7_000)
    assert controller.is_behind(7_001)
