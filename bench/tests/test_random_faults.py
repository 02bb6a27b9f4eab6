"""Tests of the randomised runs with a fixed set of seeds."""

import pytest

from bench import random_faults
from standins import doubles


@pytest.mark.parametrize('seed', random_faults.CI_SEEDS)
def test_requirements_hold_under_pairs_of_failures(seed):
    """Guards against a violation of P1 to P9 when two failures overlap."""
    result = random_faults.run_seed(seed)
    assert not result.violations
    assert result.answered


@pytest.mark.parametrize('mechanism,requirement,faults', [
    ('claims', 'P7', ('bad_network', 'kill_balancer')),
    ('zone check', 'P4', ('zone_out', 'uneven')),
    ('handover', 'P1', ('drain', 'join')),
    ('warm-up', 'P3', ('join', 'kill')),
])
def test_run_finds_what_a_missing_mechanism_breaks(mechanism, requirement,
                                                   faults):
    """Guards against a check that passes even if a mechanism is missing."""
    with doubles.disable_mechanism(mechanism):
        found = [
            violation for seed in random_faults.CI_SEEDS[:4]
            for violation in random_faults.run_seed(seed, faults).violations
        ]
    assert any(violation.startswith(requirement) for violation in found)
