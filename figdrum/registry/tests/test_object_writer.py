"""Conditional writes of an object, with lost responses and conflicts."""

import random

import pytest

from figdrum.core import clock
from figdrum.registry import object_writer
from figdrum.registry.tests import fake_store
from figdrum.telemetry import event_log


class _Case:

    def __init__(self):
        self.store = fake_store.FakeStore()
        self.timers = fake_store.ManualTimers()
        self.known = []
        self.held = []
        log = event_log.EventLog('node', clock.ManualClock(), lambda _: True)
        self.registrar = object_writer.ObjectWriter(self.store, 'agents', 'one',
                                                    self.timers, log,
                                                    random.Random(1))

    def stored(self):
        """Returns the stored value, or None."""
        entry = self.store.objects.get(('agents', 'one'))
        return entry and entry.value


@pytest.fixture(name='case')
def _case() -> _Case:
    return _Case()


def test_value_is_created_then_replaced(case):
    case.registrar.save({'state': 'ready'})
    case.registrar.save({'state': 'draining'})
    assert case.stored() == {'state': 'draining'}
    assert case.store.calls['write'] == 2


def test_equal_value_is_not_written(case):
    case.store.put('agents', 'one', {'state': 'ready'})
    case.registrar.load(case.known.append, case.held.append)
    case.registrar.save({'state': 'ready'})
    assert case.known == [{'state': 'ready'}]
    assert not case.store.calls['write']


def test_lost_answer_is_read_back(case):
    case.store.lost = 1
    case.registrar.save({'state': 'ready'})
    case.timers.advance(1_000)
    assert case.stored() == {'state': 'ready'}
    assert case.store.calls['write'] == 1


def test_newest_value_is_written_after_an_outage(case):
    case.store.down = True
    case.registrar.save({'state': 'ready'})
    case.registrar.save({'state': 'draining'})
    case.timers.advance(1_000)
    case.store.down = False
    case.timers.advance(1_000)
    assert case.stored() == {'state': 'draining'}
    assert case.store.calls['write'] == 1


def test_conflict_is_resolved_by_the_object_as_it_is(case):
    case.registrar.save({'state': 'ready'})
    case.store.put('agents', 'one', {'state': 'foreign'})
    case.registrar.save({'state': 'draining'})
    assert case.stored() == {'state': 'draining'}


def test_load_waits_for_the_store(case):
    case.store.put('agents', 'one', {'state': 'ready'})
    case.store.down = True
    case.registrar.load(case.known.append, case.held.append)
    case.store.down = False
    case.timers.advance(1_000)
    assert case.known == [{'state': 'ready'}]


def test_removed_object_is_written_again_when_verified(case):
    case.registrar.save({'state': 'ready'})
    case.store.delete('agents', 'one')
    case.registrar.verify()
    assert case.stored() == {'state': 'ready'}
