"""Tests of the rules for confirmation, start, lag, readers and silence."""

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
    """Returns a digest of a peer that the platform never confirmed."""
    return control.Digest(name, 'z', '10.0.0.2', 7400, revision, -1, False,
                          change)


def test_peer_ahead_confirms_only_after_catching_up():
    """Guards against a node that counts as confirmed with an old state."""
    confirmation = freshness.Confirmation()
    confirmation.on_peer(1_000, 100, 8, 5)
    assert confirmation.age_ms(1_000) == freshness.NEVER
    confirmation.on_revision(7)
    assert confirmation.age_ms(1_000) == freshness.NEVER
    confirmation.on_revision(8)
    assert confirmation.age_ms(1_000) == 100
    confirmation.on_peer(2_000, 5_000, 3, 8)
    assert confirmation.age_ms(2_000) == 1_100


def test_confirmation_from_before_the_start_does_not_open_the_gate():
    """Guards against a fresh node that serves what was true long ago."""
    gate = freshness.StartGate(10_000)
    assert not gate.on_tick(20_000, 5, 9_999, True, ['a'])
    assert gate.on_tick(20_000, 5, 10_000, True, ['a'])


def test_gate_waits_for_enough_peers_and_the_highest_revision():
    """Guards against a fresh node that serves below its peers' revision while
    the platform is down."""
    gate = freshness.StartGate(0)
    peers = ['a', 'b', 'c']
    gate.on_digest(make_digest('a', 5))
    assert not gate.on_tick(3_000, 5, None, False, peers)
    gate.on_digest(make_digest('b', 9))
    assert not gate.on_tick(3_000, 8, None, False, peers)
    assert not gate.on_tick(1_999, 9, None, False, peers)
    assert not gate.on_tick(3_000, 9, None, True, peers)
    assert gate.on_tick(3_000, 9, None, False, peers)


def test_gate_takes_all_known_peers_when_they_are_few():
    """Guards against a pair of balancers of which none ever starts alone, and
    against a start without any peer."""
    gate = freshness.StartGate(0)
    assert not gate.on_tick(9_000, 0, None, False, [])
    gate.on_digest(make_digest('a', 5))
    assert gate.on_tick(9_000, 5, None, False, ['a'])


def test_balancer_that_misses_a_named_change_is_behind_after_7_s():
    """Guards against a balancer that goes on with an outdated contract, and
    against one that stops for a newer revision without a change."""
    controller = gossip.GossipController(gossip.GossipConfig('n', 'z', ADDRESS),
                                         replica_lib.Replica(),
                                         random.Random(1), 0)
    controller.on_digest(0, make_digest('a', 50, change=0))
    assert not controller.is_behind(60_000)
    controller.on_change_reported(60_000, 4)
    controller.on_digest(63_000, make_digest('a', 50, change=6))
    assert not controller.is_behind(67_000)
    assert controller.is_behind(67_001)


def test_platform_that_goes_back_confirms_nothing():
    """Guards against a restored, old platform that counts as current, and
    against a good answer that counts as old since a peer was faster."""
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


def test_lag_is_counted_from_each_change_of_its_own():
    """Guards against a stop although every change arrives in time."""
    watch = freshness.MissingChangeTracker()
    for n in range(1, 100):
        watch.on_change_reported(n * 1_000, n, max(0, n - 6))
        watch.on_applied(max(0, n - 6))
        assert not watch.is_behind(n * 1_000)
    assert watch.is_behind(200_000)


def test_next_balancers_read_when_readers_are_silent_or_cut_off():
    """Guards against a zone without a reader, and against many readers."""
    names = [f'lb-{i}' for i in range(10)]
    ranked = readers.order('z', names)
    down: set[str] = set()
    cut: set[str] = set()
    now_ms = 0
    elections = {n: readers.ReaderElection(n, 'z', 0) for n in names}
    for election in elections.values():
        election.on_names(names)

    def settle():
        nonlocal now_ms
        for now_ms in range(now_ms, now_ms + 30_000, 100):
            for name in set(names) - down:
                for probed in elections[name].on_tick(now_ms):
                    if probed not in down:
                        elections[name].on_heard(probed, probed not in cut)
        return [n for n in ranked if n not in down and elections[n].is_reader()]

    assert settle() == ranked[:2]
    down.update(ranked[:3])
    assert settle() == ranked[3:5]
    down.clear()
    assert settle() == ranked[:2]
    cut.update(ranked[:2])
    assert settle() == ranked[:4]
    cut.update(names)
    assert len(settle()) == readers.MOST_READERS


def test_silent_balancers_are_named_unless_the_observer_is_confused():
    """Guards against an entry that stays for ever, and against a paused or
    cut-off reader that prunes its whole zone."""
    watch = silence.SilenceWatch(0)
    watch.on_names(0, ['a', 'b', 'c'])
    for now_ms in range(0, limits.BALANCER_SILENCE_MS + 2_000, 1_000):
        watch.on_tick(now_ms)
        watch.on_heard(now_ms, 'a')
        watch.on_heard(now_ms, 'b')
    assert watch.silent(now_ms) == ('c',)
    watch.on_tick(now_ms + 100_000)
    assert not watch.silent(now_ms + 100_000)
    cut_off = silence.SilenceWatch(0)
    cut_off.on_names(0, ['a', 'b', 'c'])
    assert not cut_off.silent(limits.BALANCER_SILENCE_MS + 1)


def make_entry(n: int, value: str, revision: int) -> control.Entry:
    """Returns the object of change `n` at `revision`."""
    return control.Entry(change_lib.key(n), value, 1, revision)


@pytest.mark.parametrize('from_platform', [True, False])
def test_damaged_change_stops_a_balancer_until_it_is_mended(from_platform):
    """Guards against one damaged object that stops every balancer for good,
    and against routing by contracts of which a newer version exists."""
    controller = gossip.GossipController(gossip.GossipConfig('n', 'z', ADDRESS),
                                         replica_lib.Replica(),
                                         random.Random(1), 0)
    good = change_lib.Change(1, 'i', 'p', 'ana', 'bo', 1, 0, 1,
                             change_lib.ZoneOut('z')).to_json()

    def take(now_ms, delta):
        if from_platform:
            controller.on_store_result(now_ms,
                                       actions.StoreResult(now_ms, delta))
        else:
            controller.on_delta(now_ms, delta)

    take(0, control.Delta(0, 5, (make_entry(1, '{', 5),), -1))
    assert not controller.is_behind(7_000)
    assert controller.is_behind(7_001)
    take(70_000, control.Delta(5, 6, (make_entry(1, good, 6),), -1))
    assert controller.replica.contracts.zones_out == {'z'}
    assert not controller.is_behind(200_000)


def test_change_after_a_gap_counts_as_missing():
    """Guards against a balancer that serves although a change between is
    missing."""
    controller = gossip.GossipController(gossip.GossipConfig('n', 'z', ADDRESS),
                                         replica_lib.Replica(),
                                         random.Random(1), 0)
    controller.on_delta(0, control.Delta(0, 5, (make_entry(2, '{', 5),), -1))
    assert not controller.is_behind(7_000)
    assert controller.is_behind(7_001)
