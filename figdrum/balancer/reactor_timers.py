"""Timers on a Twisted reactor, or on a `task.Clock` in tests.

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
    """A scheduled call."""

    def __init__(self, call: typing.Any):
        self._call = call

    def cancel(self) -> None:
        """Cancels the call; has no effect after the call or a cancel."""
        if self._call.active():
            self._call.cancel()


class ReactorTimers(ports.Timers):
    """Schedules calls on an `IReactorTime`."""

    def __init__(self, reactor: typing.Any):
        self._reactor = reactor

    def call_later(self, delay_ms, fn):
        return _Timer(self._reactor.callLater(delay_ms / clock.MS_PER_S, fn))
