"""Reader of trace files."""

import collections.abc
import json

from figdrum.core import errors
from figdrum.telemetry import trace


class TraceReader:
    """Reads the steps that a `trace.TraceWriter` has recorded.

    A last line without a line end is ignored: the process was killed while
    writing it.
    """

    def __init__(self, path: str):
        self._path = path

    def steps(self) -> collections.abc.Iterator[trace.Step]:
        """Yields the steps in order.

        Raises:
          errors.TraceError: if the file cannot be read or a line is not a
            step of a known version.
        """
        try:
            with open(self._path, encoding='utf-8') as file:
                number = 0
                while line := file.readline(trace.MAX_LINE_BYTES + 1):
                    number += 1
                    if not line.endswith('\n'):
                        if len(line) > trace.MAX_LINE_BYTES:
                            raise self._trace_error(number,
                                                    'the line is too long')
                        return
                    yield self._parse(line, number)
        except (OSError, UnicodeDecodeError) as exc:
            raise errors.TraceError('read trace', self._path, str(exc)) from exc

    def _parse(self, line: str, number: int) -> trace.Step:
        try:
            row = json.loads(line)
            version = row.pop('v')
            if version != trace.TRACE_VERSION:
                raise self._trace_error(
                    number, f'unsupported format version {version!r:.20}')
            step = trace.Step(**row)
        except (AttributeError, KeyError, RecursionError, TypeError,
                ValueError) as exc:
            raise self._trace_error(number, repr(exc)) from exc
        expected = (int, str, str, int | None, list, dict, list)
        if not all(
                isinstance(field, kind) for field, kind in zip(step, expected)):
            raise self._trace_error(number, 'a field has the wrong type')
        return step

    def _trace_error(self, number: int, reason: str) -> errors.TraceError:
        return errors.TraceError('read trace', self._path,
                                 f'line {number}: {reason}')
