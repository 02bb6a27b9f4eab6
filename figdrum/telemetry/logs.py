"""Sets up logging with a fixed prefix per part.

Explanation
===========

Each part logs through the adapter that `part` returns. A line is text, such as
`balancer: serving at revision 7`, or one JSON object. A line that the log
target cannot take at once is dropped and counted, so that a slow or absent
reader of the log never stops the process; the next line that goes out is
preceded by the count.

Examples
========

>>> part('balancer').process('serving', {})
('balancer: serving', {'extra': {'part': 'balancer'}})

References
==========

pipe(7): a pipe that polls as writable takes PIPE_BUF (4096) bytes without
blocking.
"""

import json
import logging
import os
import select
import sys
import typing

PARTS = ('balancer', 'agent', 'sync', 'platform', 'contracts', 'membership',
         'coap', 'cli')
MAX_LINE_BYTES = 4_000
LOGGER_NAME = 'figdrum'


class PartAdapter(logging.LoggerAdapter):
    """Puts the prefix of one part before each message."""

    def process(self, msg: typing.Any, kwargs: typing.Any) -> tuple:
        name = self.extra['part']
        kwargs['extra'] = {'part': name}
        return f'{name}: {msg}', kwargs


def part(name: str) -> PartAdapter:
    """Returns the logger of the part `name`.

    Raises:
      ValueError: if `name` is not one of `PARTS`.
    """
    if name not in PARTS:
        raise ValueError(f'unknown part {name!r}, not one of {PARTS}')
    return PartAdapter(logging.getLogger(f'{LOGGER_NAME}.{name}'),
                       {'part': name})


class TextFormatter(logging.Formatter):
    """Formats a line for people: time, level, prefix and message."""

    def __init__(self):
        super().__init__('%(asctime)s %(levelname)s %(message)s')

    def format(self, record: logging.LogRecord) -> str:
        return super().format(record).replace('\n', ' | ')


class JsonFormatter(logging.Formatter):
    """Formats a line as one JSON object.

    The keys are time_ms (since the Unix epoch), level, process, part, message
    and, for an exception, trace.
    """

    def __init__(self, process: str):
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        name = getattr(record, 'part', '')
        row = {
            'time_ms': int(record.created * 1000),
            'level': record.levelname.lower(),
            'process': self._process,
            'part': name,
            'message': record.getMessage().removeprefix(f'{name}: '),
        }
        if record.exc_info:
            row['trace'] = self.formatException(record.exc_info)
        return json.dumps(row)


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor and drops what it cannot take.

    Attributes:
      dropped: Lines dropped since the last line that went out.
    """

    def __init__(self, fd: int):
        super().__init__()
        self.dropped = 0
        self._fd = fd
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record)
        except (TypeError, ValueError) as exc:
            line = f'cannot format a log line: {exc} ({record.msg!r:.200})'
        if self.dropped and self._write(self._format_dropped(record)):
            self.dropped = 0
        if self.dropped or not self._write(line):
            self.dropped += 1

    def _format_dropped(self, record: logging.LogRecord) -> str:
        note = logging.LogRecord(LOGGER_NAME, logging.WARNING, '', 0,
                                 'cli: %d log lines dropped', (self.dropped,),
                                 None)
        note.created, note.part = record.created, 'cli'
        return self.format(note)

    def _write(self, line: str) -> bool:
        data = line.encode('utf-8', 'replace')
        if len(data) >= MAX_LINE_BYTES:
            data = data[:MAX_LINE_BYTES] + b'...'
        try:
            if not any(
                    state & select.POLLOUT for _, state in self._poll.poll(0)):
                return False
            os.write(self._fd, data + b'\n')
        except OSError:
            # A closed reader must not stop the process.
            return False
        return True


def setup(process: str,
          level: str = 'info',
          log_format: str = 'text',
          fd: int | None = None) -> NonBlockingHandler:
    """Sends the log of all parts and of Twisted to `fd`.

    Args:
      process: Name of the process, for JSON lines.
      level: 'debug', 'info', 'warning' or 'error'.
      log_format: 'text' or 'json'.
      fd: File descriptor, by default that of standard error.

    Returns:
      The handler, for its count of dropped lines.
    """
    handler = NonBlockingHandler(sys.stderr.fileno() if fd is None else fd)
    handler.setFormatter(
        JsonFormatter(process) if log_format == 'json' else TextFormatter())
    root = logging.getLogger()
    for old in [h for h in root.handlers if isinstance(h, NonBlockingHandler)]:
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level.upper())
    return handler


def bridge_twisted() -> None:
    """Passes Twisted's own log, such as unhandled failures, to logging."""
    # Twisted is imported here so that commands without a reactor stay small.
    from twisted import logger  # pylint: disable=import-outside-toplevel
    logger.globalLogBeginner.beginLoggingTo([logger.STDLibLogObserver()],
                                            redirectStandardIO=False,
                                            discardBuffer=True)
