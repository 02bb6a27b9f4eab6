"""Settings files, addresses, packets and the list of failed seeds."""

import pytest

from figdrum.settings import node
from standins.soak import layout
from standins.soak import regressions
from standins.soak import wire


@pytest.mark.parametrize('machine', layout.plan_machines(33, 1, {'one': 1}, 3))
def test_rendered_templates_are_valid_settings(machine):
    text = layout.render_settings(
        machine.role, layout.settings_fields(machine, '127.33.3.1:80', True))
    cfg = node.parse(text, machine.name, machine.role)
    assert cfg.name == machine.name
    assert (cfg.balancer or cfg.agent).frames[0] == machine.host


def test_machines_have_distinct_addresses():
    machines = layout.plan_machines(33, 4, {'one': 9, 'two': 3}, 3)
    assert len({m.host for m in machines}) == len(machines) == 16


def test_bounced_packet_differs_only_in_flag_and_pad():
    raw = wire.encode(wire.SYN, ('127.0.0.1', 7), ('127.0.0.2', 8), 1, 2, b'x')
    bounced = wire.bounce(raw)
    assert wire.decode(bounced).flags == wire.SYN | wire.BOUNCED
    assert bounced[2:] == raw[2:]


def test_each_seed_that_failed_has_a_cause():
    assert all(case.cause for case in regressions.FAILED_SEEDS)
