"""Configuration of logging, with a prefix for each part of the program.

Explanation
===========

Each part logs through the adapter that `part` returns. A line is text, such as
`balancer: serving at revision 7`, or a JSON object. A line that cannot be
written immediately is dropped and counted, so that a slow or closed log reader
never blocks the process. The next line that can be written is preceded by a
line with the number of dropped ones.

Examples
========

>>> part('balancer').process('serving', {})
('balancer: serving', {'extra': {'part': 'balancer'}})

References
==========

pipe(7): a pipe for which poll() reports POLLOUT accepts PIPE_BUF (4096) bytes
without blocking.
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
    """Prefixes each message with the name of a part."""

    def process(self, msg: typing.Any, kwargs: typing.Any) -> tuple:
        name = self.extra['part']
        kwargs['extra'] = {'part': name}
        return f'{name}: {msg}', kwargs


def part(name: str) -> PartAdapter:
    """Returns the logger for the part `name`.

    Raises:
      ValueError: if `name` is not one of `PARTS`.
    """
    if name not in PARTS:
        raise ValueError(f'unknown part {name!r}, not one of {PARTS}')
    return PartAdapter(logging.getLogger(f'{LOGGER_NAME}.{name}'),
                       {'part': name})


class TextFormatter(logging.Formatter):
    """Formats a record as one line of text: time, level, prefix, message."""

    def __init__(self):
        super().__init__('%(asctime)s %(levelname)s %(message)s')

    def format(self, record: logging.LogRecord) -> str:
        return super().format(record).replace('\n', ' | ')


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object.

    The keys are time_ms (since the Unix epoch), level, process, part, message
    and, if an exception is logged, trace.
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
    """Writes lines to a file descriptor and drops those that would block.

    Attributes:
      dropped: Number of lines dropped since the last written line.
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
        dropped_record = logging.LogRecord(LOGGER_NAME, logging.WARNING, '', 0,
                                           'cli: %d log lines dropped',
                                           (self.dropped,), None)
        dropped_record.created, dropped_record.part = record.created, 'cli'
        return self.format(dropped_record)

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
            # The process must continue if the reader of the log is closed.
            return False
        return True


def setup(process: str,
          level: str = 'info',
          log_format: str = 'text',
          fd: int | None = None) -> NonBlockingHandler:
    """Directs the logs of all parts and of libraries to `fd`.

    Args:
      process: Name of the process, written in JSON lines.
      level: Lowest level of the parts' lines: 'debug', 'info', 'warning' or
        'error'. Libraries log from 'warning' on.
      log_format: 'text' or 'json'.
      fd: File descriptor, by default that of standard error.

    Returns:
      The handler, which counts dropped lines.
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
    """Forwards Twisted's log, such as unhandled failures, to `logging`."""
    # Imported here to save memory in commands that do not run a reactor.
    from twisted import logger  # pylint: disable=import-outside-toplevel
    logger.globalLogBeginner.beginLoggingTo([logger.STDLibLogObserver()],
                                            redirectStandardIO=False,
                                            discardBuffer=True)
