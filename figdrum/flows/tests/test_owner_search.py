"""The search for the target that holds an open flow.

A search is needed when balancers are added, stopped or killed, since the
network's routers then send the packets of a flow to another balancer.
"""

import pytest

from figdrum.flows.tests import simulation


@pytest.fixture(name='sim')
def _simulation() -> simulation.Simulation:
    sim = simulation.Simulation()
    sim.configure(1, {1: [('one', 1.0)]})
    for number in range(6):
        sim.add_target(f'target-{number}', zone='ab'[number % 2])
    for name in ('front-1', 'front-2'):
        sim.add_balancer(name)
    sim.run(2_000)
    return sim


def _open_flows(sim: simulation.Simulation,
                count: int) -> list[simulation.Client]:
    clients = [
        simulation.Client(sim, ('front-1', 1), number)
        for number in range(count)
    ]
    for client in clients:
        client.open()
        sim.run(20)
        client.request()
        sim.run(100)
    assert all(client.answers == 1 for client in clients)
    return clients


def test_another_balancer_finds_each_flow(sim):
    clients = _open_flows(sim, 30)
    for client in clients:
        client.balancer = ('front-2', 1)
        client.request()
    sim.run(1_000)
    assert [client.answers for client in clients] == [2] * 30
    assert not sum(sum(t.strays.values()) for t in sim.targets.values())


def test_each_flow_is_found_after_all_processes_restart(sim):
    clients = _open_flows(sim, 30)
    for address in sim.targets:
        sim.restart_agent(address)
    sim.restart_balancer(('front-1', 1))
    sim.run(50)
    for client in clients:
        client.request()
    sim.run(1_000)
    assert [client.answers for client in clients] == [2] * 30
    assert not any(sim.resets(client.key) for client in clients)
    strays = [
        sum(t.strays[client.key]
            for t in sim.targets.values())
        for client in clients
    ]
    # A flow's target is one of its first three candidates, so at most two other
    # targets get one of its packets.
    assert max(strays) <= 2


def test_open_flow_stays_at_its_target_when_its_route_changes_service(sim):
    clients = _open_flows(sim, 10)
    for number in range(3):
        sim.add_target(f'other-{number}', service='two')
    sim.configure(2, {1: [('two', 1.0)]})
    sim.restart_balancer(('front-2', 1))
    sim.run(1_000)
    for client in clients:
        client.balancer = ('front-2', 1)
        client.request()
    sim.run(1_000)
    assert [client.answers for client in clients] == [2] * 10
    assert not any(sim.resets(client.key) for client in clients)


def test_flow_of_a_replaced_target_is_reset_once(sim):
    clients = _open_flows(sim, 20)
    owner = clients[0].owner
    owner.restart()
    sim.send_heartbeat((owner.name, 2))
    sim.run(50)
    assert sim.resets(clients[0].key) == 1
    others = [
        c for c in clients if c.key not in owner.first_seq and any(
            c.key in t.open for t in sim.targets.values())
    ]
    assert others and not any(sim.resets(c.key) for c in others)


def test_flow_is_not_reset_while_an_agent_is_silent(sim):
    clients = _open_flows(sim, 20)
    owner = clients[0].owner
    sim.silent.add((owner.name, 2))
    sim.run(50)
    clients[0].balancer = ('front-2', 1)
    clients[0].request()
    sim.run(1_500)
    assert not sim.resets(clients[0].key)
    sim.silent.clear()
    sim.run(1_200)
    clients[0].request()
    sim.run(200)
    assert clients[0].answers


def test_flow_without_owner_is_reset_at_once(sim):
    client = simulation.Client(sim, ('front-2', 1), 999)
    client.request()
    sim.run(100)
    assert sim.resets(client.key) == 1


def test_flows_lost_with_all_machines_are_reset_without_stray_packets(sim):
    """All machines lose power, and clients continue to use lost flows."""
    clients = _open_flows(sim, 30)
    for address, target in sim.targets.items():
        target.restart()
        target.warmup_left_ms = 2_000
        sim.start_agent(address)
        sim.send_heartbeat(address)
    for name in ('front-1', 'front-2'):
        sim.restart_balancer((name, 1))
    sim.run(50)
    for client in clients:
        client.request()
    sim.run(150)
    assert [sim.resets(client.key) for client in clients] == [1] * 30
    assert not any(t.strays for t in sim.targets.values())


def test_queries_of_many_searches_are_batched(sim):
    """Many clients retransmit at once after a mass restart of a large site."""
    for number in range(40):
        sim.add_target(f'more-{number}')
    sim.run(2_000)
    sent_before = sim.sent_bytes
    clients = [
        simulation.Client(sim, ('front-2', 1), 1_000 + n) for n in range(100)
    ]
    for client in clients:
        client.request()
    sim.run(200)
    assert all(sim.resets(client.key) == 1 for client in clients)
    # 46 agents, a query and an answer each, 16 bytes per flow in both. The
    # limit is twice that.
    assert (sim.sent_bytes - sent_before) / 100 < 46 * 2 * 16 * 2
