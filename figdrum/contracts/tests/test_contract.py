"""Tests of contracts, changes and the state that results from them."""

import ipaddress
import json

import hypothesis
from hypothesis import strategies
import pytest

from figdrum.contracts import change as change_lib
from figdrum.contracts import contract as contract_lib
from figdrum.contracts import proposals
from figdrum.contracts import state as state_lib
from figdrum.core import errors

DETERMINISTIC = hypothesis.settings(deadline=None, derandomize=True)

VALID_CONTRACT = {
    'customer': 'a',
    'grants': [{
        'service': 'fieldbook',
        'host': '10.9.0.1',
        'port': 5683
    }],
    'sources': ['192.0.2.0/24'],
    'limits': {
        'flows': 1,
        'new_flows': 1,
        'requests': 1
    },
    'rank': 1,
}
GRANT = VALID_CONTRACT['grants'][0]

CONTRACTS = strategies.builds(
    lambda customer, ports, sources, rank: contract_lib.Contract(
        customer,
        tuple(
            contract_lib.Grant(customer, 'fieldbook', ('10.9.0.1', port))
            for port in sorted(ports)), tuple(map(str, sources)),
        contract_lib.Limits(5, 5, 5), rank), strategies.sampled_from('abc'),
    strategies.sets(strategies.integers(1, 6)),
    strategies.lists(strategies.ip_addresses(v=4).map(ipaddress.IPv4Network),
                     max_size=3), strategies.integers(1, 9))
BODIES = strategies.one_of(
    CONTRACTS.map(change_lib.ContractSet),
    strategies.sampled_from('abc').map(change_lib.ContractRemove),
    strategies.sampled_from('xyz').map(change_lib.ZoneOut),
    strategies.sampled_from('xyz').map(change_lib.ZoneIn))


@pytest.mark.parametrize('field,value', [
    ('customer', ''),
    ('customer', 'A b'),
    ('customer', 7),
    ('grants', [GRANT, GRANT]),
    ('grants', [GRANT | {
        'host': '10.9.0.01'
    }]),
    ('grants', [GRANT | {
        'host': 5
    }]),
    ('grants', [GRANT | {
        'port': 0
    }]),
    ('grants', [GRANT | {
        'port': True
    }]),
    ('grants', [{}]),
    ('sources', ['192.0.2.1/24']),
    ('sources', '192.0.2.0/24'),
    ('limits', {}),
    ('limits', None),
    ('limits', VALID_CONTRACT['limits'] | {
        'flows': 1.5
    }),
    ('rank', 0),
    ('rank', 10),
    ('unknown', 1),
])
def test_invalid_contract_is_refused(field, value):
    """Guards against acceptance of a contract with an invalid field."""
    assert contract_lib.Contract.from_dict(
        VALID_CONTRACT).to_dict() == VALID_CONTRACT
    with pytest.raises(errors.ContractError):
        contract_lib.Contract.from_json(
            json.dumps(VALID_CONTRACT | {field: value}))


@DETERMINISTIC
@hypothesis.given(BODIES)
def test_json_round_trip(body):
    """Guards against a field that is lost or altered in stored objects."""
    change = change_lib.Change(3, 'i', 'p', 'ana', 'bo', 5, 0, 3, body)
    assert change_lib.Change.from_json(change.to_json()) == change
    proposal = proposals.Proposal('p', 'ana', 5, 0, body)
    assert proposals.Proposal.from_json(proposal.to_json()) == proposal


@pytest.mark.parametrize('read', [
    contract_lib.Contract.from_json, change_lib.Change.from_json,
    proposals.Proposal.from_json, state_lib.Snapshot.from_json
])
@DETERMINISTIC
@hypothesis.given(
    strategies.text(max_size=20) | strategies.recursive(
        strategies.none() | strategies.integers() | strategies.text(max_size=5),
        lambda inner: strategies.lists(inner) | strategies.dictionaries(
            strategies.sampled_from([
                'body', 'kind', 'contract', 'n', 'state', 'limits', 'grants',
                'contracts', 'versions'
            ]), inner)).map(json.dumps))
def test_bad_objects_raise_only_contract_errors(read, text):
    """Guards against damaged objects that raise unexpected exceptions."""
    with pytest.raises(errors.ContractError):
        read(text)


@DETERMINISTIC
@hypothesis.given(strategies.lists(BODIES, max_size=30))
def test_fold_keeps_addresses_apart_and_survives_a_snapshot(bodies):
    """Guards against one address in two contracts, and against a snapshot that
    differs from the state it was made from."""
    state = state_lib.ContractState.empty()
    for body in bodies:
        change = change_lib.Change(state.change + 1, 'i', 'p', 'ana', 'bo', 0,
                                   0, state.change + 1, body)
        before = state.to_dict()
        try:
            state = state_lib.fold(state, change)
        except errors.ContractError:
            assert state.to_dict() == before
            continue
        assert state.version(body.subject) == state.change
    grants = [g for c in state.contracts() for g in c.grants]
    assert len({g.address for g in grants}) == len(grants)
    assert all(state.lookup(g.address) == g for g in grants)
    text = state_lib.Snapshot(state, 9).to_json()
    assert state_lib.Snapshot.from_json(text) == (state, 9)


@DETERMINISTIC
@hypothesis.given(CONTRACTS, strategies.ip_addresses(v=4))
def test_sources_decide_who_is_admitted(contract, host):
    """Guards against admission of callers outside the contract's networks."""
    state = state_lib.preview(state_lib.ContractState.empty(),
                              change_lib.ContractSet(contract))
    expected = bool(contract.grants) and (not contract.sources or any(
        host in ipaddress.ip_network(source) for source in contract.sources))
    allowed = state.allows(contract.customer, 'fieldbook', str(host))
    assert allowed == expected
    assert not state.allows(contract.customer, 'reportdesk', str(host))
    assert not state.allows('nobody', 'fieldbook', str(host))


def test_gap_in_the_log_is_refused():
    """Guards against a state that is missing a change."""
    change = change_lib.Change(2, 'i', 'p', 'ana', 'bo', 0, 0, 2,
                               change_lib.ZoneOut('x'))
    with pytest.raises(errors.ContractError):
        state_lib.fold(state_lib.ContractState.empty(), change)
