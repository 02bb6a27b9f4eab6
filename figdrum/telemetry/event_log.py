"""Structured log lines on standard output.

Explanation
===========

A line is a JSON object with the time, the process, the event and what decided
it. Each event may be written so many times a second; lines beyond, and lines
that the reader does not take at once, are counted and named in the next line.
The library `logging` takes 0.7 MB and 9 ms of a core to import
(docs/decisions.md).

Examples
========

>>> lines = []
>>> log = EventLog('agent-1', clock.ManualClock(5), lines.append)
>>> log.write('flow placed', flow='f', target='t')
>>> lines[0][:43]
b'{"time_ms":5,"process":"agent-1","event":"f'
"""

import collections
import collections.abc
import json
import os
import typing

from figdrum.core import clock

# Lines of one event that a process writes in a second: at 200 bytes each, ten
# busy events stay below 100 KB/s.
LINES_PER_S = 40

STANDARD_OUTPUT = 1

Write = collections.abc.Callable[[bytes], typing.Any]

_encode = json.JSONEncoder(separators=(',', ':'), default=str).encode


def write_standard_output(line: bytes) -> bool:
    """Writes a line without waiting; returns whether it was taken."""
    try:
        return os.write(STANDARD_OUTPUT, line) == len(line)
    except OSError:
        # Nobody reads the log; packets go on.
        return False


class EventLog:
    """Writes bounded, structured lines.

    Attributes:
      counts: Events by name since the start, whether written or not.
    """

    def __init__(self, process: str, time_source: clock.Clock, write: Write):
        self._process = process
        self._clock = time_source
        self._write = write
        self._second = 0
        self._lines: collections.Counter[str] = collections.Counter()
        self._dropped = 0
        self.counts: collections.Counter[str] = collections.Counter()

    def write(self, event: str, **fields: typing.Any) -> None:
        """Writes a line for `event`, unless its budget is spent."""
        self.counts[event] += 1
        wall_ms = self._clock.wall_ms()
        second = wall_ms // clock.MS_PER_S
        if second != self._second:
            self._second = second
            self._lines.clear()
        self._lines[event] += 1
        if self._lines[event] > LINES_PER_S:
            self._dropped += 1
            return
        row = {
            'time_ms': wall_ms,
            'process': self._process,
            'event': event,
            **fields
        }
        if self._dropped:
            row['lines_dropped'] = self._dropped
            self._dropped = 0
        if self._write(_encode(row).encode() + b'\n') is False:
            self._dropped += 1
