"""Tests of the change log with lost responses, races and outages."""

import itertools
import random

import pytest
from twisted.internet import defer

from figdrum.contracts import change as change_lib
from figdrum.contracts import change_log
from figdrum.contracts import contract as contract_lib
from figdrum.contracts import proposals
from figdrum.contracts import state as state_lib
from figdrum.core import clock
from figdrum.core import errors
from figdrum.object_api import memory_store
from figdrum.object_api import store as store_lib


def make_contract(customer: str, port: int = 5683) -> contract_lib.Contract:
    """Returns a small contract with one address."""
    grant = contract_lib.Grant(customer, 'fieldbook', ('10.9.0.1', port))
    return contract_lib.Contract(customer, (grant,), (),
                                 contract_lib.Limits(10, 10, 10), 1)


def make_log(store: store_lib.Store) -> change_log.ChangeLog:
    """Returns a change log on `store` that numbers its proposals p1, p2, ..."""
    ids = (f'p{i}' for i in itertools.count(1))
    return change_log.ChangeLog(store, clock.ManualClock(1), lambda: next(ids))


def result(deferred: defer.Deferred):
    """Returns the result of a Deferred that has fired, or raises its error."""
    found = []
    deferred.addBoth(found.append)
    assert found, 'not fired'
    if hasattr(found[0], 'raiseException'):
        found[0].raiseException()
    return found[0]


class HookedStore(memory_store.DisconnectableStore):
    """A store that calls `on_call(kind, key)` before each get and put."""

    def __init__(self, shared):
        super().__init__(shared)
        self.on_call = lambda kind, key: None

    def get(self, key):
        self.on_call('get', key)
        return super().get(key)

    def put(self, key, value, if_version):
        self.on_call('put', key)
        return super().put(key, value, if_version)


def assert_log_consistent(store) -> tuple[change_lib.Change, ...]:
    """Checks that the log has no gaps or duplicates and that a proposal is
    approved if and only if its change is in the log."""
    log = make_log(store)
    changes = result(log.history())
    assert [c.n for c in changes] == list(range(1, len(changes) + 1))
    assert len({c.id for c in changes}) == len(changes)
    for record in result(log.audit()):
        approved = record.proposal.status is proposals.Status.APPROVED
        assert approved == (record.change is not None)
        assert not approved or record.proposal.change == record.change.n
    assert result(log.load()).state.change == len(changes)
    return changes


def test_approved_change_is_in_the_log_with_its_audit():
    """Guards against an entry without its proposer or approver."""
    store = memory_store.MemoryStore()
    log = make_log(store)
    proposal = result(log.propose_contract(make_contract('a'), 'ana'))
    change = result(log.approve(proposal.id, 'bo'))
    assert (change.n, change.proposer, change.approver) == (1, 'ana', 'bo')
    assert result(log.show(proposal.id)).status is proposals.Status.APPROVED
    assert assert_log_consistent(store) == (change,)


@pytest.mark.parametrize('name', ['ana r', 'Ana R', ' ana  r ', '', 'x' * 101])
def test_proposer_cannot_approve(name):
    """Guards against operators who approve their own proposals."""
    log = make_log(memory_store.MemoryStore())
    proposal = result(log.propose_zone_out('z', 'ana r'))
    with pytest.raises(errors.ApprovalError):
        result(log.approve(proposal.id, name))


def test_address_of_another_contract_is_refused_twice():
    """Guards against one address in the contracts of two customers.

    The check must run at the proposal and again at the approval, because
    another contract may be approved in between.
    """
    log = make_log(memory_store.MemoryStore())
    first = result(log.propose_contract(make_contract('a'), 'ana'))
    second = result(log.propose_contract(make_contract('b'), 'ana'))
    result(log.approve(first.id, 'bo'))
    with pytest.raises(errors.ContractError, match='customer a since change 1'):
        result(log.approve(second.id, 'bo'))
    with pytest.raises(errors.ContractError, match='customer a since change 1'):
        result(log.propose_contract(make_contract('c'), 'ana'))


def test_loser_is_told_what_won():
    """Guards against approval of a proposal after its contract has changed."""
    log = make_log(memory_store.MemoryStore())
    one, two = [
        result(log.propose_contract(make_contract('a', port), 'ana'))
        for port in (1, 2)
    ]
    result(log.approve(two.id, 'bo'))
    with pytest.raises(errors.ChangeRaceError,
                       match='change 1 .*approved by b'):
        result(log.approve(one.id, 'cy'))


