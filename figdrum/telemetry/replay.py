"""Replay of recorded traces.

Explanation
===========

A replay builds the recorded controllers with the factories of a
`FactoryRegistry`, calls them with the recorded arguments and times, and
compares their results with the recorded ones. It ends at the first difference.

Examples
========

>>> registry = FactoryRegistry()
>>> registry.register('owner', 'figdrum.ownership.owner:Owner')
>>> registry.kinds()
('owner',)
"""

import collections.abc
import importlib
import typing

from figdrum.core import errors
from figdrum.telemetry import trace
from figdrum.telemetry import values


class Difference(typing.NamedTuple):
    """A difference between a trace and its replay.

    Attributes:
      step: Recorded step at which they differ.
      found: Encoded outcome of the step in the replay.
      reason: Description of the difference.
    """
    step: trace.Step
    found: typing.Any
    reason: str


class ReplayResult(typing.NamedTuple):
    """Result of a replay.

    Attributes:
      steps: Number of steps with the recorded outcome.
      difference: The first difference, or None.
    """
    steps: int
    difference: Difference | None


class FactoryRegistry:
    """Registry of the factories that build controllers, by kind."""

    def __init__(self):
        self._factories: dict[str, str | collections.abc.Callable] = {}

    def register(self, kind: str,
                 factory: str | collections.abc.Callable) -> None:
        """Registers a factory.

        Args:
          kind: Kind of controller, as passed to `trace.Trace.build`.
          factory: A callable, or its name 'module:name', which is imported only
            when a trace needs it.
        """
        self._factories[kind] = factory

    def kinds(self) -> tuple[str, ...]:
        """Returns the registered kinds in alphabetical order."""
        return tuple(sorted(self._factories))

    def find_factory(self, kind: str) -> collections.abc.Callable:
        """Returns the factory of `kind`.

        Raises:
          errors.TraceError: if no factory is registered for `kind`.
        """
        factory = self._factories.get(kind)
        if factory is None:
            raise errors.TraceError('replay', kind,
                                    'no controller of this kind is registered')
        if isinstance(factory, str):
            module, _, name = factory.partition(':')
            factory = getattr(importlib.import_module(module), name)
        return factory


# Factories of all kinds of controller that the processes record.
CONTROLLER_FACTORIES = FactoryRegistry()
CONTROLLER_FACTORIES.register('owner', 'figdrum.ownership.owner:Owner')
CONTROLLER_FACTORIES.register('router', 'figdrum.routing.router:Router')


class _UnexpectedCall(Exception):
    """The replayed code called a dependency otherwise than recorded."""


class _RecordedCalls:
    """Recorded calls of dependencies in the current step."""

    def __init__(self):
        self._remaining: list = []
        self._dependencies: dict[str, _ReplayedDependency] = {}

    def decode_argument(self, encoded: typing.Any) -> typing.Any:
        """Returns the recorded value, or a replacement of a dependency."""
        if isinstance(encoded, dict) and isinstance(encoded.get('o'), str):
            name = encoded['o']
            return self._dependencies.setdefault(
                name, _ReplayedDependency(name, self))
        return values.decode(encoded)

    def start(self, asked: list) -> None:
        """Starts a step with its recorded calls of dependencies."""
        self._remaining = list(asked)

    def is_attribute_read(self, dependency: str, name: str) -> bool:
        """Returns whether the next recorded call reads this attribute."""
        return bool(self._remaining) and self._remaining[0][:3] == [
            dependency, name, None
        ]

    def next_result(self, dependency: str, name: str,
                    args: tuple | None) -> typing.Any:
        """Returns the recorded result of the next call.

        Args:
          dependency: Name of the dependency in the trace.
          name: Method or attribute.
          args: Arguments, or None if an attribute is read.

        Raises:
          _UnexpectedCall: if the next recorded call is another one.
        """
        encoded_args = None if args is None else values.encode(args)
        if not self._remaining or self._remaining[0][:3] != [
                dependency, name, encoded_args
        ]:
            expected = self._remaining[0][:3] if self._remaining else 'nothing'
            raise _UnexpectedCall(
                f'the code asked for {[dependency, name, encoded_args]}, '
                f'the recorded code for {expected}')
        return self.decode_argument(self._remaining.pop(0)[3])

    def remaining(self) -> list:
        """Returns the recorded calls that have not been made."""
        return self._remaining


