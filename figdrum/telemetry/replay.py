"""Runs a recorded trace through the decision code again.

Explanation
===========

Controllers are built by the factories of a `FactoryRegistry`, given the recorded
arguments and times, and their results are compared with the recorded ones.
The first difference ends the replay.

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
    """The first step at which the outcome differs.

    Attributes:
      step: The recorded step.
      found: The encoded outcome of the replay.
      reason: What differs, in one sentence.
    """
    step: trace.Step
    found: typing.Any
    reason: str


class ReplayResult(typing.NamedTuple):
    """Result of a replay.

    Attributes:
      steps: Steps with the same outcome.
      difference: The first difference, or None.
    """
    steps: int
    difference: Difference | None


class FactoryRegistry:
    """Factories of controllers by kind."""

    def __init__(self):
        self._factories: dict[str, str | collections.abc.Callable] = {}

    def register(self, kind: str,
                 factory: str | collections.abc.Callable) -> None:
        """Registers a factory.

        Args:
          kind: Name used with `trace.Trace.build`.
          factory: A callable, or 'module:name' that is imported on first use.
        """
        self._factories[kind] = factory

    def kinds(self) -> tuple[str, ...]:
        """Returns the registered kinds in order."""
        return tuple(sorted(self._factories))

    def find(self, kind: str) -> collections.abc.Callable:
        """Returns the factory of `kind`.

        Raises:
          errors.TraceError: if there is none.
        """
        factory = self._factories.get(kind)
        if factory is None:
            raise errors.TraceError('replay', kind,
                                    'no controller of this kind is registered')
        if isinstance(factory, str):
            module, _, name = factory.partition(':')
            factory = getattr(importlib.import_module(module), name)
        return factory


# Kinds that the processes record.
CONTROLLER_FACTORIES = FactoryRegistry()
CONTROLLER_FACTORIES.register('owner', 'figdrum.ownership.owner:Owner')
CONTROLLER_FACTORIES.register('router', 'figdrum.routing.router:Router')


class _Unasked(Exception):
    """The decision code asked what the recorded code did not."""


class _Script:
    """The recorded questions and answers of the current step."""

    def __init__(self):
        self._asked: list = []
        self._oracles: dict[str, _Oracle] = {}

    def read(self, form: typing.Any) -> typing.Any:
        """Returns the recorded value, or the oracle that stands for it."""
        if isinstance(form, dict) and isinstance(form.get('o'), str):
            name = form['o']
            return self._oracles.setdefault(name, _Oracle(name, self))
        return values.decode(form)

    def start(self, asked: list) -> None:
        """Begins a step."""
        self._asked = list(asked)

    def is_attribute(self, oracle: str, name: str) -> bool:
        """Returns whether the next recorded question reads this attribute."""
        return bool(self._asked) and self._asked[0][:3] == [oracle, name, None]

    def answer(self, oracle: str, name: str, args: tuple | None) -> typing.Any:
        """Returns the recorded answer to the next question."""
        shown = None if args is None else values.encode(args)
        if not self._asked or self._asked[0][:3] != [oracle, name, shown]:
            wanted = self._asked[0][:3] if self._asked else 'nothing'
            raise _Unasked(f'the code asked {[oracle, name, shown]}, '
                           f'the recorded code {wanted}')
        return self.read(self._asked.pop(0)[3])

    def rest(self) -> list:
        """Returns the recorded questions that were not asked."""
        return self._asked


class _Oracle:
    """Answers as the recorded oracle did."""

    def __init__(self, name: str, script: _Script):
        self._name = name
        self._script = script

    def __call__(self, *args: typing.Any) -> typing.Any:
        return self._script.answer(self._name, '__call__', args)

    def __getattr__(self, name: str) -> typing.Any:
        if name.startswith('__'):
            raise AttributeError(name)
        if self._script.is_attribute(self._name, name):
            return self._script.answer(self._name, name, None)
        return lambda *args: self._script.answer(self._name, name, args)


class _Replay:
    """One run through a trace."""

    def __init__(self, registry: FactoryRegistry):
        self._registry = registry
        self._controllers: dict[str, typing.Any] = {}
        self._script = _Script()

    def run(self, steps: collections.abc.Iterable[trace.Step]) -> ReplayResult:
        """Runs `steps` up to the first difference."""
        count = 0
        for step in steps:
            difference = self._run_step(step)
            if difference is not None:
                return ReplayResult(count, difference)
            count += 1
        return ReplayResult(count, None)

    def _run_step(self, step: trace.Step) -> Difference | None:
        fn = self._find(step)
        args = [self._script.read(arg) for arg in step.args]
        if step.now_ms is not None:
            args.insert(0, step.now_ms)
        kwargs = {
            key: self._script.read(arg) for key, arg in step.kwargs.items()
        }
        self._script.start(step.asked)
        found: typing.Any = None
        try:
            result = fn(*args, **kwargs)
            if step.method == trace.BUILD_METHOD:
                self._controllers[step.controller] = result
            else:
                found = values.encode(result)
        except _Unasked as exc:
            return Difference(step, None, str(exc))
        except Exception as exc:  # pylint: disable=broad-exception-caught
            # The recorded code may have raised too; the outcomes are compared.
            found = trace.encode_exception(exc)
        if found != step.actions:
            return Difference(step, found, 'the outcome differs')
        if self._script.rest():
            return Difference(step, found,
                              f'not asked any more: {self._script.rest()[0]}')
        return None

    def _find(self, step: trace.Step) -> collections.abc.Callable:
        if step.method == trace.BUILD_METHOD:
            return self._registry.find(step.kind)
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
    """Returns how far `steps` have the recorded outcome.

    Args:
      steps: Recorded steps in order.
      registry: Factories of the recorded kinds.

    Raises:
      errors.TraceError: if a step cannot be run.
    """
    return _Replay(registry).run(steps)
