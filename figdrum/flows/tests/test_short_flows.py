"""Placement when each request opens a flow.

The pattern is that of an archive with 50 targets of one slot behind 24
balancers: requests take some 30 ms, and an agent's report is 0.6 s old when a
balancer chooses by it.
"""

from figdrum.flows import agent as agent_module
from figdrum.flows.tests import packets
from figdrum.flows.tests import short_flows
from figdrum.flows.tests import simulation


def test_requests_find_idle_targets_at_usual_load():
    """840 requests a second keep the targets 54 % busy.

    A choice at random leaves a request with 0.8 others, and one by the true
    figures of three targets with 0.2.
    """
    sim, balancers = short_flows.start_grown_site(seed=1)
    clients = short_flows.ShortFlows(sim, balancers)
    clients.start(per_s=840, for_ms=5_000)
    sim.run(7_000)
    assert clients.mean_found < 0.5
    assert len(clients.waited_ms) == clients.opened


def test_requests_spread_over_targets_in_a_burst():
    """1,250 requests a second keep the targets 80 % busy.

    A choice at random leaves a request with 2.4 others.
    """
    sim, balancers = short_flows.start_grown_site(seed=2)
    clients = short_flows.ShortFlows(sim, balancers)
    clients.start(per_s=1_250, for_ms=5_000)
    sim.run(8_000)
    assert clients.mean_found < 1.2
    assert len(clients.waited_ms) == clients.opened


def test_targets_of_long_flows_decline_none_of_a_mass_opening():
    """All clients open their flows at once, for example after a power loss.

    Each target is busy with its first request then. The flows last for a
    minute, so they have to be spread evenly.
    """
    sim, balancers = short_flows.start_grown_site(seed=3,
                                                  target_count=9,
                                                  balancer_count=3)
    clients = [
        simulation.Client(sim, balancers[number % 3], number)
        for number in range(180)
    ]
    for client in clients:
        client.open()
    sim.run(20)
    for client in clients:
        client.request()
    sim.run(5_000)
    flows = [len(target.open) for target in sim.targets.values()]
    assert sum(flows) == 180
    assert max(flows) <= 1.2 * 180 / 9


def test_targets_that_break_off_requests_get_few_of_them():
    """Targets accept flows, but reset them with their first request.

    They never have a request in progress, so they seem to be the least loaded.
    Six of 50 targets at random would get an eighth of the requests.
    """
    sim, balancers = short_flows.start_grown_site(seed=4)
    clients = short_flows.ShortFlows(sim, balancers)
    clients.start(per_s=840, for_ms=4_000)
    sim.run(1_000)
    failing = list(sim.targets.values())[:6]
    for target in failing:
        target.is_failing = True
    opened = clients.opened
    sim.run(2_000)
    resets = sum(1 for sent in sim.to_client.values() for _, raw in sent
                 if raw[0] & packets.RESET)
    assert 0 < resets < 0.03 * (clients.opened - opened)
    for target in failing:
        target.is_failing = False
    sim.run(2_000)
    served = sum(target.served for target in failing)
    sim.run(3_000)
    assert len(clients.waited_ms) + resets == clients.opened
    assert served > 6 * 10


def test_record_of_short_flows_lets_an_agent_decline_from_its_start():
    """All machines lose power, and clients that wait come back at once."""
    sim, _ = short_flows.start_grown_site(seed=5,
                                          target_count=1,
                                          balancer_count=1)
    agent = next(iter(sim.agents.values()))
    assert not agent.has_short_flows
    agent.on_stored_flows(sim.now_ms, 'i-0@0', (), True)
    assert agent.has_short_flows


def test_queues_stay_short_when_all_waiting_clients_come_back_at_once():
    """All machines lose power for more than a second; targets are cold then.

    Targets refuse requests when their queue is full. An opening packet that is
    dropped comes again.
    """
    sim, balancers = short_flows.start_grown_site(seed=6)
    for target in sim.targets.values():
        target.work_ms = 50
    for agent in sim.agents.values():
        agent.on_stored_flows(sim.now_ms, 'i-0@0', (), True)
    clients = short_flows.ShortFlows(sim, balancers)
    clients.start(per_s=700, for_ms=3_000)
    clients.open_many(600)
    sim.run(8_000)
    longest = max(target.longest_queue for target in sim.targets.values())
    assert longest <= agent_module.MAX_REQUESTS_PER_SLOT
    assert len(clients.waited_ms) > 0.95 * clients.opened
