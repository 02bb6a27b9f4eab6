"""Tests of the filter chain."""

import pytest
from twisted.internet import defer

from figdrum.filters import chain
from figdrum.filters import filter  # pylint: disable=redefined-builtin


class _Append(filter.Filter):
    """Appends a letter, after a wait if it is given a Deferred."""

    def __init__(self, letter, wait=None):
        self._letter = letter
        self._wait = wait

    def apply(self, ctx):
        verdict = filter.Pass(ctx + self._letter)
        if self._wait is None:
            return verdict
        return self._wait.addCallback(lambda _: verdict)


class _Stop(filter.Filter):
    """Answers with what it got."""

    def apply(self, ctx):
        return filter.Answer(ctx)


class _Fail(filter.Filter):
    """Raises."""

    def apply(self, ctx):
        raise ValueError(ctx)


def test_answer_ends_the_chain():
    """Guards against a refused request that reaches a later filter."""
    assert chain.FilterChain(_Append('a'), _Stop(),
                             _Fail()).run('') == filter.Answer('a')


def test_resumes_after_each_wait():
    """Guards against filters skipped or repeated after a wait."""
    waits = [defer.Deferred(), defer.Deferred()]
    results = []
    chain.FilterChain(_Append('a', waits[0]), _Append('b'),
                      _Append('c', waits[1]),
                      _Append('d')).run('').addCallback(results.append)
    waits[0].callback(None)
    assert not results
    waits[1].callback(None)
    assert results == [filter.Pass('abcd')]


def test_answer_after_a_wait_ends_the_chain():
    """Guards against going on after an answer that came late."""
    wait = defer.Deferred()
    results = []
    chain.FilterChain(_Append('a', wait), _Stop(),
                      _Fail()).run('').addCallback(results.append)
    wait.callback(None)
    assert results == [filter.Answer('a')]


def test_an_error_reaches_the_caller():
    """Guards against an error that a chain swallows."""
    with pytest.raises(ValueError):
        chain.FilterChain(_Fail()).run('x')
    wait = defer.Deferred()
    result = chain.FilterChain(_Append('a', wait), _Fail()).run('')
    wait.callback(None)
    failures = []
    result.addErrback(failures.append)
    assert failures[0].check(ValueError)
