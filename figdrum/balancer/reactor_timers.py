"""Timers on a Twisted reactor or on its clock for tests.

Examples
========

>>> from twisted.internet import task
>>> clock = task.Clock()
>>> _ = ReactorTimers(clock).call_later(200, lambda: print('now'))
>>> clock.advance(0.2)
now
"""

import typing

from figdrum.core import clock
from figdrum.core import ports


class _Timer:
    """A call that is due later."""

    def __init__(self, call: typing.Any):
        self._call = call

    def cancel(self) -> None:
        """Stops the call; without effect once it was made or stopped."""
        if self._call.active():
            self._call.cancel()


class ReactorTimers(ports.Timers):
    """Calls functions by an `IReactorTime`."""

    def __init__(self, reactor: typing.Any):
        self._reactor = reactor

    def call_later(self, delay_ms, fn):
        return _Timer(self._reactor.callLater(delay_ms / clock.MS_PER_S, fn))
