"""A mirror stays up to date through outages and after lost history."""

import random

import pytest

from figdrum.core import clock
from figdrum.registry import mirror
from figdrum.registry.tests import fake_store
from figdrum.telemetry import event_log


class _Recorder(mirror.Observer):

    def __init__(self):
        self.values = {}
        self.revision = 0
        self.seen = []

    def on_entry(self, name, value):
        self.values[name] = value
        self.seen.append((name, value))

    def on_removed(self, name):
        del self.values[name]

    def on_synced(self, revision):
        self.revision = revision


class _Case:

    def __init__(self):
        self.store = fake_store.FakeStore()
        self.timers = fake_store.ManualTimers()
        self.recorder = _Recorder()
        self.lines = []
        log = event_log.EventLog('node', clock.ManualClock(), self.lines.append)
        self.mirror = mirror.Mirror(self.store, 'config', self.recorder,
                                    self.timers, log, random.Random(1), 0)


@pytest.fixture(name='case')
def _case() -> _Case:
    return _Case()


def test_changes_arrive_in_order(case):
    case.store.put('config', 'main', 1)
    case.mirror.start()
    case.timers.advance(1)
    case.store.put('config', 'main', 2)
    case.store.put('other', 'main', 9)
    case.timers.advance(1)
    case.store.delete('config', 'main')
    case.timers.advance(1)
    assert case.recorder.seen == [('main', 1), ('main', 2)]
    assert not case.recorder.values


def test_change_during_an_outage_is_seen_after_it(case):
    case.mirror.start()
    case.store.down = True
    case.store.cut_watches()
    case.store.put('config', 'main', 1)
    case.timers.advance(5_000)
    case.store.down = False
    case.timers.advance(mirror.MAX_BACKOFF_MS)
    assert case.recorder.values == {'main': 1}
    assert any(b'store lost' in line for line in case.lines)
    assert any(b'store regained' in line for line in case.lines)


def test_lost_history_is_listed_again_with_its_removals(case):
    case.store.put('config', 'old', 1)
    case.mirror.start()
    case.store.watches.clear()
    case.store.delete('config', 'old')
    case.store.put('config', 'new', 2)
    case.store.oldest = case.store.revision
    case.store.watch('config', 1, lambda result: None)
    case.mirror._watch()  # pylint: disable=protected-access
    assert case.recorder.values == {'new': 2}


def test_calls_are_spaced_while_the_store_is_down(case):
    case.store.down = True
    case.mirror.start()
    for _ in range(100):
        case.timers.advance(100)
    # At most one call per half of the longest backoff, and 5 more in the first
    # second.
    assert case.store.calls['list'] <= 5 + 10_000 // (mirror.MAX_BACKOFF_MS //
                                                      2)


def test_unreadable_object_is_logged_and_the_others_hold(case):
    case.store.put('config', 'bad', None)
    case.store.put('config', 'good', 1)
    case.mirror.start()
    assert case.recorder.values == {'good': 1}
    assert any(b'unreadable object' in line for line in case.lines)
