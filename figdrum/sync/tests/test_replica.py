"""Tests of the replica and of subscriptions to it."""

import random

import pytest

from figdrum.contracts import change as change_lib
from figdrum.contracts import state as state_lib
from figdrum.messages import codec
from figdrum.messages import control
from figdrum.sync import replica as replica_lib
from figdrum.sync import subscriptions
from figdrum.sync import token_bucket

STREAM = 'stream'


def make_change(n: int) -> str:
    """Returns the value of change `n`, which takes a zone out or in."""
    kind = change_lib.ZoneOut if n % 2 else change_lib.ZoneIn
    return change_lib.Change(n, f'id-{n}', f'p-{n}', 'ana', 'bo', n,
                             max(0, n - 1), n, kind('z')).to_json()


class Platform:
    """Fake platform that holds the latest version of each object."""

    def __init__(self):
        self.latest: dict[str, control.Entry] = {}
        self.revision = 0
        self.changes = 0
        self.change_revisions = [0]

    def write(self, key: str, value: str) -> None:
        """Writes the next version of `key`."""
        self.revision += 1
        version = self.latest[key].version + 1 if key in self.latest else 1
        self.latest[key] = control.Entry(key, value, version, self.revision)

    def append(self) -> None:
        """Appends the next change."""
        self.changes += 1
        self.write(change_lib.key(self.changes), make_change(self.changes))
        self.change_revisions.append(self.revision)

    def delta(self, since: int) -> control.Delta:
        """Returns all objects that changed after revision `since`."""
        entries = [e for e in self.latest.values() if e.revision > since]
        return control.Delta(
            since, self.revision,
            tuple(sorted(entries, key=lambda entry: entry.revision)), -1)

    def assert_complete(self, replica: replica_lib.Replica,
                        service: str) -> None:
        """Asserts that the replica is complete up to its revision.

        This covers the contract changes and the list of `service`.
        """
        entry = self.latest.get(f'lists/{service}')
        if entry is not None and entry.revision <= replica.revision:
            assert replica.service_list(service).version == entry.version
        due = sum(0 < r <= replica.revision for r in self.change_revisions)
        assert replica.contracts.change >= due


@pytest.mark.parametrize('seed', range(30))
def test_any_order_of_deltas_keeps_every_replica_complete(seed):
    """Guards against a replica that lacks objects of its revision, or whose
    revision decreases, when deltas are partial, repeated, late or from a peer
    that is behind."""
    rng = random.Random(seed)
    platform = Platform()
    scope = replica_lib.agent_scope('a')
    replicas = [replica_lib.Replica() for _ in range(4)]
    agents = [replica_lib.Replica(scope) for _ in range(2)]
    earlier_deltas: list[control.Delta] = []
    for _ in range(600):
        if rng.random() < 0.5:
            platform.append()
        else:
            platform.write(f'lists/{rng.choice("abc")}', '{"members": []}')
        receiver, sender = rng.sample(replicas, 2)
        revision = rng.choice([receiver.revision, rng.randint(0, 600)])
        limit = rng.choice([200, 3_000, 10**6])
        delta = rng.choice([
            sender.delta_since(revision, limit_bytes=limit),
            sender.changes_after(receiver.contracts.change, limit),
        ])
        if rng.random() < 0.1:
            delta = platform.delta(receiver.revision)
        earlier_deltas.append(delta)
        agent = rng.choice(agents)
        part = sender.delta_since(agent.revision, scope, limit)
        for target, message in ((receiver,
                                 rng.choice([delta] + earlier_deltas[-20:])),
                                (agent, part)):
            before = (target.revision, target.contracts.change)
            target.apply(message)
            assert target.revision >= before[0]
            assert target.contracts.change >= before[1]
            platform.assert_complete(target, 'a')
    assert max(
        r.contracts.change for r in replicas) > replica_lib.RETAINED_CHANGES
    assert max(
        a.contracts.change for a in agents) > replica_lib.RETAINED_CHANGES


def test_fresh_replica_receives_the_base_instead_of_all_changes():
    """Guards against a fresh node that has to replay all changes ever made."""
    platform = Platform()
    old = replica_lib.Replica()
    for _ in range(350):
        platform.append()
        old.apply(platform.delta(old.revision))
    fresh = replica_lib.Replica()
    delta = old.delta_since(0, limit_bytes=10**6)
    assert len(delta.entries) <= 2 * replica_lib.RETAINED_CHANGES + 1
    fresh.apply(delta)
    assert fresh.contracts == old.contracts
    assert fresh.delta_since(0, limit_bytes=10**6) == delta


