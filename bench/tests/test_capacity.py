"""Tests of the capacity benches, at small sizes."""

from bench import change_in_force
from bench import costs
from bench import slopes
from bench import speed
from bench import worst_hours


def test_change_reaches_all_nodes_and_bounds_hold():
    """Guards against a bench that counts no traffic or never completes."""
    table = change_in_force.ChangeInForce((3, 5)).run(1)
    assert all(bound.kept for bound in table.bounds)
    assert [row.nodes for row in table.rows] == [3, 5]
    assert all(row.busy > 0 and row.calls > 0 for row in table.rows)


def test_same_seed_gives_the_same_times():
    """Guards against results that differ between runs of one seed."""
    one, other = (change_in_force.measure_nodes(5, 7)._replace(cpu_us=0)
                  for _ in range(2))
    assert one == other


def test_slopes_are_positive():
    """Guards against a quantity that is freed early or never measured."""
    table = slopes.Slopes(size_divisor=50).run(1)
    memory = [row for row in table.rows if row.unit == 'B']
    assert len(memory) == 8
    assert all(row.per_one > 0 for row in memory)
    assert any('resident' in note for note in table.notes)


def test_packets_pass_all_ways():
    """Guards against child processes that do not start, and against lost or
    dropped packets, which would be counted as throughput."""
    table = speed.Speed(duration_s=0.2).run(1)
    assert [row.lost for row in table.rows] == [0] * 5
    assert all(row.per_s > 0 and row.p99_us > 0 for row in table.rows)


def test_costs_are_measured_at_every_size():
    """Guards against packets that are dropped and flows that are not held."""
    table = costs.Costs((1, 2), (3, 4), (5, 6), count=50).run(1)
    assert len(table.rows) == 11
    assert all(row.us > 0 for row in table.rows)


def test_every_packet_of_the_cost_bench_is_forwarded():
    """Guards against measuring the cost of a dropped packet."""
    sent = []
    receive = costs.make_packet_receiver(2, 3, sent.append)
    for packet in costs.packets(2, 10):
        receive(packet)
    assert len(sent) == 10


def test_worst_hours_end_in_step():
    """Guards against hours without a failure or without recovery."""
    table = worst_hours.WorstHours((4,), nodes=16).run(1)
    assert [row.hour for row in table.rows
           ] == ['zone back', 'regions apart', 'platform down']
    assert all(bound.kept for bound in table.bounds)
    assert all(row.caught_up_ms >= 0 for row in table.rows)
