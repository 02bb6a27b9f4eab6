"""Conditional writes of an object, with lost responses and conflicts."""

import random

import pytest

from figdrum.core import clock
from figdrum.registry import object_writer
from figdrum.registry.tests import fake_store
from figdrum.telemetry import event_log


class _Fixture:

    def __init__(self):
        self.store = fake_store.FakeStore()
        self.timers = fake_store.ManualTimers()
        self.loaded_values = []
        self.stored_values = []
        log = event_log.EventLog('node', clock.ManualClock(), lambda _: True)
        self.writer = object_writer.ObjectWriter(self.store, 'agents', 'one',
                                                 self.timers, log,
                                                 random.Random(1))

    def stored(self):
        """Returns the stored value, or None."""
        entry = self.store.objects.get(('agents', 'one'))
        return entry and entry.value


@pytest.fixture(name='fixture')
def _fixture() -> _Fixture:
    return _Fixture()


def test_value_is_created_then_replaced(fixture):
    fixture.writer.save({'state': 'ready'})
    fixture.writer.save({'state': 'draining'})
    assert fixture.stored() == {'state': 'draining'}
    assert fixture.store.calls['write'] == 2


def test_equal_value_is_not_written(fixture):
    fixture.store.put('agents', 'one', {'state': 'ready'})
    fixture.writer.load(fixture.loaded_values.append,
                        fixture.stored_values.append)
    fixture.writer.save({'state': 'ready'})
    assert fixture.loaded_values == [{'state': 'ready'}]
    assert not fixture.store.calls['write']


def test_object_is_read_back_after_a_lost_response(fixture):
    fixture.store.lost_responses = 1
    fixture.writer.save({'state': 'ready'})
    fixture.timers.advance(1_000)
    assert fixture.stored() == {'state': 'ready'}
    assert fixture.store.calls['write'] == 1


def test_newest_value_is_written_after_an_outage(fixture):
    fixture.store.is_down = True
    fixture.writer.save({'state': 'ready'})
    fixture.writer.save({'state': 'draining'})
    fixture.timers.advance(1_000)
    fixture.store.is_down = False
    fixture.timers.advance(1_000)
    assert fixture.stored() == {'state': 'draining'}
    assert fixture.store.calls['write'] == 1


def test_value_is_written_again_after_a_conflict(fixture):
    fixture.writer.save({'state': 'ready'})
    fixture.store.put('agents', 'one', {'state': 'foreign'})
    fixture.writer.save({'state': 'draining'})
    assert fixture.stored() == {'state': 'draining'}


def test_load_is_retried_until_the_store_responds(fixture):
    fixture.store.put('agents', 'one', {'state': 'ready'})
    fixture.store.is_down = True
    fixture.writer.load(fixture.loaded_values.append,
                        fixture.stored_values.append)
    fixture.store.is_down = False
    fixture.timers.advance(1_000)
    assert fixture.loaded_values == [{'state': 'ready'}]


def test_removed_object_is_written_again_when_verified(fixture):
    fixture.writer.save({'state': 'ready'})
    fixture.store.delete('agents', 'one')
    fixture.writer.verify()
    assert fixture.stored() == {'state': 'ready'}


# The answer to a write that was sent before a restore says nothing about the
# restored store.
def test_object_is_read_after_a_call_that_was_pending_when_verified(fixture):
    fixture.store.holds_answers = True
    fixture.writer.save({'state': 'ready'})
    fixture.store.delete('agents', 'one')
    fixture.writer.verify()
    fixture.store.holds_answers = False
    fixture.store.release_answers()
    assert fixture.stored() == {'state': 'ready'}
