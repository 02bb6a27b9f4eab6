"""Tests of the in-memory store, and of the loader on top of it."""

import pytest

from figdrum.contracts import change as change_lib
from figdrum.contracts import state as state_lib
from figdrum.core import errors
from figdrum.object_api import loader
from figdrum.object_api import memory_store
from figdrum.sync import replica as replica_lib
from figdrum.sync.tests import simulation

PREFIXES = ('lists/', 'balancers/')


def outcome(deferred) -> list:
    """Returns a list that receives the result or the type of the error."""
    found = []
    deferred.addCallbacks(found.append, lambda f: found.append(f.type))
    return found


def test_versions_decide_writes():
    """Guards against a write that replaces a newer version."""
    store = memory_store.MemoryStore()
    assert outcome(store.put('a', '1', 0))[0].version == 1
    assert outcome(store.put('a', '2', 0)) == [errors.ConflictError]
    assert outcome(store.put('a', '2', 1))[0].revision == 2
    assert outcome(store.put('b', 'x' * 1_000_001,
                             0)) == [errors.ValueTooLargeError]


def test_lost_answer_takes_effect():
    """Guards against a lost response that also loses the write."""
    store = memory_store.MemoryStore()
    store.lose_next_responses = 1
    assert outcome(store.put('a', '1', 0)) == [errors.StoreError]
    assert outcome(store.get('a'))[0].value == '1'


def test_watch_wakes_expires_and_fails():
    """Guards against a watch that misses a write or never ends."""
    time = simulation.VirtualTime()
    store = memory_store.MemoryStore(time)
    woken, idle = [outcome(store.watch(p, 0, 500)) for p in ('a', 'b')]
    store.put('a', '1', 0)
    assert [item.key for item in woken[0][0]] == ['a']
    time.run_until(500)
    assert idle == [((), 1)]
    failed = outcome(store.watch('a', 1, 500))
    store.down = True
    assert failed == [errors.StoreError]


def test_slow_store_answers_late_and_a_cut_link_never_sees_it():
    """Guards against a response that reaches a disconnected client."""
    time = simulation.VirtualTime()
    store = memory_store.MemoryStore(time)
    store.delay_ms = 300
    connected, disconnected = memory_store.DisconnectableStore(
        store), memory_store.DisconnectableStore(store)
    outcomes = [outcome(link.get('a')) for link in (connected, disconnected)]
    disconnected.is_disconnected = True
    time.run_until(299)
    assert outcomes == [[], []]
    time.run_until(300)
    assert outcomes == [[None], [errors.StoreError]]


@pytest.mark.parametrize('snapshot', ['good', 'bad', 'none'])
def test_load_and_watch_give_the_whole_state(snapshot):
    """Guards against a first read that misses changes before or after a
    snapshot, and against one that fails because of a damaged snapshot."""
    sim = simulation.Simulation(1)
    store = sim.store
    for n in range(1, 31):
        sim.append(n)
        sim.write_list('a', n)
        if n == 20 and snapshot != 'none':
            node = replica_lib.Replica()
            node.apply(outcome(loader.load(store, PREFIXES))[0])
            text = state_lib.Snapshot(
                node.contracts,
                store.get(change_lib.key(20)).result.revision).to_json()
            store.put(state_lib.SNAPSHOT_KEY,
                      text if snapshot == 'good' else 'bad', 0)
    node = replica_lib.Replica()
    delta = outcome(loader.load(store, PREFIXES))[0]
    assert len(delta.entries) == (12 if snapshot == 'good' else 31)
    node.apply(delta)
    assert node.contracts.change == 30
    assert node.service_list('a').version == 30
    sim.append(31)
    node.apply(outcome(loader.watch(store, node.revision, 0))[0])
    assert (node.contracts.change, node.revision) == (31, store.revision)
