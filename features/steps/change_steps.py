"""Steps on contract changes: the log, the operators and the replicas."""

import behave

from figdrum.contracts import change as change_lib
from figdrum.contracts.tests import test_change_log as logs
from figdrum.core import errors
from figdrum.object_api import memory_store
from figdrum.sync.tests import simulation

IN_FORCE_MS = 7000


@behave.given('{count:d} balancers in {zones:d} zones')
def step_balancers(context, count, zones):
    context.sim = simulation.Simulation(7)
    context.sim.start(count, zones)
    context.sim.time.run_until(3000)


@behave.given('control messages are lost, delayed and duplicated')
def step_network_faults(context):
    (context.sim.loss, context.sim.repeat,
     context.sim.max_delay_ms) = 0.1, 0.2, 400


@behave.when('change {n:d} is approved')
def step_change(context, n):
    context.sim.append(n)
    context.number = n


@behave.when('every fourth balancer is killed and restarted')
def step_restart(context):
    for node in tuple(context.sim.nodes.values())[::4]:
        context.sim.start_node(node.balancer)


@behave.when('the change log runs for {seconds:d} seconds')
def step_wait(context, seconds):
    time = context.sim.time
    time.run_until(time.now_ms() + seconds * 1000)


@behave.when('the platform of the change log goes down')
def step_log_down(context):
    context.sim.store.down = True


@behave.then('every balancer has change {n:d}')
def step_every_balancer(context, n):
    assert context.sim.changes() == {n}, context.sim.changes()


@behave.then('not every balancer has change {n:d}')
def step_not_every_balancer(context, n):
    assert context.sim.changes() != {n}


@behave.when('two operators approve different changes and an answer is lost')
def step_race(context):
    """Has the second operator approve during the first one's append.

    The platform's answer to that append is lost.
    """
    context.store = store = memory_store.MemoryStore()
    first, second = logs.HookedStore(store), memory_store.DisconnectableStore(
        store)
    logs.result(
        logs.make_log(store).propose_contract(logs.make_contract('one'), 'ana'))
    other = logs.make_log(second)
    logs.result(
        other.propose(change_lib.ContractSet(logs.make_contract('two', 5684)),
                      'ana', 'q1'))
    context.results = []

    def on_call(kind, key):
        if kind != 'put' or not key.startswith('changes/'):
            return
        if not context.results:
            context.results.append(None)
            context.results[0] = logs.result(other.approve('q1', 'bo')).n
        elif len(context.results) == 1:
            store.lose_next_responses = 1
            first.on_call = lambda kind, key: None

    first.on_call = on_call
    try:
        context.results.append(
            logs.result(logs.make_log(first).approve('p1', 'bo')).n)
    except errors.FigdrumError as exc:
        context.results.append(exc)


def _is_race_resolved(context):
    try:
        changes = logs.assert_log_consistent(context.store)
    except (AssertionError, errors.FigdrumError):
        return False
    return [c.n for c in changes] == [1, 2] and sorted(context.results,
                                                       key=str) == [1, 2]


@behave.then(
    'both changes are in force and each operator gets the number of its change')
def step_resolved(context):
    assert _is_race_resolved(context), context.results


@behave.then('a change is lost or an operator gets a wrong result')
def step_unresolved(context):
    assert not _is_race_resolved(context)
