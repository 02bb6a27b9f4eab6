"""Tests of the benches of capacity at tiny sizes."""

from bench import change_in_force
from bench import costs
from bench import slopes
from bench import speed
from bench import worst_hours


def test_change_reaches_all_nodes_and_bounds_hold():
    """Guards against a bench that counts no traffic or waits in vain."""
    table = change_in_force.ChangeInForce((3, 5)).run(1)
    assert all(bound.kept for bound in table.bounds)
    assert [row.nodes for row in table.rows] == [3, 5]
    assert all(row.busy > 0 and row.calls > 0 for row in table.rows)


def test_same_seed_gives_the_same_times():
    """Guards against figures that cannot be repeated."""
    one, other = (change_in_force.measure_nodes(5, 7)._replace(cpu_us=0)
                  for _ in range(2))
    assert one == other


def test_slopes_are_positive():
    """Guards against a quantity that is not kept or not run."""
    table = slopes.Slopes(size_divisor=50).run(1)
    memory = [row for row in table.rows if row.unit == 'B']
    assert len(memory) == 8
    assert all(row.per_one > 0 for row in memory)
    assert any('resident' in note for note in table.notes)


def test_packets_pass_all_ways():
    """Guards against children that do not start and packets that are lost or
    dropped on their way, which would be measured as speed."""
    table = speed.Speed(duration_s=0.2).run(1)
    assert [row.lost for row in table.rows] == [0] * 5
    assert all(row.per_s > 0 and row.p99_us > 0 for row in table.rows)


def test_costs_are_measured_at_every_size():
    """Guards against packets that are dropped and flows that are not held."""
    table = costs.Costs((1, 2), (3, 4), (5, 6), count=50).run(1)
    assert len(table.rows) == 11
    assert all(row.us > 0 for row in table.rows)


def test_every_packet_of_the_cost_bench_is_forwarded():
    """Guards against a cost that is that of a drop."""
    sent = []
    receive = costs.balancer_path(2, 3, sent.append)
    for packet in costs.packets(2, 10):
        receive(packet)
    assert len(sent) == 10


def test_worst_hours_end_in_step():
    """Guards against hours in which nothing fails or no node recovers."""
    table = worst_hours.WorstHours((4,), nodes=16).run(1)
    assert [row.hour for row in table.rows
           ] == ['zone back', 'regions apart', 'platform down']
    assert all(bound.kept for bound in table.bounds)
    assert all(row.caught_up_ms >= 0 for row in table.rows)
