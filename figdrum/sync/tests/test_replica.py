"""Tests of the replica under deltas in any order."""

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
    """All writes in order, as the platform's clients may see them."""

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
        """Returns all that changed after `since`."""
        entries = [e for e in self.latest.values() if e.revision > since]
        return control.Delta(
            since, self.revision,
            tuple(sorted(entries, key=lambda entry: entry.revision)), -1)

    def check(self, replica: replica_lib.Replica, service: str) -> None:
        """Checks what the replica's revision promises for `service`."""
        entry = self.latest.get(f'lists/{service}')
        if entry is not None and entry.revision <= replica.revision:
            assert replica.service_list(service).version == entry.version
        due = sum(0 < r <= replica.revision for r in self.change_revisions)
        assert replica.contracts.change >= due


@pytest.mark.parametrize('seed', range(30))
def test_any_order_of_deltas_keeps_every_replica_complete(seed):
    """Guards against a replica that claims a revision whose objects it lacks,
    or goes back, when deltas are cut, repeated, late or from a peer behind."""
    rng = random.Random(seed)
    platform = Platform()
    scope = replica_lib.agent_scope('a')
    replicas = [replica_lib.Replica() for _ in range(4)]
    agents = [replica_lib.Replica(scope) for _ in range(2)]
    late: list[control.Delta] = []
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
        late.append(delta)
        agent = rng.choice(agents)
        part = sender.delta_since(agent.revision, scope, limit)
        for target, message in ((receiver, rng.choice([delta] + late[-20:])),
                                (agent, part)):
            before = (target.revision, target.contracts.change)
            target.apply(message)
            assert target.revision >= before[0]
            assert target.contracts.change >= before[1]
            platform.check(target, 'a')
    assert max(r.contracts.change for r in replicas) > replica_lib.KEPT_CHANGES
    assert max(a.contracts.change for a in agents) > replica_lib.KEPT_CHANGES


def test_fresh_replica_gets_the_base_and_not_the_whole_log():
    """Guards against a log that each fresh node has to replay for ever."""
    platform = Platform()
    old = replica_lib.Replica()
    for _ in range(350):
        platform.append()
        old.apply(platform.delta(old.revision))
    fresh = replica_lib.Replica()
    delta = old.delta_since(0, limit_bytes=10**6)
    assert len(delta.entries) <= 2 * replica_lib.KEPT_CHANGES + 1
    fresh.apply(delta)
    assert fresh.contracts == old.contracts
    assert fresh.delta_since(0, limit_bytes=10**6) == delta


def test_platform_snapshot_costs_a_node_that_has_its_changes_nothing():
    """Guards against a snapshot that is sent to all nodes."""
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


def test_parts_stay_within_a_control_message():
    """Guards against a control message above 16 KB."""
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


@pytest.mark.parametrize('bad', ['', '[]', '{"n": 2}', make_change(3)])
def test_unreadable_change_stops_the_fold_and_is_reported(bad, caplog):
    """Guards against a bad entry that ends the process or is passed over, and
    against a log line that does not name the object and the code."""
    platform = Platform()
    platform.append()
    platform.write(change_lib.key(2), bad)
    platform.write(change_lib.key(3), make_change(3))
    platform.write('lists/a', 'not a list')
    node = replica_lib.Replica()
    node.apply(platform.delta(0))
    assert node.contracts.change == 1
    assert node.fault
    assert any('changes/0000000002: FD400' in line for line in caplog.messages)


def test_mended_change_is_taken_also_by_agents():
    """Guards against nodes that keep a damaged object until a restart."""
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
    """Guards against a change that reverts when its object is overwritten."""
    platform = Platform()
    platform.append()
    node = replica_lib.Replica()
    node.apply(platform.delta(0))
    before = node.delta_since(0).entries
    platform.write(change_lib.key(1), '{')
    assert not node.apply(platform.delta(node.revision))
    assert node.delta_since(0).entries == before


def test_subscriber_receives_changes_and_its_own_list_only():
    """Guards against an agent that misses a change or gets all lists."""
    platform = Platform()
    balancer = replica_lib.Replica()
    agent = replica_lib.Replica(replica_lib.agent_scope('a'))
    control_ = subscriptions.SubscriptionController(balancer,
                                                    token_bucket.TokenBucket())

    def deliver(actions):
        for action in actions:
            agent.apply(action.message)
        return len(actions)

    subscribe = control.Subscribe('a-1', 'a', 0)
    assert deliver(control_.on_subscribe(0, STREAM, subscribe)) == 1
    for step in range(1, 40):
        platform.append()
        platform.write('lists/a-other', '{"members": []}')
        balancer.apply(platform.delta(balancer.revision))
        deliver(control_.on_tick(step))
    assert agent.contracts.change == 39
    assert not agent.services()
    platform.write('lists/a', '{"members": []}')
    platform.write('lists/b', '{"members": []}')
    balancer.apply(platform.delta(balancer.revision))
    assert deliver(control_.on_tick(50)) == 1
    assert agent.services() == ('a',)
    assert deliver(control_.on_tick(51)) == 0
    control_.on_closed(STREAM)
    assert not control_.on_tick(52)


def test_subscriber_is_caught_up_when_the_bucket_fills_again():
    """Guards against a part that the token bucket refused and nobody sends."""
    platform = Platform()
    balancer = replica_lib.Replica()
    for _ in range(150):
        platform.append()
    balancer.apply(platform.delta(0))
    agent = replica_lib.Replica(replica_lib.agent_scope('a'))
    bucket = token_bucket.TokenBucket(burst=20_000)
    control_ = subscriptions.SubscriptionController(balancer, bucket)
    actions = control_.on_subscribe(0, STREAM, control.Subscribe('a-1', 'a', 0))
    for now_ms in range(0, 20_000, 100):
        for action in actions:
            agent.apply(action.message)
        actions = control_.on_tick(now_ms)
    assert agent.contracts.change == 150
