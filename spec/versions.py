"""Specification of the order of contract changes.

Explanation
===========

Operators approve and reject proposals concurrently. Each runs the production
`ChangeLog` on a store whose answers the model chooses: a call succeeds, is
lost, takes effect without an answer, or takes effect late. An operator's code
is deterministic, so its state is the sequence of answers that it has received;
the model replays it from the start to find its next call.

Properties: the log has no gap and no proposal twice, no entry is ever
overwritten, an approval that was reported as successful is in the log, and the
proposal of a rejection that was reported as successful is not.
"""

import functools
import itertools
import logging
import typing

import minicheck
from twisted.internet import defer

from figdrum.contracts import change as change_lib
from figdrum.contracts import change_log
from figdrum.core import clock
from figdrum.core import errors
from figdrum.object_api import memory_store
from figdrum.object_api import store as store_lib
from spec import checker


class Call(typing.NamedTuple):
    """A call of the store.

    Attributes:
      kind: 'get', 'list', 'put' or 'watch'.
      key: Key or prefix.
      value: Value to write.
      if_version: Expected version; for a watch the revision after which
        changes are asked for.
    """
    kind: str
    key: str
    value: str = ''
    if_version: int = 0


class Answer(typing.NamedTuple):
    """Result of a call; `error` is '' or the name of an error class."""
    error: str
    result: typing.Any


class Operation(typing.NamedTuple):
    """An operator's action on a proposal; `verb` is 'approve' or 'reject'."""
    verb: str
    proposal: str
    operator: str


class OperationEnd(typing.NamedTuple):
    """End of an operation; `error` is '' or the name of an error class."""
    error: str


class Switches(typing.NamedTuple):
    """Switches by which the specification disables single rules.

    Attributes:
      conditional: The store checks the expected version of a write.
      intent: A rejection waits for an approval in progress.
    """
    conditional: bool = True
    intent: bool = True


class World(typing.NamedTuple):
    """The state of the model.

    Attributes:
      items: The store's objects, sorted by key.
      revision: The store's revision.
      answers: Answers that each operator has received.
      late: Writes that have not taken effect yet.
      faults: Number of calls that can still fail.
      overwritten: True once an entry of the log was replaced.
    """
    items: tuple[store_lib.Item, ...]
    revision: int
    answers: tuple[tuple[Answer, ...], ...]
    late: frozenset
    faults: int
    overwritten: bool


class _ScriptedStore(store_lib.Store):
    """Returns the recorded answers, then leaves the next call unanswered."""

    def __init__(self, answers: tuple[Answer, ...]):
        self._answers = iter(answers)
        self.unanswered: Call | None = None

    def get(self, key):
        return self._call(Call('get', key))

    def list(self, prefix):
        return self._call(Call('list', prefix))

    def put(self, key, value, if_version):
        return self._call(Call('put', key, value, if_version))

    def watch(self, prefix, since_revision, timeout_ms):
        return self._call(Call('watch', prefix, '', since_revision))

    def _call(self, call: Call) -> defer.Deferred:
        answer = next(self._answers, None)
        if answer is None:
            self.unanswered = call
            return defer.Deferred()
        if answer.error:
            exc = getattr(errors, answer.error)
            return defer.fail(exc(call.kind, call.key, 'scripted'))
        return defer.succeed(answer.result)


class _LogWithoutIntentCheck(change_log.ChangeLog):
    """Rejects without waiting for an approval in progress."""

    def _check_intent_failed(self, proposal):
        return defer.succeed(None)


@functools.lru_cache(maxsize=1 << 18)
def _replay(operation: Operation, answers: tuple[Answer, ...],
            switches: Switches) -> Call | OperationEnd:
    """Replays an operation; returns its next call or its end."""
    scripted = _ScriptedStore(answers)
    log_class = (change_log.ChangeLog
                 if switches.intent else _LogWithoutIntentCheck)
    log = log_class(scripted, clock.ManualClock(1), lambda: 'unused')
    outcome: list[OperationEnd] = []
    started = getattr(log, operation.verb)(operation.proposal,
                                           operation.operator)
    started.addCallbacks(
        lambda _: outcome.append(OperationEnd('')),
        lambda f: outcome.append(OperationEnd(f.type.__name__)))
    return outcome[0] if outcome else scripted.unanswered


def _execute(world: World, call: Call,
             conditional: bool) -> tuple[World, Answer]:
    """Executes a call; returns the new state and the answer."""
    items_by_key = {item.key: item for item in world.items}
    if call.kind == 'get':
        return world, Answer('', items_by_key.get(call.key))
    if call.kind == 'list':
        found = [i for i in world.items if i.key.startswith(call.key)]
        return world, Answer('', (found, world.revision))
    if call.kind == 'watch':
        found = [
            i for i in world.items
            if i.key.startswith(call.key) and i.revision > call.if_version
        ]
        found.sort(key=lambda item: item.revision)
        return world, Answer('', (found, world.revision))
    old = items_by_key.get(call.key)
    version = old.version if old else 0
    if conditional and version != call.if_version:
        return world, Answer('ConflictError', None)
    item = store_lib.Item(call.key, call.value, version + 1, world.revision + 1)
    items_by_key[call.key] = item
    replaced = old is not None and call.key.startswith(change_lib.PREFIX)
    after = world._replace(items=tuple(sorted(items_by_key.values())),
                           revision=item.revision,
                           overwritten=world.overwritten or replaced)
    return after, Answer('', item)


