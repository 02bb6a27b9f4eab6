"""Tests of the recording and replay of decisions."""

import os
import stat
import typing

import pytest

from figdrum.contracts import change
from figdrum.contracts import contract
from figdrum.contracts import state
from figdrum.core import clock
from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.routing import router
from figdrum.routing import serving
from figdrum.settings import schema
from figdrum.telemetry import replay
from figdrum.telemetry import trace
from figdrum.telemetry import trace_reader
from figdrum.telemetry import values

COAP_GET = b'\x40\x01\x00\x07'
FLOW = ids.FlowKey('10.0.0.1', 4000, '10.9.0.1', 5683)
MEMBER = service_list.Member(ids.AgentName('fieldbook-1'), ('10.0.0.1', 7000),
                             ids.ZoneName('muscat-a'), ids.Incarnation(1),
                             states.MemberState.ACTIVE)


class Load:
    """Dependency of a controller that is not a value."""

    def __init__(self, limit: int):
        self.limit = limit

    def can_admit(self, customer: str) -> bool:
        """Returns whether the name of the customer is below the limit."""
        return len(customer) < self.limit


class Counter:
    """Controller with calls of all kinds that a trace can contain."""
    step = 1

    def __init__(self, name: str, time: clock.Clock):
        self.name = name
        self.total = 0
        self._clock = time

    def on_pong(self, now_ms: int, pong: datagram.Pong,
                load: Load) -> tuple[typing.Any, ...]:
        """Adds `step` to the total if `load` admits the sender."""
        if not load.can_admit(pong.agent) or load.limit > 100:
            return ()
        self.total += self.step
        return (MEMBER, pong, self.total, now_ms, self._clock.now_ms())

    def on_bad(self) -> None:
        """Raises a `ContractError`."""
        raise errors.ContractError('count', self.name, 'always')


class OtherCounter(Counter):
    """Version of the controller with other decisions."""
    step = 2


def record(path: str, limit_bytes: int = 100_000) -> trace.TraceWriter:
    """Records a trace of five steps to `path`."""
    writer = trace.TraceWriter(path, limit_bytes)
    counter = writer.build('counter',
                           Counter,
                           'one',
                           time=clock.ManualClock(70))
    counter.on_pong(10, datagram.Pong(1, 'a'), Load(5))
    counter.on_pong(20, datagram.Pong(2, 'long-name'), Load(5))
    counter.on_pong(30, datagram.Pong(3, 'b'), Load(5))
    with pytest.raises(errors.ContractError):
        counter.on_bad()
    writer.close()
    return writer


def run(path: str, factory: typing.Callable) -> replay.ReplayResult:
    """Replays the trace at `path` with controllers from `factory`."""
    registry = replay.FactoryRegistry()
    registry.register('counter', factory)
    return replay.replay(trace_reader.TraceReader(path).steps(), registry)


@pytest.fixture(name='path')
def fixture_path(tmp_path) -> str:
    """Path of a trace file that does not exist yet."""
    return str(tmp_path / 'x.trace')


def test_same_code_has_the_same_outcome(path):
    """Guards against inputs of a decision that are not recorded."""
    assert record(path).steps == 5
    assert run(path, Counter) == replay.ReplayResult(5, None)


def test_first_difference_is_reported(path):
    """Guards against a changed decision that a replay does not report."""
    record(path)
    found = run(path, OtherCounter)
    assert found.steps == 1
    assert (found.difference.step.step, found.difference.step.now_ms) == (2, 10)


def test_other_questions_are_a_difference(path):
    """Guards against changed calls of a dependency that are not reported."""
    record(path)

    class CounterWithExtraCall(Counter):
        """Version of the controller with an additional call."""

        def on_pong(self, now_ms, pong, load):
            load.can_admit('other')
            return super().on_pong(now_ms, pong, load)

    found = run(path, CounterWithExtraCall)
    assert found.steps == 1 and 'asked' in found.difference.reason


