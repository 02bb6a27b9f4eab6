"""Recording of a process's decisions for replay (`--record FILE`).

Explanation
===========

A process builds its controllers with `Trace.build`. `NullTrace` returns the
controller itself. `TraceWriter` returns a proxy that writes a JSON line for
each method call:

    {"v": 1, "step": 3, "controller": "owner#1", "method": "on_packet",
     "now_ms": 1250, "args": [...], "kwargs": {...}, "asked": [...],
     "actions": ...}

The line with the method "build" holds the arguments of the factory. Values are
encoded by the module `values`. An argument that is not a value, such as an
admission check or a clock, is a dependency of the controller. It is replaced by
a proxy that records the controller's calls of the dependency and their results
under "asked", so that the replay can return the same results.

Examples
========

>>> trace = NullTrace()
>>> trace.build('set', set, (1, 2))
{1, 2}
"""

import abc
import collections.abc
import inspect
import json
import os
import typing

from figdrum.core import errors
from figdrum.telemetry import values

TRACE_VERSION = 1
BUILD_METHOD = 'build'
DEFAULT_LIMIT_BYTES = 64_000_000
# Recording ends at a longer line. The arguments of a step are messages of at
# most one datagram and lists of at most 1 MB, so regular lines are shorter.
MAX_LINE_BYTES = 8_000_000


class Step(typing.NamedTuple):
    """One recorded call of a controller.

    Attributes:
      step: Number of the line, from 1.
      controller: Kind and number of the controller, such as 'owner#1'.
      method: Name of the called method, or `BUILD_METHOD`.
      now_ms: Time argument of the method in ms, or None if it has none.
      args: Encoded positional arguments without the time.
      kwargs: Encoded keyword arguments.
      asked: Calls of dependencies, as [dependency, name, arguments, result].
        The arguments are None if an attribute was read.
      actions: Encoded result, or {'raised': code} for an error.
    """
    step: int
    controller: str
    method: str
    now_ms: int | None
    args: list
    kwargs: dict
    asked: list
    actions: typing.Any

    @property
    def kind(self) -> str:
        """Kind of the controller, under which its factory is registered."""
        return self.controller.partition('#')[0]


class Trace(abc.ABC):
    """Builds controllers whose decisions may be recorded."""

    @abc.abstractmethod
    def build(self, kind: str, factory: collections.abc.Callable, *args:
              typing.Any, **kwargs: typing.Any) -> typing.Any:
        """Returns `factory(*args, **kwargs)` or a proxy of it.

        Args:
          kind: Kind of the controller, by which a replay finds the factory.
          factory: Callable that returns the controller.
          *args: Arguments of the factory.
          **kwargs: Keyword arguments of the factory.
        """


class NullTrace(Trace):
    """Builds controllers without recording."""

    def build(self, kind: str, factory: collections.abc.Callable, *args:
              typing.Any, **kwargs: typing.Any) -> typing.Any:
        return factory(*args, **kwargs)