def _hashable(answer: Answer) -> Answer:
    if isinstance(answer.result, tuple) and isinstance(answer.result[0], list):
        items, revision = answer.result
        return Answer('', (tuple(items), revision))
    return answer


class Model:
    """Transitions of the model under given rules."""

    def __init__(self, operations: tuple[Operation, ...], zones: dict[str, str],
                 faults: int, switches: Switches):
        """Initializes the model.

        Args:
          operations: Concurrent actions of the operators.
          zones: Zone that each proposal takes out.
          faults: Number of calls that can fail.
          switches: Rules in force.
        """
        self._operations = operations
        self._switches = switches
        store = memory_store.MemoryStore()
        log = change_log.ChangeLog(store, clock.ManualClock(1),
                                   lambda: 'unused')
        for proposal, zone in zones.items():
            log.propose(change_lib.ZoneOut(zone), 'alice', proposal)
        items: list[store_lib.Item] = []
        store.list('').addCallback(lambda found: items.extend(found[0]))
        self.initial = World(tuple(items), store.revision,
                             ((),) * len(operations), frozenset(), faults,
                             False)

    def transitions(self, state: tuple) -> list[tuple[str, tuple]]:
        """Returns the labelled successors of a state."""
        world = World(*state)
        steps = itertools.chain(self._call_events(world),
                                self._late_write_events(world))
        return [(label, tuple(after)) for label, after in steps]

    def _call_events(self, world: World):
        for index, operation in enumerate(self._operations):
            call = _replay(operation, world.answers[index], self._switches)
            if isinstance(call, OperationEnd):
                continue
            label = f'{operation.operator} {call.kind} {call.key}'
            after, answer = _execute(world, call, self._switches.conditional)
            yield label, _with_answer(after, index, answer)
            if not world.faults:
                continue
            failed = Answer('StoreError', None)
            failed_world = _with_answer(world._replace(faults=world.faults - 1),
                                        index, failed)
            yield f'{label}: no answer', failed_world
            if call.kind == 'put':
                yield f'{label}: answer lost', failed_world._replace(
                    items=after.items,
                    revision=after.revision,
                    overwritten=after.overwritten)
                yield f'{label}: late', failed_world._replace(late=world.late |
                                                              {call})

    def _late_write_events(self, world: World):
        for call in world.late:
            after, _ = _execute(world, call, self._switches.conditional)
            yield f'late write of {call.key}', after._replace(late=world.late -
                                                              {call})

    def is_consistent(self, fields: dict) -> bool:
        """Returns whether the log is valid and agrees with all results."""
        world = World(**fields)
        changes = [
            change_lib.Change.from_json(item.value)
            for item in world.items
            if item.key.startswith(change_lib.PREFIX)
        ]
        proposals = [change.proposal for change in changes]
        if (world.overwritten or len(set(proposals)) < len(proposals) or
            [change.n for change in changes] != list(range(1,
                                                           len(changes) + 1))):
            return False
        return all(
            _agrees_with_log(operation,
                             _replay(operation, answers, self._switches),
                             operation.proposal in proposals)
            for operation, answers in zip(self._operations, world.answers))


def _agrees_with_log(operation: Operation, end: Call | OperationEnd,
                     is_in_log: bool) -> bool:
    """Returns whether the result that an operator got agrees with the log."""
    if end == OperationEnd(''):
        return is_in_log == (operation.verb == 'approve')
    if end in (OperationEnd('ChangeRaceError'), OperationEnd('ConflictError')):
        return not is_in_log
    return True


def _with_answer(world: World, index: int, answer: Answer) -> World:
    answers = list(world.answers)
    answers[index] += (_hashable(answer),)
    return world._replace(answers=tuple(answers))


_BOB_APPROVES = Operation('approve', 'p1', 'bob')
RACES = {
    'one proposal approved twice': (
        (_BOB_APPROVES, Operation('approve', 'p1', 'carol')), {
            'p1': 'muscat-a'
        }),
    'approval against rejection': (
        (_BOB_APPROVES, Operation('reject', 'p1', 'carol')), {
            'p1': 'muscat-a'
        }),
    'two proposals': ((_BOB_APPROVES, Operation('approve', 'p2', 'carol')), {
        'p1': 'muscat-a',
        'p2': 'sohar-a'
    }),
    'two proposals on one zone': (
        (_BOB_APPROVES, Operation('approve', 'p2', 'carol')), {
            'p1': 'muscat-a',
            'p2': 'muscat-a'
        }),
}


def case(name: str,
         faults: int,
         removed: str = '',
         switches: Switches = Switches()) -> checker.Case:
    """Returns the case of one race."""
    operations, zones = RACES[name]
    model = Model(operations, zones, faults, switches)
    return checker.Case(
        f'version order: {name}', removed,
        minicheck.Protocol(name=name,
                           candidate=False,
                           fields=World._fields,
                           initial=tuple(model.initial),
                           transitions=model.transitions,
                           invariants={'consistent log': model.is_consistent}))


def cases() -> list[checker.Case]:
    """Returns the full specifications and their variants."""
    # Nobody reads the log of the checker, and injected faults would fill it.
    logging.getLogger('figdrum').setLevel(logging.CRITICAL)
    full = [case(name, 2) for name in RACES]
    variants = [
        case('two proposals', 0, 'conditional writes',
             Switches(conditional=False)),
        case('approval against rejection', 1, 'intent', Switches(intent=False)),
    ]
    return full + variants
