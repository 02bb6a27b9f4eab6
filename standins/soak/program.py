"""Runs figdrum's program, with one mechanism switched off if wanted.

`python -m standins.soak.program ROLE [MECHANISM]`. The soak must fail when a
mechanism is off; this shows that it tests the mechanism.
"""

# The mechanisms are replaced through protected members.
# pylint: disable=protected-access

import runpy
import sys
import typing

from figdrum.core import errors
from figdrum.flows import agent_identity
from figdrum.flows import agent_openings
from figdrum.flows import balancer
from figdrum.flows import cold_limit
from figdrum.flows import flow_table
from figdrum.flows import messages
from figdrum.flows import owner_search
from figdrum.flows import routes
from figdrum.flows import segment as segment_module
from figdrum.flows import target
from figdrum.flows import target_view
from figdrum.registry import mirror
from figdrum.registry import object_writer
from figdrum.registry import side_reads
from standins.soak import layout


def _without_owner_search() -> None:

    def reset(self, now_ms, route, segment):
        del now_ms, route
        return self._reset(segment.key, segment.ack, 'trial')

    balancer.Balancer._find_owner = reset


def _without_certainty() -> None:
    """Treats agents that do not answer as agents that do not hold the flow."""
    steps = owner_search.OwnerSearch.steps

    def certain_steps(self, now_ms):
        result = steps(self, now_ms)
        if self.verdict is owner_search.Verdict.UNKNOWN:
            self.verdict = owner_search.Verdict.NO_OWNER
        return result

    owner_search.OwnerSearch.steps = certain_steps


def _without_cold_limit() -> None:
    cold_limit.ColdLimit.try_acquire = lambda self, now_ms: True


def _without_drain() -> None:
    """Lets draining targets get new flows, as ready ones do."""
    refusal = agent_openings.Openings.refusal_reason
    is_ready = target_view.TargetView.is_ready

    def lenient_refusal(self, now_ms, tag):
        state = self._status.state
        if state is target.TargetState.DRAINING:
            self._status.state = target.TargetState.READY
        try:
            return refusal(self, now_ms, tag)
        finally:
            self._status.state = state

    def is_ready_or_draining(self):
        return is_ready(self) or (self.report is not None and self.report.state
                                  == target.TargetState.DRAINING.value)

    agent_openings.Openings.refusal_reason = lenient_refusal
    target_view.TargetView.is_ready = is_ready_or_draining


def _without_zones_out() -> None:
    balancer.Balancer.on_zones_out = lambda *_: []


def _without_version_order() -> None:
    """Accepts the last received knowledge even if its revision is older."""
    on_zones_out = balancer.Balancer.on_zones_out

    def accept_any_revision(self, now_ms, zones, knowledge):
        self._zones_out_revision = -1
        return on_zones_out(self, now_ms, zones, knowledge)

    def compare(self, now_ms, view, heard):
        del view
        if heard.revision < 0:
            return []
        return accept_any_revision(self, now_ms, frozenset(heard.zones_out),
                                   heard.revision)

    balancer.Balancer.on_zones_out = accept_any_revision
    balancer.Balancer._compare_knowledge = compare
    messages.merge_knowledge = lambda known, heard: heard


def _without_read_back() -> None:
    """Treats a write as done if its answer was lost."""
    on_written = object_writer.ObjectWriter._on_written

    def assume_written(self, result):
        if isinstance(result, errors.StoreError):
            self._is_call_pending = False
            self._stored = self._wanted
        else:
            on_written(self, result)

    object_writer.ObjectWriter._on_written = assume_written


def _without_watch_check() -> None:
    mirror.Mirror._check_watch = lambda self: None


def _without_era() -> None:
    """Orders revisions by their number alone."""
    # The module is found only once the adapter's folder is on the path.
    # pylint: disable-next=import-outside-toplevel
    import platform_store
    platform_store._decode_era = lambda response: 0


def _without_numbers() -> None:
    """Tells flows apart by their addresses and ports alone."""
    segment_module.is_near = lambda one, other: True
    flow_table.Flow.is_accepted_with = lambda self, seq: True


def _without_first_contact() -> None:
    """Takes the first list of a restored store for complete."""
    side_reads.FIRST_CONTACT_GRACE_MS = 0


def _without_own_entry() -> None:
    """Takes each agent with the settings of a first start for the first."""
    on_stored_target = agent_identity.Identity.on_stored_target

    def ignore_entry(self, now_ms, identity, is_restored=False, has_left=False):
        if self._is_first_start:
            self._ownership.mark_table_complete(now_ms)
        return on_stored_target(self, now_ms, identity, is_restored, has_left)

    agent_identity.Identity.on_stored_target = ignore_entry


def _without_classes() -> None:
    """Treats all requests alike, whatever their routes state."""
    routes.RequestClass.is_stated = property(lambda self: False)


MECHANISMS: dict[str, typing.Callable[[], None]] = {
    'owner-search': _without_owner_search,
    'certainty': _without_certainty,
    'cold-limit': _without_cold_limit,
    'drain': _without_drain,
    'zones-out': _without_zones_out,
    'version-order': _without_version_order,
    'read-back': _without_read_back,
    'watch-check': _without_watch_check,
    'era': _without_era,
    'numbers': _without_numbers,
    'first-contact': _without_first_contact,
    'own-entry': _without_own_entry,
    'classes': _without_classes,
}


def main() -> None:
    """Switches the mechanism off and runs the program in this process."""
    _, role, *mechanisms = sys.argv
    folder = layout.ROOT / 'platform'
    sys.path.insert(0, str(folder))
    for name in filter(None, mechanisms):
        MECHANISMS[name]()
    sys.argv = [str(folder / 'main.py'), role]
    runpy.run_path(sys.argv[0], run_name='__main__')


if __name__ == '__main__':
    main()
