"""A single-threaded event loop.

Explanation
===========

Importing Twisted's reactor takes 8 MB and 0.24 s of CPU time, at each restart
of a process that has a quarter of a core (docs/decisions.md). This loop has
only what a node needs: readable and writable sockets, timers and signals.
It uses epoll itself, since `selectors` takes 1 ms to import.
"""

import collections.abc
import heapq
import select
import signal
import socket
import typing

from figdrum.core import clock as clock_module
from figdrum.core import ports

# Longest wait for events, in ms. It bounds the delay until a signal is handled.
MAX_WAIT_MS = 100

Callback = collections.abc.Callable[[], None]


class Timer:
    """A scheduled call, which can be cancelled."""
    __slots__ = ('due_ms', 'callback')

    def __init__(self, due_ms: int, callback: Callback):
        self.due_ms = due_ms
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Prevents the call; does nothing once it has been made."""
        self.callback = None


class Loop(ports.Timers):
    """Calls callbacks for ready sockets, due timers and received signals."""

    def __init__(self, clock: clock_module.Clock):
        self._clock = clock
        self._epoll = select.epoll()
        self._callbacks: dict[int, tuple[Callback | None, Callback | None]] = {}
        self._timers: list[tuple[int, int, Timer]] = []
        self._sequence = 0
        self._running = False
        self._signals: list[int] = []
        self._signal_handlers: dict[int, Callback] = {}

    def call_later(self, delay_ms: int, fn: Callback) -> Timer:
        timer = Timer(self._clock.now_ms() + delay_ms, fn)
        self._sequence += 1
        heapq.heappush(self._timers, (timer.due_ms, self._sequence, timer))
        return timer

    def call_every(self, period_ms: int, fn: Callback) -> None:
        """Calls `fn` every `period_ms` until the loop stops."""

        def repeat() -> None:
            self.call_later(period_ms, repeat)
            fn()

        self.call_later(period_ms, repeat)

    def watch(self,
              sock: socket.socket,
              on_readable: Callback | None = None,
              on_writable: Callback | None = None) -> None:
        """Sets the callbacks of a socket; without any, stops watching it."""
        events = ((select.EPOLLIN if on_readable else 0) |
                  (select.EPOLLOUT if on_writable else 0))
        fd = sock.fileno()
        if not events:
            if self._callbacks.pop(fd, None) is not None:
                self._epoll.unregister(fd)
            return
        if fd in self._callbacks:
            self._epoll.modify(fd, events)
        else:
            self._epoll.register(fd, events)
        self._callbacks[fd] = (on_readable, on_writable)

    def on_signal(self, number: int, fn: Callback) -> None:
        """Calls `fn` from the loop after each signal `number`."""
        self._signal_handlers[number] = fn
        signal.signal(number,
                      lambda received, _: self._signals.append(received))

    def run(self) -> None:
        """Runs until `stop` is called."""
        self._running = True
        while self._running:
            self._run_once()
        for number in self._signal_handlers:
            # The interpreter restores the default handlers at exit, and another
            # signal would then change the exit status. Ignored signals stay
            # ignored.
            signal.signal(number, signal.SIG_IGN)

    def stop(self) -> None:
        """Makes `run` return after the current iteration."""
        self._running = False

    def _run_once(self) -> None:
        polled = self._epoll.poll(self._wait_s(), max(1, len(self._callbacks)))
        # Taken before any call: a callback may close a socket, and another one
        # may get its number.
        ready = [(self._callbacks[fd], event) for fd, event in polled]
        for (on_readable, on_writable), event in ready:
            # Errors have bits of their own and are found by a call.
            if event & ~select.EPOLLIN and on_writable:
                on_writable()
            if event & ~select.EPOLLOUT and on_readable:
                on_readable()
        while self._signals:
            self._signal_handlers[self._signals.pop(0)]()
        self._run_due_timers()

    def _wait_s(self) -> float:
        wait_ms = MAX_WAIT_MS
        if self._timers:
            wait_ms = min(wait_ms, self._timers[0][0] - self._clock.now_ms())
        return max(wait_ms, 0) / clock_module.MS_PER_S

    def _run_due_timers(self) -> None:
        now_ms = self._clock.now_ms()
        while self._timers and self._timers[0][0] <= now_ms:
            timer = typing.cast(Timer, heapq.heappop(self._timers)[2])
            if timer.callback is not None:
                timer.callback()
