"""Interface of the filters of a chain.

Explanation
===========

A filter processes one packet or request. It passes a context value to the next
filter, ends the chain with an answer, or returns a Deferred of one of the two.
Filters that return no Deferred need no reactor, so the balancer's chain runs
synchronously.

Examples
========

>>> class Deadline(Filter):
...     def apply(self, ctx):
...         return Pass(ctx) if ctx > 0 else Answer('too late')
>>> Deadline().apply(5)
Pass(ctx=5)
>>> Deadline().apply(0)
Answer(value='too late')
"""

import abc
import typing

from twisted.internet import defer


class Pass(typing.NamedTuple):
    """Continues the chain: `ctx` is the input of the next filter."""
    ctx: typing.Any


class Answer(typing.NamedTuple):
    """Ends the chain with `value`, a response or a reason for a drop."""
    value: typing.Any


Verdict = Pass | Answer


class Filter(abc.ABC):
    """One step in the processing of a packet or request."""

    @abc.abstractmethod
    def apply(self, ctx: typing.Any) -> Verdict | defer.Deferred:
        """Processes `ctx`.

        Args:
            ctx: Immutable context. A filter that adds information passes on a
                modified copy.

        Returns:
            `Pass`, `Answer`, or a Deferred of one of them when it has to wait.
        """
