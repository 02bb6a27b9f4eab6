"""Structured log lines on standard output.

Explanation
===========

A line is a JSON object with the time, the process, the event and the values
that led to it. The number of lines per second is limited for each event. Lines
above the limit, and lines that cannot be written without blocking, are dropped,
and the next line reports their number. The standard library's `logging` is not
used because importing it takes 0.7 MB of memory and 9 ms of CPU time
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

# Maximum number of lines per second for one event. With lines of 200 bytes, ten
# events at this rate stay below 100 KB/s.
MAX_LINES_PER_S = 40

STANDARD_OUTPUT = 1

WriteLine = collections.abc.Callable[[bytes], typing.Any]

_encode = json.JSONEncoder(separators=(',', ':'), default=str).encode


def write_standard_output(line: bytes) -> bool:
    """Writes a line without blocking; returns whether it was written."""
    try:
        return os.write(STANDARD_OUTPUT, line) == len(line)
    except OSError:
        # A closed or full log pipe must not interrupt packet processing.
        return False


class EventLog:
    """Writes structured lines at a limited rate.

    Attributes:
      counts: Number of events by name since the start, including those whose
        lines were dropped.
    """

    def __init__(self, process: str, time_source: clock.Clock,
                 write: WriteLine):
        """Creates a log.

        Args:
          process: Name of the process.
          time_source: Source of the time of day.
          write: Writes one line; returns False if the line was not written.
        """
        self._process = process
        self._clock = time_source
        self._write = write
        self._second = 0
        self._line_counts: collections.Counter[str] = collections.Counter()
        self._dropped = 0
        self.counts: collections.Counter[str] = collections.Counter()

    def write(self, event: str, **fields: typing.Any) -> None:
        """Counts `event`, and writes a line unless its limit is reached.

        Args:
          event: Name of the event.
          **fields: Further fields of the line, as JSON values or objects that
            are written as their str().
        """
        self.counts[event] += 1
        wall_ms = self._clock.wall_ms()
        second = wall_ms // clock.MS_PER_S
        if second != self._second:
            self._second = second
            self._line_counts.clear()
        self._line_counts[event] += 1
        if self._line_counts[event] > MAX_LINES_PER_S:
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
