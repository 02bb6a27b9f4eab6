"""A start from a bundle, and that bundled code does what the sources do."""

import collections
import importlib
import json
import shutil
import socket
import sys
import types
import typing

import hypothesis
import pytest
from hypothesis import strategies

import built_program
import bundle
import bundle_loader
from substitutes import light_collections
from substitutes import light_enum
from substitutes import light_json
from substitutes import light_random

from figdrum.flows import messages

# Modules that a role must not import before its first packet.
SLOW_MODULES = ('base64', 'collections', 'configparser', 'contextlib', 'enum',
                'functools', 'hashlib', 'json', 'os', 'random', 're',
                'selectors', 'signal', 'socket', 'statistics', 'typing',
                'urllib')


# A name that a substitute lacks makes it import the standard module, which
# costs a start several milliseconds without a failure.
@pytest.mark.parametrize('role', bundle.ROLES)
def test_start_imports_no_slow_module(app, role, tmp_path):
    with built_program.start(app, role, tmp_path,
                             ('-X', 'importtime')) as running:
        assert (running.start_line['event'],
                running.start_line['role']) == ('start', role)
        with socket.create_connection(running.address('listen.ready'),
                                      built_program.TIMEOUT_S) as sock:
            sock.sendall(b'GET /figdrum/ready HTTP/1.1\r\n\r\n')
            status = int(sock.recv(1_000).split()[1])
        assert status == (503 if role == 'balancer' else 200)
    imports = [
        line.rpartition('|')[2].strip()
        for line in running.stderr[0].splitlines()
    ]
    assert 'encodings.utf_8' in imports
    assert not set(imports).intersection(SLOW_MODULES)
    # All modules of the program and its libraries come from the bundle.
    assert not [
        name for name in imports
        if name.startswith(('figdrum', 'substitutes', 'msgpack.e'))
    ]


# Written-out tuples and the extension modules have to work together.
def test_agent_from_a_bundle_answers_a_message(app, tmp_path):
    key = bytes(range(12))
    with built_program.start(app, 'agent', tmp_path) as running:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(('127.0.0.1', 0))
            sock.settimeout(built_program.TIMEOUT_S)
            sock.sendto(messages.encode(messages.Ask(((key, 7),))),
                        running.address('listen.datagramAddr'))
            answers = [messages.decode(sock.recv(4_096)) for _ in range(2)]
    denials = [a for a in answers if isinstance(a, messages.Denial)]
    # Without a target the agent does not know.
    assert denials == [messages.Denial((), ((key, 7),))]


# After an update of the interpreter, byte code of the old one must not be run.
def test_program_runs_without_a_bundle_for_its_interpreter(app, tmp_path):
    other = tmp_path / 'target' / 'app'
    shutil.copytree(app, other, ignore=shutil.ignore_patterns('*.bundle'))
    (other.parent / 'deps').symlink_to(app.parent / 'deps')
    with built_program.start(other, 'agent', tmp_path) as running:
        assert running.start_line['event'] == 'start'


# A module that is needed only later would cost its import of standard modules
# while packets wait.
def test_module_that_a_function_imports_is_in_the_bundle(monkeypatch):
    collector = bundle.Collector(built_program.ROOT / 'platform')
    collector.add('figdrum.core.partial_json')
    collector.add_later()
    name = 'figdrum.core.json_reader'
    assert name in collector.later
    monkeypatch.setattr(sys, 'meta_path', sys.meta_path[:])
    monkeypatch.delitem(sys.modules, name, raising=False)
    bundle_loader.import_later(collector.later)
    module = importlib.import_module(name)
    assert module.skip_space(' 1', 0) == 1
    monkeypatch.delitem(sys.modules, name)


TUPLES = '''
import typing

class Plain(typing.NamedTuple):
    """A tuple."""
    one: int
    two: str = 'b'
    three: tuple[int, ...] = ()

    @property
    def total(self) -> int:
        return self.one + len(self.two)
'''


def _run(code) -> types.SimpleNamespace:
    namespace: dict[str, typing.Any] = {'__name__': 'sample'}
    exec(code, namespace)  # pylint: disable=exec-used
    return types.SimpleNamespace(**namespace)