def test_race_on_a_number_appends_both_unrelated_changes():
    """Guards against an approval that fails because an unrelated change was
    appended first under the number in its intent."""
    store = memory_store.MemoryStore()
    link = HookedStore(store)
    log, other = make_log(link), make_log(store)
    mine = result(log.propose_zone_out('z1', 'ana'))
    theirs = result(other.propose(change_lib.ZoneOut('z2'), 'ana', 'other'))

    def approve_other_first(kind, key):
        if kind == 'put' and key == change_lib.key(1):
            link.on_call = lambda kind, key: None
            result(other.approve(theirs.id, 'bo'))

    link.on_call = approve_other_first
    assert result(log.approve(mine.id, 'bo')).n == 2
    assert len(assert_log_consistent(store)) == 2


@pytest.mark.parametrize('step', range(12))
@pytest.mark.parametrize('rival', ['approve', 'reject'])
def test_rival_decision_at_any_step_of_an_approval(step, rival):
    """Guards against a proposal that is both approved and rejected, or
    appended twice, when a second operator decides between any two calls."""
    store = memory_store.MemoryStore()
    link = HookedStore(store)
    log, other = make_log(link), make_log(store)
    proposal = result(log.propose_zone_out('z', 'ana'))
    calls_left = [step]
    rejected = []

    def run_operation(_kind, _key):
        calls_left[0] -= 1
        if calls_left[0] == -1:
            try:
                decided = result(getattr(other, rival)(proposal.id, 'cy'))
                rejected.append(rival == 'reject' and decided)
            except errors.ApprovalError:
                pass

    link.on_call = run_operation
    try:
        change = result(log.approve(proposal.id, 'bo'))
        assert not any(rejected)
        assert change.n == 1
    except errors.ApprovalError:
        assert any(rejected)
    changes = assert_log_consistent(store)
    assert len(changes) == (0 if any(rejected) else 1)


@pytest.mark.parametrize('lost', [1, 2, 3, 4])
@pytest.mark.parametrize('write', range(4))
def test_lost_answers_at_any_write(write, lost):
    """Guards against a duplicate entry when responses to writes are lost."""
    store = memory_store.MemoryStore()
    link = HookedStore(store)
    log = make_log(link)
    calls_left = [write]

    def lose_responses(kind, _key):
        if kind == 'put':
            calls_left[0] -= 1
            if calls_left[0] == -1:
                store.lose_next_responses = lost

    link.on_call = lose_responses
    proposal = result(log.propose_zone_out('z', 'ana'))
    change = result(log.approve(proposal.id, 'bo'))
    assert result(log.approve(proposal.id, 'bo')) == change
    assert assert_log_consistent(store) == (change,)


@pytest.mark.parametrize('calls', range(14))
def test_crash_between_any_two_calls_is_repaired(calls):
    """Guards against an approval that cannot be completed after the approver
    stopped between two calls."""
    store = memory_store.MemoryStore()
    link = HookedStore(store)
    proposal = result(make_log(store).propose_zone_out('z', 'ana'))
    calls_left = [calls]

    def disconnect(_kind, _key):
        calls_left[0] -= 1
        link.is_disconnected = calls_left[0] < 0

    link.on_call = disconnect
    try:
        result(make_log(link).approve(proposal.id, 'bo'))
    except errors.StoreError:
        assert calls < 4, 'the call must succeed once the change is in the log'
    assert_log_consistent(store)
    change = result(make_log(store).approve(proposal.id, 'cy'))
    assert assert_log_consistent(store) == (change,)


def test_rejected_proposal_is_not_approved():
    """Guards against the approval of a rejected proposal."""
    log = make_log(memory_store.MemoryStore())
    proposal = result(log.propose_zone_out('z', 'ana'))
    result(log.reject(proposal.id, 'bo', 'not this week'))
    with pytest.raises(errors.ApprovalError, match='not this week'):
        result(log.approve(proposal.id, 'cy'))
    assert result(log.reject(proposal.id, 'bo')).reason == 'not this week'