class _ReplayedDependency:
    """Replaces a dependency and returns its recorded results."""

    def __init__(self, name: str, recorded_calls: _RecordedCalls):
        self._name = name
        self._recorded_calls = recorded_calls

    def __call__(self, *args: typing.Any) -> typing.Any:
        return self._recorded_calls.next_result(self._name, '__call__', args)

    def __getattr__(self, name: str) -> typing.Any:
        if name.startswith('__'):
            raise AttributeError(name)
        if self._recorded_calls.is_attribute_read(self._name, name):
            return self._recorded_calls.next_result(self._name, name, None)
        return lambda *args: self._recorded_calls.next_result(
            self._name, name, args)


class _Replay:
    """State of one replay: the controllers built so far."""

    def __init__(self, registry: FactoryRegistry):
        self._registry = registry
        self._controllers: dict[str, typing.Any] = {}
        self._recorded_calls = _RecordedCalls()

    def run(self, steps: collections.abc.Iterable[trace.Step]) -> ReplayResult:
        """Replays `steps` up to the first difference."""
        count = 0
        for step in steps:
            difference = self._run_step(step)
            if difference is not None:
                return ReplayResult(count, difference)
            count += 1
        return ReplayResult(count, None)

    def _run_step(self, step: trace.Step) -> Difference | None:
        fn = self._find_callable(step)
        args = [self._recorded_calls.decode_argument(arg) for arg in step.args]
        if step.now_ms is not None:
            args.insert(0, step.now_ms)
        kwargs = {
            key: self._recorded_calls.decode_argument(arg)
            for key, arg in step.kwargs.items()
        }
        self._recorded_calls.start(step.asked)
        found: typing.Any = None
        try:
            result = fn(*args, **kwargs)
            if step.method == trace.BUILD_METHOD:
                self._controllers[step.controller] = result
            else:
                found = values.encode(result)
        except _UnexpectedCall as exc:
            return Difference(step, None, str(exc))
        except Exception as exc:  # pylint: disable=broad-exception-caught
            # The recorded call may have raised the same exception.
            found = trace.encode_exception(exc)
        if found != step.actions:
            return Difference(step, found, 'the outcome differs')
        if self._recorded_calls.remaining():
            return Difference(
                step, found, 'a recorded call was not made: '
                f'{self._recorded_calls.remaining()[0]}')
        return None

    def _find_callable(self, step: trace.Step) -> collections.abc.Callable:
        if step.method == trace.BUILD_METHOD:
            return self._registry.find_factory(step.kind)
        controller = self._controllers.get(step.controller)
        if controller is None or step.method.startswith('_'):
            raise errors.TraceError(
                'replay', step.controller,
                f'step {step.step} calls {step.method} before it was built')
        try:
            return getattr(controller, step.method)
        except AttributeError as exc:
            raise errors.TraceError(
                'replay', step.controller,
                f'step {step.step} calls {step.method}, which does not exist'
            ) from exc


def replay(steps: collections.abc.Iterable[trace.Step],
           registry: FactoryRegistry = CONTROLLER_FACTORIES) -> ReplayResult:
    """Replays `steps` up to the first difference.

    Args:
      steps: Recorded steps in order.
      registry: Factories of the recorded kinds of controller.

    Returns:
      The number of steps with the recorded outcome, and the first difference.

    Raises:
      errors.TraceError: if a step is damaged, or names a controller or method
        that does not exist.
    """
    return _Replay(registry).run(steps)
