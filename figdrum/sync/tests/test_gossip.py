"""Tests of gossip among many nodes in virtual time."""

import pytest

from figdrum.sync import freshness
from figdrum.sync.tests import simulation
from figdrum.sync import token_bucket

CHANGE_LIMIT_MS = 7_000
"""P10: a change is in force on every balancer within this time."""

LIST_UPDATE_LIMIT_MS = 3_000
"""P8: a leaving target receives no new requests after this time."""

STARTUP_MS = 3_000


@pytest.mark.parametrize('count,zones', [(3, 3), (30, 3), (100, 8), (300, 8)])
def test_change_is_in_force_in_time_within_the_control_rate(count, zones):
    """Guards against gossip that spreads a change too slowly or sends more
    bytes than the control rate allows."""
    sim = simulation.Simulation(count)
    sim.start(count, zones)
    sim.time.run_until(STARTUP_MS)
    assert all(node.gossip.can_serve for node in sim.nodes.values())
    for n in range(1, 4):
        sim.append(n)
        start_ms = sim.time.now_ms()
        sim.time.run_until(start_ms + CHANGE_LIMIT_MS)
        assert sim.changes() == {n}
    span_ms = sim.time.now_ms() - STARTUP_MS
    for node in sim.nodes.values():
        sent = sum(size for at, size in node.sent if at > STARTUP_MS)
        assert sent * 1_000 <= token_bucket.CONTROL_BYTES_PER_S * span_ms
        assert not node.gossip.is_behind(sim.time.now_ms())


def test_list_update_reaches_all_within_seconds():
    """Guards against balancers that forward new flows to a leaving target (P8).
    """
    sim = simulation.Simulation(2)
    sim.start(100, 1)
    sim.time.run_until(STARTUP_MS)
    sim.write_list('fieldbook', 700)
    sim.time.run_until(STARTUP_MS + LIST_UPDATE_LIMIT_MS)
    assert sim.revisions() == {sim.store.revision}


def test_only_the_readers_read_the_platform():
    """Guards against reads of the platform by more than two nodes a zone."""
    sim = simulation.Simulation(1)
    sim.start(100, 8)
    sim.time.run_until(20_000)
    before = sim.store.calls['watch']
    sim.time.run_until(30_000)
    reads_a_second = (sim.store.calls['watch'] - before) / 10
    # Two readers in each of 8 zones, one watch each 2 s.
    assert reads_a_second <= 2 * 8 / 2 + 1


@pytest.mark.parametrize('seed', range(8))
def test_replicas_never_go_back_and_converge_after_faults(seed):
    """Guards against replicas that go back or do not converge after lost,
    repeated and late messages, restarts, partitions and platform faults.

    After each executed action every node checks that its revision and its last
    change number have not decreased.
    """
    sim = simulation.Simulation(seed)
    rng = sim.rng
    sim.start(24, 4)
    n = 0
    for step in range(60):
        sim.time.run_until((step + 1) * 500)
        sim.loss, sim.repeat = rng.choice([0, 0.3, 0.8]), rng.choice([0, 0.5])
        sim.max_delay_ms = rng.choice([4, 900, 3_000])
        sim.partitioned_zones = frozenset(
            rng.choice([(), (), ('zone-0',), ('zone-1',)]))
        sim.store.down = rng.random() < 0.3
        sim.store.delay_ms = rng.choice([0, 0, 700, 4_000])
        for node in sim.nodes.values():
            node.link.is_disconnected = rng.random() < 0.2
        if rng.random() < 0.4:
            sim.start_node(rng.choice(list(sim.nodes.values())).balancer)
        if not sim.store.down and not sim.store.delay_ms:
            n += 1
            sim.append(n)
    sim.loss, sim.repeat, sim.max_delay_ms = 0, 0, 4
    sim.partitioned_zones = frozenset()
    sim.store.down, sim.store.delay_ms = False, 0
    for node in sim.nodes.values():
        node.link.is_disconnected = False
    # Results of reads in flight arrive up to 4 s later.
    sim.time.run_until(sim.time.now_ms() + 4_000 + CHANGE_LIMIT_MS)
    assert n > 5
    assert sim.changes() == {n}
    assert all(node.gossip.can_serve for node in sim.nodes.values())


def test_losing_both_readers_of_a_zone_delays_no_change():
    """Guards against a zone that receives no changes without its readers."""
    sim = simulation.Simulation(3)
    sim.start(12, 1)
    sim.time.run_until(STARTUP_MS)
    for node in sim.nodes.values():
        node.alive = not node.gossip.is_reader()
    dead = [a for a, node in sim.nodes.items() if not node.alive]
    assert len(dead) == 2
    sim.append(1)
    sim.time.run_until(sim.time.now_ms() + CHANGE_LIMIT_MS)
    for address in dead:
        del sim.nodes[address]
    assert sim.changes() == {1}


def test_fresh_node_with_the_platform_down_serves_the_highest_revision():
    """Guards against a restarted node that serves with an outdated or empty
    replica while the platform is down, or does not serve at all."""
    sim = simulation.Simulation(4)
    sim.start(9, 3)
    sim.append(1)
    sim.time.run_until(STARTUP_MS)
    sim.store.down = True
    node = sim.start_node(next(iter(sim.nodes.values())).balancer)
    sim.time.run_until(STARTUP_MS + freshness.PEER_DIGEST_WAIT_MS - 200)
    assert not node.gossip.can_serve
    sim.time.run_until(STARTUP_MS + freshness.PEER_DIGEST_WAIT_MS + 1_000)
    assert node.gossip.can_serve
    assert node.replica.contracts.change == 1


def test_fresh_node_alone_with_the_platform_down_does_not_serve():
    """Guards against a node that serves with an empty replica."""
    sim = simulation.Simulation(5)
    sim.store.down = True
    sim.start(1, 1)
    sim.time.run_until(20_000)
    assert not next(iter(sim.nodes.values())).gossip.can_serve


def test_change_is_in_force_in_time_amid_many_list_updates():
    """Guards against a zone-out that is delayed by updates of lists.

    When all agents of a zone leave, their list updates exceed what the control
    rate allows within the time limit for the change.
    """
    sim = simulation.Simulation(6)
    sim.start(60, 8)
    sim.time.run_until(STARTUP_MS)
    for i in range(1_200):
        if i == 600:
            sim.append(1)
        sim.write_list(f'service-{i % 300}', 700)
        sim.time.run_until(sim.time.now_ms() + 10)
    sim.time.run_until(sim.time.now_ms() + CHANGE_LIMIT_MS - 600 * 10)
    assert sim.changes() == {1}
    # 300 lists are 210 KB, which take one node 42 s to send, and only the few
    # readers send them at first.
    deadline_ms = sim.time.now_ms() + 200_000
    while sim.revisions() != {sim.store.revision}:
        sim.time.run_until(sim.time.now_ms() + 5_000)
        assert sim.time.now_ms() < deadline_ms
