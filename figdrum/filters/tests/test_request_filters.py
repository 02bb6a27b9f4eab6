"""Tests of the request filters and of the correctness of their refusals."""

import pytest
from twisted.internet import defer

from figdrum.coap import codes
from figdrum.coap import request
from figdrum.contracts import state
from figdrum.core import clock
from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import ports
from figdrum.core import states
from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import request_claim
from figdrum.filters import request_context
from figdrum.filters import request_contract
from figdrum.filters import request_deadline
from figdrum.filters import request_run

DID_NOT_RUN = codes.refusal(states.Refusal.DID_NOT_RUN)
OUTCOME_UNKNOWN = codes.refusal(states.Refusal.OUTCOME_UNKNOWN)


def context(method='GET', key='', **fields):
    """Returns a context whose `fields` differ from the defaults."""
    req = request.Request(method, '/visits', b'', key, 500, None, None, None,
                          b'')
    flow = ids.FlowKey('192.0.2.1', 1, '10.9.0.1', 5683)
    return request_context.RequestContext(1, flow, 'al', 'fieldbook', req,
                                          500)._replace(**fields)


class _Target(ports.Target):
    """Fake target; its calls return or raise `results` in order."""

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []

    def call(self, req):
        self.calls.append(req)
        result = self.results.pop(0)
        if isinstance(result, Exception):
            return defer.fail(result)
        return defer.succeed(result)


class _Guard(request_run.RunGuard):
    """Fake guard with fixed decisions; records how requests end."""

    def __init__(self, serving=True, retry=True):
        self.serving = serving
        self.retry = retry
        self.outcomes = []

    def can_run(self):
        return self.serving

    def try_retry(self):
        return self.retry

    def on_request_finished(self, ctx, end, latency_ms):
        self.outcomes.append(end)


def run(ctx, target, guard):
    """Runs a request through the run filter and returns the response."""
    found = []
    chain = request_run.RequestRunFilter(target, clock.ManualClock(), guard)
    chain.apply(ctx).addCallback(found.append)
    assert len(guard.outcomes) == 1
    return found[0].value


@pytest.mark.parametrize('ctx,expected', [
    (context(), DID_NOT_RUN),
    (context(outcome_unknown=True), OUTCOME_UNKNOWN),
    (context('POST', 'k'), OUTCOME_UNKNOWN),
    (context('POST', 'k', claimed=True), DID_NOT_RUN),
    (context('POST', 'k', claimed=True, outcome_unknown=True), DID_NOT_RUN),
])
def test_refusal_says_did_not_run_only_if_that_is_certain(ctx, expected):
    """Guards against a did-not-run for a request that may have run (P6)."""
    assert request_context.make_refusal(ctx) == expected
    late = ctx._replace(deadline_at_ms=0)
    deadline = request_deadline.RequestDeadlineFilter(clock.ManualClock())
    assert deadline.apply(late) == filter.Answer(expected)
    refused = ports.TargetAnswer(503, b'', True)
    assert run(ctx, _Target(refused), _Guard()) == expected
    assert run(ctx, _Target(), _Guard(serving=False)) == expected


@pytest.mark.parametrize('result', [
    errors.TargetError('call', 'fake', 'cut'),
    ports.TargetAnswer(503, b''),
    ports.TargetAnswer(504, b''),
])
@pytest.mark.parametrize('method', ['POST', 'GET', 'PUT'])
def test_failed_call_has_an_unknown_outcome(result, method):
    """Guards against a did-not-run for a request that may have run (P6)."""
    target = _Target(result, result)
    ctx = context(method, 'k', claimed=True)
    assert run(ctx, target, _Guard()) == OUTCOME_UNKNOWN
    retried = method == 'GET' and isinstance(result, Exception)
    assert len(target.calls) == 1 + retried


def test_retry_requires_the_retry_budget():
    """Guards against retries beyond the retry budget."""
    failure = errors.TargetError('call', 'fake', 'cut')
    answer = ports.TargetAnswer(200, b'x')
    assert run(context(), _Target(failure, answer), _Guard()).payload == b'x'
    target = _Target(failure, answer)
    assert run(context(), target, _Guard(retry=False)) == OUTCOME_UNKNOWN
    assert len(target.calls) == 1


def test_answer_for_another_service_never_reaches_the_caller():
    """Guards against an answer of another service (P2)."""
    misdirected = ports.TargetAnswer(421, b'secret')
    assert run(context(), _Target(misdirected),
               _Guard()).payload == b'misdirected'


def test_contract_and_key_are_required():
    """Guards against running a request without a contract or without a key."""
    contract = request_contract.RequestContractFilter('fieldbook',
                                                      state.ContractState.empty)
    assert contract.apply(context()).value.code == 131
    claim = request_claim.RequestClaimFilter(None)
    assert claim.apply(context('POST')).value.code == 128
    assert isinstance(claim.apply(context('PUT')), filter.Pass)
