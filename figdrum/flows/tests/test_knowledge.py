"""Operators' wishes reach a balancer whose watch has gone deaf."""

import pytest

from figdrum.flows.tests import world as world_module

FRONT = ('front-1', 1)
DEAF = ('front-2', 1)


@pytest.fixture(name='world')
def _world() -> world_module.World:
    world = world_module.World()
    world.configure(1, {1: [('one', 1.0)]})
    for number in range(4):
        world.add_target(f'target-{number}', zone='ab'[number % 2])
    for name in ('front-1', 'front-2'):
        world.add_balancer(name)
    world.take_zones_out(set(), 5)
    world.run(2_000)
    return world


def test_newer_version_elsewhere_makes_a_balancer_read_again(world):
    deaf = world.balancers.pop(DEAF)
    world.configure(2, {1: [('two', 1.0)]})
    world.balancers[DEAF] = deaf
    world.run(2_000)
    assert set(world.refreshes) == {DEAF}


def test_equal_versions_cause_no_reads(world):
    world.configure(2, {1: [('two', 1.0)]})
    world.run(5_000)
    assert not world.refreshes


def test_zone_out_reaches_a_balancer_by_the_agents(world):
    deaf = world.balancers.pop(DEAF)
    world.take_zones_out({'a'}, 9)
    world.balancers[DEAF] = deaf
    world.run(2_000)
    clients = [world_module.Client(world, DEAF, n) for n in range(20)]
    for client in clients:
        client.open()
    world.run(500)
    assert not any(t.opened_at for t in world.targets.values() if t.zone == 'a')
    assert any(t.opened_at for t in world.targets.values() if t.zone == 'b')


def test_older_knowledge_of_zones_changes_nothing(world):
    deaf = world.balancers.pop(DEAF)
    world.take_zones_out({'a'}, 9)
    world.balancers[DEAF] = deaf
    world.take_zones_out({'a'}, 10)
    world.run(2_000)
    assert len(world.events('zones out')) == 2


def test_registration_of_a_silent_agent_is_removed_after_two_minutes(world):
    world.silent.add(('target-1', 2))
    world.run(100_000)
    assert not world.forgotten
    world.run(30_000)
    assert set(world.forgotten) == {'target-1'}
