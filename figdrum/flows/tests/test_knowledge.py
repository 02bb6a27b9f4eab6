"""Changes reach a balancer whose watch of the store has failed.

Other balancers tell them to the agents, whose reports have the newest versions.
"""

import pytest

from figdrum.core import revisions
from figdrum.flows import actions
from figdrum.flows import messages
from figdrum.flows.tests import simulation

BALANCER = ('front-1', 1)
DISCONNECTED_BALANCER = ('front-2', 1)


@pytest.fixture(name='sim')
def _simulation() -> simulation.Simulation:
    sim = simulation.Simulation()
    sim.configure(1, {1: [('one', 1.0)]})
    for number in range(4):
        sim.add_target(f'target-{number}', zone='ab'[number % 2])
    for name in ('front-1', 'front-2'):
        sim.add_balancer(name)
    sim.take_zones_out(set(), 5)
    sim.run(2_000)
    return sim


def test_newer_version_in_reports_makes_a_balancer_refresh(sim):
    disconnected = sim.balancers.pop(DISCONNECTED_BALANCER)
    sim.configure(2, {1: [('two', 1.0)]})
    sim.balancers[DISCONNECTED_BALANCER] = disconnected
    sim.run(2_000)
    assert set(sim.refreshed_balancers) == {DISCONNECTED_BALANCER}


def test_equal_versions_cause_no_refreshes(sim):
    sim.configure(2, {1: [('two', 1.0)]})
    sim.run(5_000)
    assert not sim.refreshed_balancers


def test_zone_out_reaches_a_balancer_in_reports(sim):
    disconnected = sim.balancers.pop(DISCONNECTED_BALANCER)
    sim.take_zones_out({'a'}, 9)
    sim.balancers[DISCONNECTED_BALANCER] = disconnected
    sim.run(2_000)
    clients = [
        simulation.Client(sim, DISCONNECTED_BALANCER, n) for n in range(20)
    ]
    for client in clients:
        client.open()
    sim.run(500)
    assert not any(
        t.opening_times_ms for t in sim.targets.values() if t.zone == 'a')
    assert any(
        t.opening_times_ms for t in sim.targets.values() if t.zone == 'b')


def test_older_zones_in_reports_are_ignored(sim):
    disconnected = sim.balancers.pop(DISCONNECTED_BALANCER)
    sim.take_zones_out({'a'}, 9)
    sim.balancers[DISCONNECTED_BALANCER] = disconnected
    sim.take_zones_out({'a'}, 10)
    sim.run(2_000)
    assert len(sim.events('zones out')) == 2


def _opened_zones(sim: simulation.Simulation) -> set[str]:
    """Returns the zones in which the disconnected balancer opens flows."""
    clients = [
        simulation.Client(sim, DISCONNECTED_BALANCER, n) for n in range(20)
    ]
    for client in clients:
        client.open()
    sim.run(500)
    return {t.zone for t in sim.targets.values() if t.opening_times_ms}


# A zone taken out after a restore of the store has a lower revision number than
# what was known before.
def test_zone_out_after_a_restore_reaches_a_balancer_in_reports(sim):
    sim.take_zones_out(set(), revisions.make(1, 90))
    disconnected = sim.balancers.pop(DISCONNECTED_BALANCER)
    sim.take_zones_out({'a'}, revisions.make(2, 40))
    sim.balancers[DISCONNECTED_BALANCER] = disconnected
    sim.run(2_000)
    assert _opened_zones(sim) == {'b'}


# A balancer that starts after a restore reads the zones before the operator has
# written them again.
def test_zone_that_a_restored_store_lacks_stays_out_at_first(sim):
    sim.take_zones_out({'a'}, revisions.make(1, 90))
    disconnected = sim.balancers.pop(DISCONNECTED_BALANCER)
    sim.take_zones_out(set(), revisions.make(2, 40))
    sim.balancers[DISCONNECTED_BALANCER] = disconnected
    sim.run(1_000)
    assert _opened_zones(sim) == {'b'}
    sim.balancers.pop(DISCONNECTED_BALANCER)
    sim.take_zones_out(set(), revisions.make(2, 41))
    sim.balancers[DISCONNECTED_BALANCER] = disconnected
    sim.run(2_000)
    assert _opened_zones(sim) == {'a', 'b'}


def test_registration_of_a_silent_agent_is_removed_after_some_minutes(sim):
    sim.silent.add(('target-1', 2))
    sim.run(148_000)
    assert not sim.removed_registrations
    sim.run(32_000)
    assert set(sim.removed_registrations) == {'target-1'}


# An agent that one balancer cannot hear for long keeps its entry while another
# one hears it. Without the entry, a new balancer would take the other agents'
# denials as proof that nobody holds a flow.
def test_registration_of_an_agent_that_another_balancer_hears_stays(sim):
    sim.cut.add((DISCONNECTED_BALANCER, ('target-1', 2)))
    sim.run(400_000)
    assert sim.events('agent gone')
    assert not sim.removed_registrations


def test_agent_that_lives_keeps_its_place_if_its_entry_is_removed(sim):
    balancer = sim.balancers[BALANCER]
    result = balancer.on_registration_removed(sim.now_ms, 'target-1')
    assert balancer.targets.by_name('target-1')
    message, = [
        messages.decode(a.data)
        for a in result
        if isinstance(a, actions.SendToPeer)
    ]
    agent = sim.agents['target-1', 2]
    for expected in (1, 0):
        checks = agent.on_message(sim.now_ms, BALANCER,
                                  messages.encode(message))
        assert [type(a) for a in checks
               ] == [actions.VerifyRegistration] * expected
    sim.silent.add(('target-1', 2))
    sim.run(20_000)
    balancer.on_registration_removed(sim.now_ms, 'target-1')
    assert not balancer.targets.by_name('target-1')