def test_router_replays_with_the_state_it_asked(path):
    """Guards against a replay of a router that needs the real replica,
    contracts or serving gate instead of their recorded results."""
    contracts = state.ContractState.empty().apply(
        change.ContractSet(
            contract.Contract(
                'rider-1', (contract.Grant('rider-1', 'fieldbook', FLOW.dst),),
                (), contract.Limits(9, 9, 9), 1)), 1)
    lists = service_list.ServiceList('fieldbook', 3, (MEMBER,))

    class FreshReplica:
        """Replica whose state is new enough to serve from."""
        can_serve = True

        def is_behind(self, now_ms: int) -> bool:
            """Returns whether the replica is behind."""
            return now_ms > 7_000

    writer = trace.TraceWriter(path)
    packet_router = writer.build('router', router.Router, 'muscat-a',
                                 ('10.0.0.9', 7002),
                                 serving.ServingGate(FreshReplica()))
    action = packet_router.route(5, FLOW.src, FLOW.dst, COAP_GET, contracts,
                                 lambda _: lists)
    assert isinstance(action, router.Forward)
    writer.close()
    registry = replay.FactoryRegistry()
    registry.register('router', 'figdrum.routing.router:Router')
    assert replay.replay(trace_reader.TraceReader(path).steps(),
                         registry) == replay.ReplayResult(2, None)


def test_unknown_controller_is_an_error(path):
    """Guards against a replay that succeeds without running anything."""
    record(path)
    with pytest.raises(errors.TraceError):
        replay.replay(
            trace_reader.TraceReader(path).steps(), replay.FactoryRegistry())


def test_recording_does_not_change_the_result(path):
    """Guards against a recording proxy that alters arguments or results."""
    writer = trace.TraceWriter(path)
    plain = trace.NullTrace().build('counter', Counter, 'one',
                                    clock.ManualClock(70))
    watched = writer.build('counter', Counter, 'one', clock.ManualClock(70))
    args = (10, datagram.Pong(1, 'a'), Load(5))
    assert watched.on_pong(*args) == plain.on_pong(*args)
    assert watched.total == plain.total


def test_size_is_bounded(path):
    """Guards against a recording that fills the disk."""
    writer = record(path, 300)
    assert os.path.getsize(path) <= 300
    assert writer.steps + writer.skipped == 5
    assert run(path, Counter).difference is None


def test_full_disk_ends_the_recording_only():
    """Guards against exceptions when the trace cannot be written."""
    writer = trace.TraceWriter('/dev/full')
    counter = writer.build('counter', Counter, 'one', clock.ManualClock(70))
    pong = datagram.Pong(1, 'a' * 100_000)
    for _ in range(3):
        assert counter.on_pong(10, pong, Load(5)) == ()
    writer.close()
    assert writer.skipped > 0


def test_trace_is_private(path):
    """Guards against a trace file that other users can read."""
    record(path)
    assert stat.S_IMODE(os.stat(path).st_mode) == 0o600


def test_line_cut_by_a_kill_is_left_out(path):
    """Guards against a trace that is rejected for an incomplete last line."""
    record(path)
    with open(path, 'rb+') as file:
        file.truncate(os.path.getsize(path) - 5)
    assert run(path, Counter).steps == 4


@pytest.mark.parametrize('line', [
    'x', '[]', '{}', '{"v":2}', '{"v":1}', '[' * 100_000,
    '{"v":1,"step":"1","controller":"c","method":"m","now_ms":1,"args":[],'
    '"kwargs":{},"asked":[],"actions":0}'
])
def test_bad_line_is_a_trace_error(path, line):
    """Guards against damaged traces that raise unexpected exceptions."""
    with open(path, 'w', encoding='utf-8') as file:
        file.write(line + '\n')
    with pytest.raises(errors.TraceError):
        list(trace_reader.TraceReader(path).steps())


@pytest.mark.parametrize('value', [
    None, True, 3, 1.5, 'x', b'\0\xff', (), (1, ('a', b'b')), [1, (2,)],
    frozenset({'b', 'a'}), {
        'a': 1,
        2: ('x',)
    }, states.Refusal.DID_NOT_RUN, FLOW,
    datagram.Held(FLOW, 'fieldbook-1', 4), MEMBER,
    service_list.ServiceList('fieldbook', 3, (MEMBER,)),
    schema.Statsd(host='127.0.0.1')
])
def test_values_are_read_back(value):
    """Guards against values that change when encoded and decoded."""
    found = values.decode(values.encode(value))
    assert found == value and type(found) is type(value)


@pytest.mark.parametrize('encoded', [{
    'x': 1
}, {
    'b': 1
}, {
    'm': 'eA=='
}, {
    'o': 'Load'
}, {
    'a': 1,
    'b': 2
}, {
    't': ['os:system', ['true']]
}, {
    't': ['figdrum.core.clock:ManualClock', [1]]
}, {
    'e': ['figdrum.core.states:Refusal', 'x']
}, {
    't': ['figdrum.none:X', []]
}])
def test_bad_value_is_a_trace_error(encoded):
    """Guards against encoded values that execute code or raise unexpected
    exceptions."""
    with pytest.raises(errors.TraceError):
        values.decode(encoded)
