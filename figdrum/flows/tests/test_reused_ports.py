"""Flows from an address and port that an earlier flow of the client had.

Clients' kernels hand out ports again. What nodes know of the earlier flow must
not be taken for the later one.
"""

import pytest

from figdrum.flows.tests import simulation

FLOWS = 20


def _simulate(targets: int) -> simulation.Simulation:
    sim = simulation.Simulation()
    sim.configure(1, {1: [('one', 1.0)]})
    for number in range(targets):
        sim.add_target(f'target-{number}', zone='ab'[number % 2])
    for name in ('front-1', 'front-2'):
        sim.add_balancer(name)
    sim.run(2_000)
    return sim


def _use_again(sim: simulation.Simulation,
               client: simulation.Client,
               later_balancer: str = 'front-1',
               step: int = 1_000_000) -> None:
    client.open_again(step)
    sim.run(20)
    client.balancer = (later_balancer, 1)
    # The client retransmits.
    for _ in range(3):
        if not client.answers:
            client.request()
            sim.run(200)


# A closed flow stays in the agents' tables for 5 s, one whose client has
# vanished for 65 s.
@pytest.mark.parametrize('acknowledges, wait_ms',
                         ((True, 100), (True, 1_000), (False, 100),
                          (False, 1_000), (False, 8_000), (None, 10_000),
                          (None, 20_000)))
@pytest.mark.parametrize('targets', (1, 7))
def test_flow_from_a_used_port_is_served(targets, acknowledges, wait_ms):
    sim = _simulate(targets)
    clients = simulation.open_flows(sim, FLOWS)
    for client in clients:
        if acknowledges is not None:
            client.close(acknowledges)
        sim.run(wait_ms)
        _use_again(sim, client)
    assert [client.answers for client in clients] == [1] * FLOWS
    assert not any(client.resets for client in clients)


@pytest.mark.parametrize('acknowledges', (True, False, None))
@pytest.mark.parametrize('wait_ms', (0, 1_000, 10_000))
def test_balancer_that_carried_the_earlier_flow_finds_the_later_one(
        acknowledges, wait_ms):
    sim = _simulate(7)
    clients = simulation.open_flows(sim, FLOWS)
    for client in clients:
        client.balancer = ('front-2', 1)
        client.request()
        sim.run(100)
        if acknowledges is not None:
            client.close(acknowledges)
        sim.run(wait_ms)
        client.balancer = ('front-1', 1)
        _use_again(sim, client, 'front-2')
    assert not any(client.resets for client in clients if client.is_held)
    assert [client.answers for client in clients] == [1] * FLOWS


# Some clients use the same first number for all their flows.
@pytest.mark.parametrize('acknowledges', (True, False))
@pytest.mark.parametrize('wait_ms', (100, 1_000, 8_000))
@pytest.mark.parametrize('targets', (1, 7))
def test_flow_from_a_used_port_may_have_the_same_first_number(
        targets, wait_ms, acknowledges):
    sim = _simulate(targets)
    clients = simulation.open_flows(sim, FLOWS)
    for client in clients:
        client.close(acknowledges)
        sim.run(wait_ms)
        _use_again(sim, client, step=0)
    assert [client.answers for client in clients] == [1] * FLOWS
    assert not any(client.resets for client in clients)


def test_restarted_agents_do_not_take_the_earlier_flow_for_the_later_one():
    sim = _simulate(7)
    clients = simulation.open_flows(sim, FLOWS)
    for address in sim.targets:
        sim.restart_agent(address)
    sim.run(50)
    for client in clients:
        client.request()
        sim.run(100)
    for client in clients:
        _use_again(sim, client, 'front-2')
    assert not any(client.resets for client in clients if client.is_held)
    assert [client.answers for client in clients] == [1] * FLOWS
