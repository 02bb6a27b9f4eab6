"""Tests of the filter chain."""

import pytest
from twisted.internet import defer

from figdrum.filters import chain
from figdrum.filters import filter  # pylint: disable=redefined-builtin


class _Append(filter.Filter):
    """Appends a letter; waits for the Deferred `wait` if there is one."""

    def __init__(self, letter, wait=None):
        self._letter = letter
        self._wait = wait

    def apply(self, ctx):
        verdict = filter.Pass(ctx + self._letter)
        if self._wait is None:
            return verdict
        return self._wait.addCallback(lambda _: verdict)


class _Stop(filter.Filter):
    """Answers with its context."""

    def apply(self, ctx):
        return filter.Answer(ctx)


class _Fail(filter.Filter):
    """Raises an error."""

    def apply(self, ctx):
        raise ValueError(ctx)


def test_answer_ends_the_chain():
    """Guards against a refused request that reaches a later filter."""
    assert chain.FilterChain(_Append('a'), _Stop(),
                             _Fail()).run('') == filter.Answer('a')


def test_chain_resumes_after_each_deferred():
    """Guards against filters that are skipped or repeated after a Deferred."""
    waits = [defer.Deferred(), defer.Deferred()]
    results = []
    chain.FilterChain(_Append('a', waits[0]), _Append('b'),
                      _Append('c', waits[1]),
                      _Append('d')).run('').addCallback(results.append)
    waits[0].callback(None)
    assert not results
    waits[1].callback(None)
    assert results == [filter.Pass('abcd')]


def test_answer_after_a_deferred_ends_the_chain():
    """Guards against continuing the chain after an answer that follows a
    Deferred."""
    wait = defer.Deferred()
    results = []
    chain.FilterChain(_Append('a', wait), _Stop(),
                      _Fail()).run('').addCallback(results.append)
    wait.callback(None)
    assert results == [filter.Answer('a')]


def test_error_propagates_to_the_caller():
    """Guards against an error that a chain does not propagate."""
    with pytest.raises(ValueError):
        chain.FilterChain(_Fail()).run('x')
    wait = defer.Deferred()
    result = chain.FilterChain(_Append('a', wait), _Fail()).run('')
    wait.callback(None)
    failures = []
    result.addErrback(failures.append)
    assert failures[0].check(ValueError)