class TraceWriter(Trace):
    """Records decisions to a file of limited size.

    An error when writing the file ends the recording; it is not raised to the
    caller.

    Attributes:
      steps: Number of recorded calls.
      skipped: Number of calls that were not recorded, because the file reached
        its size limit or could not be written.
    """

    def __init__(self, path: str, limit_bytes: int = DEFAULT_LIMIT_BYTES):
        """Creates the trace file.

        Args:
          path: File to write; an existing file is replaced.
          limit_bytes: Size of the file in bytes at which the recording ends.

        Raises:
          errors.TraceError: if the file cannot be opened.
        """
        self.steps = 0
        self.skipped = 0
        self._bytes_left = limit_bytes
        self._counts: dict[str, int] = {}
        self._dependency_count = 0
        self._step_calls: list = []
        try:
            # A trace contains customers' requests, so only the user of this
            # process may read it.
            fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            self._file: typing.Any = os.fdopen(fd, 'w', encoding='utf-8')
        except OSError as exc:
            raise errors.TraceError('open trace', path, str(exc)) from exc

    def build(self, kind: str, factory: collections.abc.Callable, *args:
              typing.Any, **kwargs: typing.Any) -> typing.Any:
        number = self._counts[kind] = self._counts.get(kind, 0) + 1
        name = f'{kind}#{number}'
        controller = self.record(name, BUILD_METHOD, factory, False, args,
                                 kwargs)
        return _ControllerProxy(self, name, controller)

    def record(self, name: str, method: str, fn: collections.abc.Callable,
               has_time: bool, args: tuple, kwargs: dict) -> typing.Any:
        """Calls `fn` and records the call and its outcome.

        Args:
          name: Kind and number of the controller.
          method: Name of the method, or `BUILD_METHOD`.
          fn: Method or factory to call.
          has_time: Whether the first positional argument is the time in ms.
          args: Positional arguments.
          kwargs: Keyword arguments.

        Returns:
          The result of `fn`. An exception of `fn` is recorded and raised.
        """
        if self._file is None:
            self.skipped += 1
            return fn(*args, **kwargs)
        passed_args, encoded_args = self._encode_or_wrap_all(args)
        passed_kwargs, encoded_kwargs = self._encode_or_wrap_all(
            tuple(kwargs.values()))
        keys = tuple(kwargs)
        outer_calls, self._step_calls = self._step_calls, []
        outcome: typing.Any = None
        try:
            result = fn(*passed_args, **dict(zip(keys, passed_kwargs)))
            outcome = None if method == BUILD_METHOD else values.encode(result)
            return result
        except Exception as exc:
            outcome = encode_exception(exc)
            raise
        finally:
            self._write(
                Step(self.steps + 1, name, method,
                     args[0] if has_time and args else None,
                     encoded_args[1 if has_time and args else 0:],
                     dict(zip(keys,
                              encoded_kwargs)), self._step_calls, outcome))
            self._step_calls = outer_calls

    def record_call(self, dependency: str, name: str, args: tuple | None,
                    result: typing.Any) -> typing.Any:
        """Records a call of a dependency during the current step.

        Args:
          dependency: Name of the dependency in the trace.
          name: Name of the method or attribute.
          args: Arguments of the method, or None for an attribute.
          result: Result of the call, or value of the attribute.

        Returns:
          The result, or a recording proxy of it if it is not a value.
        """
        encoded_args = None if args is None else values.encode(args)
        passed, encoded = self._encode_or_wrap(result)
        self._step_calls.append([dependency, name, encoded_args, encoded])
        return passed

    def close(self) -> None:
        """Ends the recording; later calls are only counted."""
        file, self._file = self._file, None
        if file is not None:
            try:
                file.close()
            except OSError:
                pass

    def _encode_or_wrap(self,
                        value: typing.Any) -> tuple[typing.Any, typing.Any]:
        """Encodes an argument or a result for the trace.

        Returns:
          The object to pass on, which is `value` or a recording proxy of it if
          it is not a value, and its encoded form.
        """
        encoded = values.encode(value)
        if values.is_decodable(encoded):
            return value, encoded
        self._dependency_count += 1
        dependency = f'{type(value).__name__}#{self._dependency_count}'
        return _DependencyProxy(self, dependency, value), {'o': dependency}

    def _encode_or_wrap_all(self, args: tuple) -> tuple[list, list]:
        pairs = [self._encode_or_wrap(arg) for arg in args]
        return [passed for passed, _ in pairs
               ], [encoded for _, encoded in pairs]

    def _write(self, step: Step) -> None:
        row = {'v': TRACE_VERSION, **step._asdict()}
        line = json.dumps(row, separators=(',', ':')) + '\n'
        self._bytes_left -= len(line)
        try:
            if self._bytes_left < 0 or len(line) > MAX_LINE_BYTES:
                self.skipped += 1
                self.close()
            else:
                self._file.write(line)
                self.steps += 1
        except OSError:
            self.skipped += 1
            self.close()


class _ControllerProxy:
    """Records calls of a controller's methods."""

    def __init__(self, writer: TraceWriter, name: str, controller: typing.Any):
        self._writer = writer
        self._name = name
        self._controller = controller

    def __getattr__(self, name: str) -> typing.Any:
        found = getattr(self._controller, name)
        if name.startswith('_') or not inspect.ismethod(found):
            return found
        has_time = next(iter(inspect.signature(found).parameters),
                        '') == 'now_ms'

        def call(*args, **kwargs):
            return self._writer.record(self._name, name, found, has_time, args,
                                       kwargs)

        # Later accesses find the wrapper without calling __getattr__.
        self.__dict__[name] = call
        return call


class _DependencyProxy:
    """Records calls of a dependency and their results."""

    def __init__(self, writer: TraceWriter, dependency: str,
                 wrapped: typing.Any):
        self._writer = writer
        self._dependency = dependency
        self._wrapped = wrapped

    def __call__(self, *args: typing.Any) -> typing.Any:
        return self._writer.record_call(self._dependency, '__call__', args,
                                        self._wrapped(*args))

    def __getattr__(self, name: str) -> typing.Any:
        found = getattr(self._wrapped, name)
        if not callable(found):
            return self._writer.record_call(self._dependency, name, None, found)
        return lambda *args: self._writer.record_call(self._dependency, name,
                                                      args, found(*args))


def encode_exception(exc: Exception) -> dict:
    """Returns the encoded outcome of a call that raised `exc`."""
    return {'raised': getattr(exc, 'code', type(exc).__name__)}


def open_trace(path: str, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> Trace:
    """Returns a writer to `path`, or a `NullTrace` when `path` is empty."""
    return TraceWriter(path, limit_bytes) if path else NullTrace()