def test_begun_approval_is_rejected_only_when_its_number_is_taken():
    """Guards against a rejection while the approver's append may still take
    effect, and against a proposal that can never be rejected."""
    store = memory_store.MemoryStore()
    link = HookedStore(store)
    log = make_log(store)
    proposal = result(log.propose_zone_out('z', 'ana'))

    def disconnect(kind, key):
        link.is_disconnected = kind == 'put' and key == change_lib.key(1)

    link.on_call = disconnect
    with pytest.raises(errors.StoreError):
        result(make_log(link).approve(proposal.id, 'bo'))
    with pytest.raises(errors.ApprovalError, match='bo is approving'):
        result(log.reject(proposal.id, 'cy'))
    other = result(log.propose_zone_out('y', 'ana'))
    result(log.approve(other.id, 'bo'))
    result(log.reject(proposal.id, 'cy'))
    assert len(assert_log_consistent(store)) == 1


def test_proposal_repeated_after_a_lost_answer_is_one_proposal():
    """Guards against two proposals from one command that was repeated."""
    store = memory_store.MemoryStore()
    log = make_log(store)
    store.lose_next_responses = 5
    body = change_lib.ZoneOut('z')
    first = result(log.propose(body, 'ana', 'x'))
    assert result(log.propose(body, 'ana', 'x')) == first
    with pytest.raises(errors.ContractError):
        result(log.propose(change_lib.ZoneOut('y'), 'ana', 'x'))


def test_snapshot_and_replay_give_the_same_state():
    """Guards against a snapshot that omits changes or applies them twice."""
    store = memory_store.MemoryStore()
    log = make_log(store)
    for i in range(change_log.SNAPSHOT_INTERVAL_CHANGES + 7):
        propose = log.propose_zone_in if i % 2 else log.propose_zone_out
        result(log.approve(result(propose('z', 'ana')).id, 'bo'))
    loaded = result(log.load())
    assert loaded.snapshot_change == change_log.SNAPSHOT_INTERVAL_CHANGES
    state = state_lib.ContractState.empty()
    for change in result(log.history()):
        state = state_lib.fold(state, change)
    assert loaded.state == state


def test_platform_down_fails_with_a_store_error():
    """Guards against a call that waits forever while the platform is down."""
    store = memory_store.MemoryStore()
    store.down = True
    with pytest.raises(errors.StoreError):
        result(make_log(store).propose_zone_out('z', 'ana'))


@pytest.mark.parametrize('seed', range(20))
def test_random_operators_and_faults_keep_the_log_sound(seed):
    """Guards against inconsistencies under random operations and faults."""
    rng = random.Random(seed)
    store = memory_store.MemoryStore()
    names = iter(f'q{i}' for i in itertools.count())
    links = [HookedStore(store) for _ in range(3)]
    logs = [make_log(link) for link in links]
    depth = [0]

    def inject_faults(_kind, _key):
        for link in links:
            link.is_disconnected = rng.random() < 0.05
        if rng.random() < 0.1:
            store.lose_next_responses = rng.randrange(4)
        if depth[0] < 2 and rng.random() < 0.1:
            run_operation()

    def run_operation():
        depth[0] += 1
        log = rng.choice(logs)
        listed = [
            item.key.removeprefix(proposals.PREFIX)
            for item in store.list(proposals.PREFIX).result[0]
        ]
        try:
            if not listed or rng.random() < 0.4:
                kind = rng.choice([change_lib.ZoneOut, change_lib.ZoneIn])
                result(log.propose(kind(rng.choice('xyz')), 'ana', next(names)))
            elif rng.random() < 0.8:
                result(log.approve(rng.choice(listed), rng.choice('bc')))
            else:
                result(log.reject(rng.choice(listed), 'dee'))
        except (errors.ContractError, errors.ApprovalError,
                errors.ChangeRaceError, errors.StoreError):
            pass
        depth[0] -= 1

    for link in links:
        link.on_call = inject_faults
    for _ in range(60):
        run_operation()
    assert assert_log_consistent(store)


@pytest.mark.parametrize('value', ['{', '[]', '{"n": 1}'])
def test_damaged_change_is_named_in_the_error(value):
    """Guards against an error that does not name the damaged object."""
    store = memory_store.MemoryStore()
    store.put(change_lib.key(1), value, 0)
    log = make_log(store)
    for call in (log.load, log.history,
                 lambda: log.propose_zone_out('z', 'ana')):
        with pytest.raises(errors.ContractError) as caught:
            result(call())
        assert caught.value.peer == change_lib.key(1)
