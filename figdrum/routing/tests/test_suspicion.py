"""Tests of the balancer's failure detector, in virtual time."""

import random

import pytest

from figdrum.routing import suspicion

AGENT = ('10.0.0.1', 7000)


def _run_ticks(table, start_ms, end_ms):
    """Calls `due_pings` every tick; returns the times of pings to AGENT."""
    return [
        now for now in range(start_ms, end_ms, suspicion.TICK_MS)
        if AGENT in table.due_pings(now)
    ]


def test_an_idle_agent_is_never_suspected():
    """Guards against skipping agents to which nothing was sent."""
    table = suspicion.SuspicionTable()
    assert not _run_ticks(table, 0, 10_000)
    table.on_sent(10_000, AGENT)
    _run_ticks(table, 10_000, 11_500)
    assert not table.is_suspected(AGENT)


def test_pings_from_500_ms_and_suspects_at_1500_ms():
    """Guards against suspecting an agent early, late or without pings."""
    table = suspicion.SuspicionTable()
    table.on_sent(0, AGENT)
    assert _run_ticks(table, 0, 1500) == [500, 1000]
    assert not table.is_suspected(AGENT)
    assert _run_ticks(table, 1500, 5000) == [2500, 3500, 4500]
    assert table.is_suspected(AGENT)


@pytest.mark.parametrize('heard_ms', [100, 700, 1400, 2100])
def test_any_frame_ends_the_suspicion(heard_ms):
    """Guards against skipping an agent that responds."""
    table = suspicion.SuspicionTable()
    table.on_sent(0, AGENT)
    _run_ticks(table, 0, heard_ms)
    table.on_heard(heard_ms, AGENT)
    _run_ticks(table, heard_ms, heard_ms + 10_000)
    assert not table.is_suspected(AGENT)


def test_no_agent_is_suspected_after_a_pause_of_the_balancer():
    """Guards against a resumed balancer that suspects healthy agents."""
    table = suspicion.SuspicionTable()
    table.on_sent(0, AGENT)
    _run_ticks(table, 0, 1100)
    table.due_pings(9000)
    assert not table.is_suspected(AGENT)
    _run_ticks(table, 9100, 10_500)
    assert not table.is_suspected(AGENT)
    _run_ticks(table, 10_500, 10_600)
    assert table.is_suspected(AGENT)


@pytest.mark.parametrize('seed', range(5))
def test_limit_on_pings_delays_suspicion(seed):
    """Guards against more than 10 pings a second, and against an agent that is
    suspected less than 1,000 ms after its first ping."""
    rng = random.Random(seed)
    table = suspicion.SuspicionTable()
    agents = [('10.0.0.2', port) for port in range(40)]
    first_pings = {}
    times = []
    for now in range(0, 20_000, suspicion.TICK_MS):
        table.on_sent(now, rng.choice(agents))
        for agent in table.due_pings(now):
            first_pings.setdefault(agent, now)
            times.append(now)
        for agent in table.suspected():
            assert now - first_pings[agent] >= 1000
    assert all(b - a >= 1000 for a, b in zip(times, times[10:]))
    assert table.any_suspected


def test_agents_that_are_in_no_list_are_discarded():
    """Guards against endless pings to agents that are in no list."""
    table = suspicion.SuspicionTable()
    table.on_sent(0, AGENT)
    _run_ticks(table, 0, 2000)
    table.retain(frozenset())
    assert not table.any_suspected
    assert not _run_ticks(table, 2000, 9000)
