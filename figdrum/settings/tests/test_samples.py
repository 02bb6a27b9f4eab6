"""Tests of the sample files in samples/."""

import pathlib

import pytest

import figdrum
from figdrum.contracts import change
from figdrum.contracts import contract
from figdrum.contracts import state
from figdrum.core import errors
from figdrum.settings import loader

SAMPLES = pathlib.Path(figdrum.__file__).parent.parent / 'samples'
SLOTS = {'al-sahil': 1, 'cabeleira': 2}
ZONES = {
    'al-sahil': {'muscat-a', 'muscat-b', 'sohar-a', 'nizwa-a'},
    'cabeleira': {'pt-main-a', 'pt-main-b', 'pt-main-c'},
}


def load_all(user: str) -> list:
    """Returns the settings in all sample files of a user."""
    found = []
    for path in sorted((SAMPLES / user).glob('*.ini')):
        role = path.name.partition('-')[0]
        found.append(loader.load(str(path), '' if role == 'operator' else role))
    return found


@pytest.mark.parametrize('user', sorted(SLOTS))
def test_samples_load_with_the_sizes_of_the_design(user):
    """Guards against samples that are invalid or differ from the design."""
    cfgs = load_all(user)
    balancers = [cfg for cfg in cfgs if cfg.balancer]
    agents = [cfg for cfg in cfgs if cfg.agent]
    assert {cfg.process.zone for cfg in balancers} == ZONES[user]
    for cfg in agents:
        assert cfg.process.zone in ZONES[user]
        assert (cfg.agent.slots, cfg.agent.connections) == (SLOTS[user], 2_000)
    assert len(cfgs) - len(balancers) - len(agents) == 2, 'two operators'


@pytest.mark.parametrize('user', sorted(SLOTS))
def test_samples_point_at_each_other(user):
    """Guards against peers or balancers that are not in the samples."""
    cfgs = load_all(user)
    control = {(cfg.balancer.packet_host, cfg.balancer.control_port)
               for cfg in cfgs
               if cfg.balancer}
    for cfg in cfgs:
        if cfg.balancer:
            assert set(cfg.balancer.peers) < control
            assert len(cfg.balancer.peers) == len(control) - 1
        if cfg.agent:
            assert set(cfg.agent.balancers) <= control


@pytest.mark.parametrize('user', sorted(SLOTS))
def test_sample_contracts_go_together(user):
    """Guards against sample contracts that contradict each other."""
    total = state.ContractState.empty()
    services = {cfg.agent.service for cfg in load_all(user) if cfg.agent}
    for path in sorted((SAMPLES / user).glob('*.json')):
        found = contract.Contract.from_json(path.read_text('utf-8'))
        assert found.services <= services
        total = state.preview(total, change.ContractSet(found))
    assert len(total.contracts()) == 2


def test_samples_of_both_users_are_apart():
    """Guards against sample contracts that are accepted without a check."""
    text = (SAMPLES / 'al-sahil' / 'contract-members.json').read_text('utf-8')
    with pytest.raises(errors.ContractError):
        contract.Contract.from_json(text.replace('"rank": 5', '"rank": 10'))
