"""Tests of the registry of balancers."""

import random

from twisted.internet import task

from figdrum.balancer import reactor_timers
from figdrum.membership import registry_writer
from figdrum.object_api import memory_store
from figdrum.sync import registry as registry_lib


def _entry(i):
    return registry_lib.Balancer(f'lb-{i}', 'a', ('10.0.0.1', 7200 + i))


class _Zone:
    """One zone's registry in a memory store, in virtual time."""

    def __init__(self):
        self.clock = task.Clock()
        timers = reactor_timers.ReactorTimers(self.clock)
        self.store = memory_store.MemoryStore(timers)
        self.registry = registry_writer.RegistryWriter(self.store, timers, 'a',
                                                       random.Random(1))

    def names(self):
        """Returns the names of the registered balancers."""
        item = self.store.get('balancers/a').result
        found = registry_lib.Registry.from_json('a', item.version, item.value)
        return [balancer.name for balancer in found.balancers]


def test_registers_after_an_outage_and_a_lost_response():
    """Guards against a balancer that stays unregistered after an outage, or is
    registered twice after a lost response."""
    zone = _Zone()
    zone.store.down = True
    zone.registry.register(_entry(1))
    zone.store.down = False
    zone.store.lose_next_responses = 1
    zone.clock.advance(1)
    assert zone.names() == ['lb-1']
    assert zone.store.get('balancers/a').result.version == 1


def test_deregister_keeps_a_restarted_balancer():
    """Guards against a late stop that removes the entry of the restarted
    balancer."""
    zone = _Zone()
    zone.registry.register(_entry(1))
    zone.registry.register(_entry(2)._replace(name='lb-1'))
    zone.registry.deregister(_entry(1))
    assert zone.names() == ['lb-1']
    zone.registry.deregister(_entry(2)._replace(name='lb-1'))
    assert not zone.names()


def test_prunes_only_silent_balancers():
    """Guards against pruning balancers that are heard."""
    zone = _Zone()
    for i in range(3):
        zone.registry.register(_entry(i))
    zone.registry.prune(frozenset({'lb-1', 'lb-9'}))
    assert zone.names() == ['lb-0', 'lb-2']
