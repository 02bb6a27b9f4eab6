"""The abstract filter of a chain and its verdicts.

Explanation
===========

A filter looks at one packet or request. It passes a context value on,
answers, or waits by returning a Deferred of one of the two. Filters that never
wait need no reactor, so the balancer's chain runs synchronously.

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
    """The next filter goes on with `ctx`."""
    ctx: typing.Any


class Answer(typing.NamedTuple):
    """The chain ends here with `value`: a response or the reason of a drop."""
    value: typing.Any


Verdict = Pass | Answer


class Filter(abc.ABC):
    """One step in the treatment of a packet or request."""

    @abc.abstractmethod
    def apply(self, ctx: typing.Any) -> Verdict | defer.Deferred:
        """Treats `ctx`.

        Args:
            ctx: Immutable context. A filter that learns something passes on a
                changed copy.

        Returns:
            `Pass`, `Answer`, or a Deferred of one of them when it has to wait.
        """
