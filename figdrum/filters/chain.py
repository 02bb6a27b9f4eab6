"""Runs a fixed sequence of filters.

Examples
========

>>> class Double(filter.Filter):
...     def apply(self, ctx):
...         return filter.Pass(2 * ctx)
>>> class Limit(filter.Filter):
...     def apply(self, ctx):
...         return filter.Answer('full') if ctx > 10 else filter.Pass(ctx)
>>> chain = FilterChain(Double(), Limit())
>>> chain.run(5)
Pass(ctx=10)
>>> chain.run(6)
Answer(value='full')
"""

import typing

from twisted.internet import defer

from figdrum.filters import filter  # pylint: disable=redefined-builtin


class FilterChain:
    """Runs filters in order until one answers."""

    def __init__(self, *filters: filter.Filter):
        self._filters = filters

    def run(self, ctx: typing.Any) -> filter.Verdict | defer.Deferred:
        """Applies the filters to `ctx` until one answers.

        Returns:
            The last filter's `Pass` or the first `Answer`; a Deferred of it
            only if a filter returned a Deferred. An exception raised by a
            filter propagates to the caller or, after a filter returned a
            Deferred, to the errback of the returned Deferred.
        """
        return self._run_from(0, filter.Pass(ctx))

    def _run_from(self, start: int, verdict: filter.Verdict):
        for i in range(start, len(self._filters)):
            if isinstance(verdict, filter.Answer):
                return verdict
            verdict = self._filters[i].apply(verdict.ctx)
            # This check avoids isinstance() with Deferred, which takes 0.2 us
            # because Deferred is an abstract class. Each packet passes four
            # filters, none of which returns a Deferred.
            if type(verdict) is filter.Pass:  # pylint: disable=unidiomatic-typecheck
                continue
            if isinstance(verdict, defer.Deferred):
                return verdict.addCallback(lambda value, next_index=i + 1: self.
                                           _run_from(next_index, value))
        return verdict
