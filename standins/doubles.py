"""Test doubles that disable one mechanism of figdrum.

The features name the mechanism, e.g. `claims`.
"""

# The doubles replace internal methods.
# pylint: disable=protected-access

import contextlib
from unittest import mock

from twisted.internet import defer

from figdrum.admission import warmup
from figdrum.agent import claim_service
from figdrum.agent import core
from figdrum.agent import held_flows
from figdrum.agent import request_handler
from figdrum.coap import codes
from figdrum.contracts import change
from figdrum.contracts import change_log
from figdrum.contracts import state
from figdrum.contracts import verifying_writer
from figdrum.core import states
from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import request_contract
from figdrum.object_api import memory_store
from figdrum.ownership import decision
from figdrum.ownership import owner
from figdrum.routing import suspicion
from figdrum.sync.tests import simulation


class _AnyService(str):
    """Equal to every service."""
    __hash__ = str.__hash__

    def __eq__(self, other):
        return True

    def __ne__(self, other):
        return False


def _view_without_inquiry(self, *args, original=owner.Owner._view, **kwargs):
    view = original(self, *args, **kwargs)
    if view.phase is decision.Phase.INQUIRING:
        view = view._replace(phase=decision.Phase.SETTLED)
    return view._replace(departed_ahead=False)


def _accept_any_service(self, *args, original=owner.Owner.__init__):
    original(self, *args)
    self._service = _AnyService(self._service)


def _ignore_removed_zones(self,
                          members,
                          contracts,
                          original=core.AgentCore.on_replica):
    for zone in contracts.zones_out:
        contracts = state.preview(contracts, change.ZoneIn(zone))
    original(self, members, contracts)


def _refuse_unclaimed(self, ctx):
    self._answer(ctx.number, codes.refusal(states.Refusal.DID_NOT_RUN))


def _answer_oldest(self,
                   number,
                   response,
                   original=request_handler.RequestHandler._answer):
    waiting = self.__dict__.setdefault('waiting', [])
    del number
    original(self, waiting.pop(0), response)


def _record_exchange(self,
                     event,
                     origin,
                     original=request_handler.RequestHandler._context):
    self.__dict__.setdefault('waiting', []).append(event.exchange)
    return original(self, event, origin)


def _drain_without_notice(self):
    self.drain.start(self._env.clock.now_ms())


def _write_unconditionally(self,
                           key,
                           value,
                           if_version,
                           original=memory_store.MemoryStore._write):
    del if_version
    held = self._items.get(key)
    return original(self, key, value, held.version if held else 0)


_REPLACEMENTS = {
    'handover': [(held_flows.HeldFlows, 'offers', lambda self: ())],
    'inquiry': [(owner.Owner, '_view', _view_without_inquiry)],
    'service check': [(owner.Owner, '__init__', _accept_any_service),
                      (request_contract.RequestContractFilter, 'apply',
                       lambda self, ctx: filter.Pass(ctx))],
    'warm-up': [(warmup.Warmup, 'can_start', lambda self, now_ms: True),
                (warmup.Warmup, 'can_admit_flow', lambda self, now_ms: True)],
    'zone check': [(core.AgentCore, 'on_replica', _ignore_removed_zones)],
    'matching': [(request_handler.RequestHandler, '_answer', _answer_oldest),
                 (request_handler.RequestHandler, '_context', _record_exchange)
                ],
    'claimed refusal': [(request_handler.RequestHandler, '_refuse_claimed',
                         _refuse_unclaimed)],
    'claims': [(claim_service.ClaimService, 'acquire',
                lambda self, ctx: defer.succeed(filter.Pass(ctx)))],
    'leave notice': [(core.AgentCore, 'start_drain', _drain_without_notice),
                     (held_flows.HeldFlows, 'stop_requests', lambda self: None)
                    ],
    'wait for requests': [(held_flows.HeldFlows, 'has_open_requests',
                           lambda self: False)],
    'suspicion': [(suspicion.SuspicionTable, 'due_pings', lambda self, now_ms:
                   ())],
    'gossip': [(simulation.Node, '_send', lambda self, peer, message: None)],
    'create-if-absent': [(memory_store.MemoryStore, '_write',
                          _write_unconditionally)],
    'reading back': [
        (verifying_writer, '_is_own_write', lambda *args: False),
        (change_log.ChangeLog, '_find_own_change',
         lambda self, proposal: defer.succeed(None)),
        (change_log.ChangeLog, '_check_not_superseded',
         lambda self, proposal, state: defer.succeed(None)),
    ],
}


def disable_mechanism(mechanism: str) -> contextlib.ExitStack:
    """Disables a mechanism until the returned stack is closed."""
    stack = contextlib.ExitStack()
    for patched, name, double in _REPLACEMENTS[mechanism]:
        stack.enter_context(mock.patch.object(patched, name, double))
    return stack