def test_written_out_tuples_are_like_named_tuples():
    standard = _run(TUPLES).Plain
    written = _run(compile(bundle.transform(TUPLES), 'sample', 'exec')).Plain
    assert written._fields == standard._fields
    for arguments, names in (((1,), {}), ((1, 'x'), {'three': (2,)})):
        one = standard(*arguments, **names)
        other = written(*arguments, **names)
        assert repr(one) == repr(other) and one == other
        assert hash(one) == hash(other) and one.total == other.total
        assert one._asdict() == other._asdict()
        assert one._replace(two='c') == other._replace(two='c')
        assert isinstance(other._replace(two='c'), written)
        assert not hasattr(other, '__dict__')
    for bad in (lambda cls: cls(), lambda cls: cls(1, 'x', (), 4),
                lambda cls: cls(1, four=4)):
        for cls in (standard, written):
            with pytest.raises(TypeError):
                bad(cls)
    for cls in (standard, written):
        with pytest.raises(ValueError):
            cls(1)._replace(four=4)


def test_annotations_their_aliases_and_imports_are_left_out():
    source = ('import collections.abc\nimport typing\n'
              'Call = collections.abc.Callable[[], typing.Any]\n'
              'limit: typing.Any = 3\n'
              'def fn(call: Call, *rest: int) -> list[Call]:\n'
              '    waiting: list[Call] = [call]\n'
              '    return waiting\n')
    text = bundle.ast.unparse(bundle.transform(source))
    assert text == ('limit = 3\n\ndef fn(call, *rest):\n'
                    '    waiting = [call]\n    return waiting')


JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() |
    strategies.floats(allow_nan=False) | strategies.text(),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(
        strategies.text(), inner))


@hypothesis.given(JSON_VALUES)
def test_json_is_that_of_the_standard_module(value):
    text = json.dumps(value)
    assert light_json.dumps(value) == text
    assert light_json.loads(f' {text}\n') == json.loads(text)
    assert light_json.loads(text.encode()) == json.loads(text)


@pytest.mark.parametrize(
    'text', ['', ' ', '{', '[1,', '1 2', '"a', 'nul', '[1] x', '\ufeff1'])
def test_malformed_json_gives_the_error_of_the_standard_module(text):
    errors = []
    for module in (json, light_json):
        with pytest.raises(json.JSONDecodeError) as caught:
            module.loads(text)
        errors.append(str(caught.value))
    assert errors[0] == errors[1]


def test_enumeration_is_like_that_of_the_standard_module():

    class State(light_enum.Enum):
        """States."""
        READY = 'ready'
        LOST = 'lost'

        @property
        def is_ready(self):
            """Whether it is the first one."""
            return self is State.READY

    assert list(State) == [State.READY, State.LOST]
    assert State('lost') is State['LOST'] is State(State.LOST)
    assert State.READY.is_ready and not State.LOST.is_ready
    assert (str(State.LOST), repr(State.LOST)) == ('State.LOST',
                                                   "<State.LOST: 'lost'>")
    for value in ('other', None, [], {}):
        with pytest.raises(ValueError):
            State(value)


ITEMS = strategies.lists(strategies.sampled_from('abc'))
COUNTER_STEPS = {
    'add': lambda one, other: one + other,
    'take off': lambda one, other: one - other,
    'greatest': lambda one, other: one | other,
    'update': lambda one, other: one.update(other) or one,
    'subtract': lambda one, other: one.subtract(other) or one,
    'delete': lambda one, _: one.__delitem__('a') or one,
    'least': lambda one, other: one.__iand__(other),
}


# A use that the substitute did not have ended a balancer at its start.
@hypothesis.given(ITEMS, ITEMS, strategies.sampled_from(sorted(COUNTER_STEPS)))
def test_counter_is_that_of_the_standard_module(items, others, step):
    results = []
    for module in (collections, light_collections):
        one, other = module.Counter(items), module.Counter(others)
        one['a'] += 2
        result = COUNTER_STEPS[step](one, other)
        assert isinstance(result, module.Counter)
        results.append((dict(one), dict(result), result['z'], one == other, one
                        <= other, one.most_common(2), result.total(),
                        repr(result), dict(module.Counter(one, a=1))))
    assert results[0] == results[1]


# Agents spread their writes by these numbers.
def test_random_numbers_are_spread_over_their_range():
    rng = light_random.Random('agent-1 17')
    numbers = [rng.randint(3, 7) for _ in range(1_000)]
    assert set(numbers) == {3, 4, 5, 6, 7}
    assert min(map(numbers.count, range(3, 8))) > 150
    assert all(0.7 <= rng.uniform(0.7, 1.3) < 1.3 for _ in range(100))
    assert sorted(rng.sample(range(9), 9)) == list(range(9))


# Such code works in a checkout and would fail only on the platform.
@pytest.mark.parametrize('source', [
    'import enum\nclass State(enum.Enum):\n    ONE = enum.auto()',
    'names = list(kind.__annotations__)', 'import dataclasses'
])
def test_code_that_a_bundle_would_change_is_refused(source):
    with pytest.raises(bundle.BundleError):
        bundle.transform(source)
