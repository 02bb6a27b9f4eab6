"""Tests of the benches of capacity at tiny sizes."""

from bench import change_in_force
from bench import slopes


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
    table = slopes.Slopes(shrink=50).run(1)
    memory = [row for row in table.rows if row.unit == 'B']
    assert len(memory) == 8
    assert all(row.per_one > 0 for row in memory)
    assert any('resident' in note for note in table.notes)
