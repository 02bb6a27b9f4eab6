"""Tests of conditional updates under faults of the platform."""

import random

import pytest
from twisted.internet import task

from figdrum.balancer import reactor_timers
from figdrum.core import errors
from figdrum.membership import updates
from figdrum.object_api import memory_store


class _Platform:
    """A memory store in virtual time."""

    def __init__(self):
        self.clock = task.Clock()
        self.timers = reactor_timers.ReactorTimers(self.clock)
        self.store = memory_store.MemoryStore(self.timers)

    def updater(self):
        """Returns an updater of the object 'k'."""
        return updates.ObjectUpdater(self.store, self.timers, 'k',
                                     random.Random(1))

    def value(self):
        """Returns the value of 'k'."""
        return self.store.get('k').result.value


def _adding_word(word):

    def edit(value, version):
        del version
        words = value.split() if value else []
        return None if word in words else ' '.join(sorted(words + [word]))

    return edit


@pytest.mark.parametrize('seed', range(20))
def test_racing_updates_all_take_effect(seed):
    """Guards against an update that overwrites another one if responses are
    lost and calls or their responses are delayed."""
    rng = random.Random(seed)
    platform = _Platform()
    done = []
    words = [f'w{i:02}' for i in range(12)]
    for word in words:
        updater = platform.updater()
        updater.retry_until_done(lambda updater=updater, word=word: updater.
                                 update(_adding_word(word))).addCallback(
                                     done.append)
    for _ in range(4000):
        platform.store.delay_ms = rng.choice((0, 5, 300))
        platform.store.effect_delay_ms = rng.choice((0, 5, 300))
        platform.store.lose_next_responses = rng.choice((0, 0, 0, 1))
        platform.clock.advance(0.02)
        if len(done) == len(words):
            break
    platform.store.delay_ms = platform.store.effect_delay_ms = 0
    assert platform.value().split() == words
    assert len(done) == len(words)


def test_retries_until_the_end_of_an_outage():
    """Guards against giving up, or retrying without a delay, in an outage."""
    platform = _Platform()
    platform.store.down = True
    updater = platform.updater()
    done = updater.retry_until_done(lambda: updater.update(_adding_word('a')))
    platform.clock.pump([0.1] * 600)
    assert not done.called
    assert platform.store.calls['get'] < 40
    platform.store.down = False
    platform.clock.advance(5)
    assert done.called
    assert platform.value() == 'a'


def test_stop_ends_the_retries():
    """Guards against a process that cannot exit during an outage."""
    platform = _Platform()
    platform.store.down = True
    updater = platform.updater()
    done = updater.retry_until_done(lambda: updater.update(_adding_word('a')))
    updater.stop()
    platform.clock.advance(5)
    assert done.result is None
    assert not platform.clock.getDelayedCalls()


def test_update_fails_after_three_lost_responses():
    """Guards against endless writes to a platform that answers none."""
    platform = _Platform()
    platform.store.lose_next_responses = 100
    counter = iter(range(100))
    failed = platform.updater().update(
        lambda value, version: str(next(counter)))
    assert failed.result.check(errors.StoreError)
    assert platform.store.calls['put'] == 3
    failed.addErrback(lambda _: None)