def test_platform_snapshot_is_not_sent_to_a_node_that_has_its_changes():
    """Guards against sending the snapshot to nodes that have its changes."""
    platform = Platform()
    node = replica_lib.Replica()
    for _ in range(100):
        platform.append()
    node.apply(platform.delta(0))
    snapshot = state_lib.Snapshot(node.contracts, platform.revision)
    platform.write(state_lib.SNAPSHOT_KEY, snapshot.to_json())
    before = node.revision
    assert not node.apply(platform.delta(before))
    assert node.revision == platform.revision
    assert not node.delta_since(before).entries


def test_deltas_fit_into_a_control_message():
    """Guards against a control message larger than 16 KB."""
    platform = Platform()
    for i in range(300):
        platform.write(f'lists/{i}', '{"members": []}' + ' ' * (i * 40))
    sender, receiver = replica_lib.Replica(), replica_lib.Replica()
    sender.apply(platform.delta(0))
    while receiver.revision < sender.revision:
        delta = sender.delta_since(receiver.revision)
        assert len(codec.encode(delta)) <= 16_384
        assert receiver.apply(delta)
    assert receiver.services() == sender.services()


@pytest.mark.parametrize(
    'invalid_value',
    ['', '[]', '{"n": 2}', make_change(3)])
def test_invalid_change_stops_the_fold_and_is_logged(invalid_value, caplog):
    """Guards against an invalid change that crashes the process or is skipped,
    and against a log line without the object's key and the error code."""
    platform = Platform()
    platform.append()
    platform.write(change_lib.key(2), invalid_value)
    platform.write(change_lib.key(3), make_change(3))
    platform.write('lists/a', 'not a list')
    node = replica_lib.Replica()
    node.apply(platform.delta(0))
    assert node.contracts.change == 1
    assert node.object_error
    assert any('changes/0000000002: FD400' in line for line in caplog.messages)


def test_corrected_change_is_applied_by_balancers_and_agents():
    """Guards against nodes that keep an invalid object until a restart."""
    platform = Platform()
    platform.append()
    platform.write(change_lib.key(2), '{')
    node = replica_lib.Replica()
    agent = replica_lib.Replica(replica_lib.agent_scope('a'))
    node.apply(platform.delta(0))
    agent.apply(node.delta_since(0))
    assert agent.contracts.change == 1
    platform.write(change_lib.key(2), make_change(2))
    node.apply(platform.delta(node.revision))
    agent.apply(node.delta_since(agent.revision))
    for replica in (node, agent):
        assert replica.contracts.change == 2


def test_applied_change_is_never_replaced():
    """Guards against reverting an applied change when its object changes."""
    platform = Platform()
    platform.append()
    node = replica_lib.Replica()
    node.apply(platform.delta(0))
    before = node.delta_since(0).entries
    platform.write(change_lib.key(1), '{')
    assert not node.apply(platform.delta(node.revision))
    assert node.delta_since(0).entries == before


def test_subscriber_receives_changes_and_its_own_list_only():
    """Guards against an agent that misses a change or receives other lists."""
    platform = Platform()
    balancer = replica_lib.Replica()
    agent = replica_lib.Replica(replica_lib.agent_scope('a'))
    controller = subscriptions.SubscriptionController(
        balancer, token_bucket.TokenBucket())

    def deliver(actions):
        for action in actions:
            agent.apply(action.message)
        return len(actions)

    subscribe = control.Subscribe('a-1', 'a', 0)
    assert deliver(controller.on_subscribe(0, STREAM, subscribe)) == 1
    for step in range(1, 40):
        platform.append()
        platform.write('lists/a-other', '{"members": []}')
        balancer.apply(platform.delta(balancer.revision))
        deliver(controller.on_tick(step))
    assert agent.contracts.change == 39
    assert not agent.services()
    platform.write('lists/a', '{"members": []}')
    platform.write('lists/b', '{"members": []}')
    balancer.apply(platform.delta(balancer.revision))
    assert deliver(controller.on_tick(50)) == 1
    assert agent.services() == ('a',)
    assert deliver(controller.on_tick(51)) == 0
    controller.on_closed(STREAM)
    assert not controller.on_tick(52)


def test_subscriber_receives_refused_updates_when_the_bucket_has_refilled():
    """Guards against an update that is never sent after the token bucket
    refused it once."""
    platform = Platform()
    balancer = replica_lib.Replica()
    for _ in range(150):
        platform.append()
    balancer.apply(platform.delta(0))
    agent = replica_lib.Replica(replica_lib.agent_scope('a'))
    bucket = token_bucket.TokenBucket(burst_bytes=20_000)
    controller = subscriptions.SubscriptionController(balancer, bucket)
    actions = controller.on_subscribe(0, STREAM,
                                      control.Subscribe('a-1', 'a', 0))
    for now_ms in range(0, 20_000, 100):
        for action in actions:
            agent.apply(action.message)
        actions = controller.on_tick(now_ms)
    assert agent.contracts.change == 150
