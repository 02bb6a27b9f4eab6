"""Tests of the measures, each at a small size."""

import json
import math

import pytest

from bench import __main__ as main_lib
from bench import broken_flows
from bench import flow_policies
from bench import imbalance
from bench import plots
from bench import sites
from bench import zone_service

SEED = 5


@pytest.mark.parametrize('site', sites.SITES, ids=lambda site: site.name)
def test_planned_day_breaks_no_flow(site):
    """Guards against a planned replacement, contract change or zone move that
    breaks an established flow, and against a measure that detects none."""
    table = broken_flows.BrokenFlows(flows_per_server=3,
                                     replaced=2,
                                     crashes=1,
                                     users=(site,)).run(SEED)
    assert [b for b in table.bounds if not b.kept] == []
    by_scheme = {(r.day, r.scheme): r for r in table.rows}
    own = by_scheme['planned', broken_flows.FIGDRUM]
    assert (own.broken_planned, own.handled_wrong, own.wrong_service) == (0, 0,
                                                                          0)
    assert own.unanswered == 0
    assert by_scheme['planned', 'hash modulo'].broken_planned > 0
    assert by_scheme['failures', broken_flows.FIGDRUM].broken_planned == 0


@pytest.mark.parametrize('site', sites.SITES, ids=lambda site: site.name)
def test_cold_target_is_never_overloaded(site):
    """Guards against more starts at cold targets than their capacity, and
    against packets that reach a zone that is out."""
    table = zone_service.ZoneService(0.2, (site,)).run(SEED)
    assert [b for b in table.bounds if not b.kept] == []
    assert table.rows[0].cold_over <= 1
    assert table.rows[0].cold_starts > 0


def test_imbalance_is_within_its_bound():
    """Guards against slow, cold or misreporting targets that receive more flows
    than the bound allows."""
    table = imbalance.Imbalance(10, (sites.AL_SAHIL,)).run(SEED)
    assert [b for b in table.bounds if not b.kept] == []
    assert imbalance.flow_bound(7, 70, 1) == pytest.approx(0.1)


def test_run_writes_json_and_says_how_to_repeat(tmp_path, capsys):
    """Guards against results without their command, seed or number of runs."""
    measure = imbalance.Imbalance(2, (sites.AL_SAHIL,))
    main_lib.run(measure, SEED, tmp_path)
    doc = json.loads((tmp_path / 'imbalance.json').read_text('utf-8'))
    assert (doc['command'], doc['seed'],
            doc['runs']) == ('python -m bench imbalance', SEED, 1)
    assert all(math.isfinite(row['flows_max']) for row in doc['rows'])
    assert f'seed {SEED}, runs 1' in capsys.readouterr().out
    assert (tmp_path / 'imbalance.png').exists() == plots.HAS_MATPLOTLIB


@pytest.mark.parametrize('pattern', ['kill all', 'rehash'])
def test_flows_go_on_when_no_balancer_remembers_them(pattern):
    """Guards against flows that are lost after balancers lose their state, or
    that are found only by trying all targets."""
    rows = [
        flow_policies.run_pattern(pattern, policy, 1)
        for policy in flow_policies.POLICIES
    ]
    plain, chosen, _, least = rows
    # The users require a mean worth of at least 0.9.
    assert chosen.in_time >= 0.9
    assert not chosen.resets
    assert chosen.busiest < plain.busiest
    assert chosen.strays <= least.strays
