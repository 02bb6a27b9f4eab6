"""The log of approved changes, stored in the platform's object API.

Explanation
===========

An operator proposes a change and another one approves it. The approval appends
the change as the object `changes/<n>`, which is created only if it is absent,
so that exactly one of several concurrent approvals gets number n. An approval
consists of three writes, and the response to each can be lost:

1. Intent: a conditional update stores number n in the proposal.
2. Append: `changes/<n>` is created. From here on, the change is in force.
3. Record: a conditional update marks the proposal as approved.

A proposal never leads to two entries: an intent for another number is written
only after the number of the earlier intent was found to be taken by another
change. After a lost response, the writer reads the object back and recognizes
its own value. If an approver stops between steps 2 and 3, the next reader of
the proposal performs step 3.

All methods return Deferreds. They fail with `errors.ContractError` (the input
or a stored object is not valid), `errors.ApprovalError` (the operator or the
status of the proposal does not permit the step), `errors.ChangeRaceError`
(another change was appended first; the reason names it) or `errors.StoreError`
(the platform does not respond; repeating the call with the same arguments is
safe).
"""

import json
import logging
import typing
import uuid

from twisted.internet import defer

from figdrum.contracts import change as change_lib
from figdrum.contracts import contract as contract_lib
from figdrum.contracts import operators
from figdrum.contracts import proposals
from figdrum.contracts import state as state_lib
from figdrum.contracts import verifying_writer
from figdrum.core import clock as clock_lib
from figdrum.core import errors
from figdrum.core import ids
from figdrum.object_api import store as store_lib

SNAPSHOT_INTERVAL_CHANGES = 100
"""Number of changes after which a new snapshot is written."""

MAX_BODY_BYTES = 12_000
"""Maximum size of a body; an entry must fit into a 16 KB control message."""

MAX_PURPOSE_LENGTH = 1_000
"""Maximum length of a purpose in characters; the rest is cut off."""

MAX_RACE_ATTEMPTS = 20

_log = logging.getLogger(__name__)


class LoadedLog(typing.NamedTuple):
    """The state of the log as read from the platform.

    Attributes:
      state: State after the last change that was read.
      revision: Store revision of that change's object, or 0.
      snapshot_change: Number of the last change in the stored snapshot, or 0.
      snapshot_version: Version of the stored snapshot object, or 0.
    """
    state: state_lib.ContractState
    revision: int
    snapshot_change: int
    snapshot_version: int


class AuditRecord(typing.NamedTuple):
    """A proposal together with its change.

    Attributes:
      proposal: The proposal as stored.
      change: The change in the log, or None if the proposal is not approved.
    """
    proposal: proposals.Proposal
    change: change_lib.Change | None


class ChangeLog:
    """Reads and writes the change log through a `Store`."""

    def __init__(self,
                 store: store_lib.Store,
                 clock: clock_lib.Clock,
                 new_id: typing.Callable[[], str] | None = None):
        """Creates a client of the log.

        Args:
          store: Store that holds the log.
          clock: Source of the times of proposals and decisions.
          new_id: Returns the id of a new proposal; by default 12 random
            hexadecimal digits.
        """
        self._store = store
        self._writer = verifying_writer.VerifyingWriter(store)
        self._clock = clock
        self._new_id = new_id or (lambda: uuid.uuid4().hex[:12])

    @defer.inlineCallbacks
    def load(self):
        """Reads the snapshot and all later changes.

        Returns:
          A Deferred of `LoadedLog`.
        """
        item = yield self._store.get(state_lib.SNAPSHOT_KEY)
        loaded = LoadedLog(state_lib.ContractState.empty(), 0, 0, 0)
        if item is not None:
            snapshot = state_lib.Snapshot.from_json(item.value)
            loaded = LoadedLog(snapshot.state, snapshot.revision,
                               snapshot.state.change, item.version)
        return (yield self._read_later_changes(loaded))

    @defer.inlineCallbacks
    def _read_later_changes(self, loaded: LoadedLog):
        """Fires with `loaded` updated by the changes appended since."""
        items, _ = yield self._store.watch(change_lib.PREFIX, loaded.revision,
                                           0)
        state, revision = loaded.state, loaded.revision
        for item in sorted(items, key=lambda item: item.key):
            if change_lib.change_number(item.key) <= state.change:
                continue
            state = _apply_item(state, item)
            revision = item.revision
        return loaded._replace(state=state, revision=revision)

    def propose_zone_out(self, zone: str, proposer: str):
        """Proposes to take `zone` out of service; see `propose`."""
        return self.propose(change_lib.ZoneOut(ids.ZoneName(zone)), proposer)

    def propose_zone_in(self, zone: str, proposer: str):
        """Proposes to put `zone` back into service; see `propose`."""
        return self.propose(change_lib.ZoneIn(ids.ZoneName(zone)), proposer)

    def propose_contract(self, contract: contract_lib.Contract, proposer: str):
        """Proposes to add or replace a contract; see `propose`."""
        return self.propose(change_lib.ContractSet(contract), proposer)

    @defer.inlineCallbacks
    def propose(self,
                body: change_lib.Body,
                proposer: str,
                proposal_id: str = '',
                purpose: str = ''):
        """Stores a proposal.

        Args:
          body: The proposed modification.
          proposer: Operator who proposes it.
          proposal_id: Id of the proposal, by default a new one. A repeated call
            with the same id, body and proposer returns the stored proposal.
          purpose: Reason of the proposal, shown to the approver and in the
            audit trail.

        Returns:
          A Deferred of the `Proposal`.
        """
        operators.check_name('propose', proposer)
        size = len(json.dumps(body.to_dict()).encode())
        if size > MAX_BODY_BYTES:
            raise errors.ContractError(
                'propose', body.subject,
                f'{size} bytes exceed the limit of {MAX_BODY_BYTES}')
        name = proposal_id or self._new_id()
        key = proposals.key(name)
        if proposal_id:
            earlier = yield self._store.get(key)
            if earlier is not None:
                return _check_same_proposal(earlier, body, proposer)
        loaded = yield self.load()
        state_lib.preview(loaded.state, body)
        proposal = proposals.Proposal(name,
                                      proposer,
                                      self._clock.wall_ms(),
                                      loaded.state.version(body.subject),
                                      body,
                                      purpose=purpose[:MAX_PURPOSE_LENGTH])
        try:
            yield self._writer.write(key, proposal.to_json(), 0)
        except errors.ConflictError:
            return _check_same_proposal((yield self._store.get(key)), body,
                                        proposer)
        return proposal

    @defer.inlineCallbacks
    def show(self, proposal_id: str):
        """Reads a proposal and completes its approval if it was interrupted.

        Returns:
          A Deferred of the `Proposal`.
        """
        item, proposal = yield self._read_proposal(proposal_id)
        return (yield self._with_completed_approval(item, proposal))[1]

    @defer.inlineCallbacks
    def list(self, status: proposals.Status | None = None):
        """Reads proposals, oldest first.

        Args:
          status: Status of the proposals to return, by default any.

        Returns:
          A Deferred of a tuple of `Proposal`.
        """
        items, _ = yield self._store.list(proposals.PREFIX)
        found = []
        for item in items:
            proposal = proposals.Proposal.from_json(item.value)
            found.append((yield self._with_completed_approval(item,
                                                              proposal))[1])
        return tuple(
            sorted((p for p in found if status in (None, p.status)),
                   key=lambda p: (p.time_ms, p.id)))

    @defer.inlineCallbacks
    def history(self, subject: str = ''):
        """Reads changes in the order of their numbers.

        Args:
          subject: Subject of the changes to return, by default any; see
            `change.contract_subject` and `change.zone_subject`.

        Returns:
          A Deferred of a tuple of `Change`.
        """
        items, _ = yield self._store.list(change_lib.PREFIX)
        changes = [_read_change(item) for item in items]
        return tuple(c for c in sorted(changes, key=lambda c: c.n)
                     if subject in ('', c.body.subject))

    @defer.inlineCallbacks
    def audit(self):
        """Returns a Deferred of an `AuditRecord` for every proposal."""
        listed = yield self.list()
        changes = {c.proposal: c for c in (yield self.history())}
        return tuple(AuditRecord(p, changes.get(p.id)) for p in listed)

    @defer.inlineCallbacks
    def approve(self, proposal_id: str, approver: str):
        """Approves a proposal and appends its change to the log.

        A repeated call returns the same change.

        Args:
          proposal_id: Id of the proposal.
          approver: Operator who approves it, not the proposer.

        Returns:
          A Deferred of the `Change`.
        """
        operators.check_name('approve', approver)
        loaded = None
        for _ in range(MAX_RACE_ATTEMPTS):
            item, proposal = yield self._read_proposal(proposal_id)
            operators.check_approver(proposal, approver)
            change = yield self._find_own_change(proposal)
            if change is not None:
                break
            _check_undecided('approve', proposal)
            loaded = yield (self.load() if loaded is None else
                            self._read_later_changes(loaded))
            change = yield self._try_append(item, proposal, approver,
                                            loaded.state)
            if change is not None:
                break
        else:
            raise errors.ChangeRaceError(
                'approve', proposal_id,
                f'lost the race against other changes {MAX_RACE_ATTEMPTS} times'
            )
        yield self._complete_approval(change, loaded)
        return change

    @defer.inlineCallbacks
    def _try_append(self, item: store_lib.Item, proposal: proposals.Proposal,
                    approver: str, state: state_lib.ContractState):
        """Writes the intent and appends the change.

        Fires with the appended change, or with None if another operator's write
        came first and the approval has to be retried.
        """
        change = yield self._check_not_superseded(proposal, state)
        if change is not None:
            return change
        n = state.change + 1
        if not (proposal.change == n and proposal.decider == approver):
            proposal = proposal.with_intent(n, approver, self._clock.wall_ms())
            try:
                item = yield self._writer.write(item.key, proposal.to_json(),
                                                item.version)
            except errors.ConflictError:
                return None
        change = proposal.to_change(n)
        try:
            yield self._writer.write(change_lib.key(n), change.to_json(), 0)
        except errors.ConflictError:
            return (yield self._find_own_change(proposal))
        return change

    @defer.inlineCallbacks
    def _check_not_superseded(self, proposal: proposals.Proposal,
                              state: state_lib.ContractState):
        """Fails if the subject changed after the proposal was made.

        Fires with the change of this proposal if it is already part of `state`,
        otherwise with None.
        """
        latest = state.version(proposal.body.subject)
        if latest == proposal.base_version:
            state_lib.preview(state, proposal.body)
            return None
        latest_change = yield self._read_change(latest)
        if latest_change.id == change_lib.change_id_for(proposal.id):
            return latest_change
        raise errors.ChangeRaceError(
            'approve', proposal.id,
            f'{latest_change.describe()} was appended after the proposal, '
            f'which is based on change {proposal.base_version}')

    @defer.inlineCallbacks
    def _read_change(self, n: int):
        """Fires with change `n`, which must be in the log."""
        item = yield self._store.get(change_lib.key(n))
        if item is None:
            raise errors.StoreError(
                'read change', change_lib.key(n),
                'the change is in the log but its object was not found')
        return _read_change(item)

    @defer.inlineCallbacks
    def _find_own_change(self, proposal: proposals.Proposal):
        """Fires with the proposal's change if its intent was carried out.

        Fires with None if there is no intent, the number is not yet taken, or
        another proposal's change has taken it.
        """
        if proposal.change == 0:
            return None
        item = yield self._store.get(change_lib.key(proposal.change))
        if item is None:
            return None
        change = _read_change(item)
        return change if change.id == change_lib.change_id_for(
            proposal.id) else None

    @defer.inlineCallbacks
    def _complete_approval(self, change: change_lib.Change,
                           loaded: LoadedLog | None):
        """Marks the proposal as approved and writes a snapshot if one is due.

        Store errors are only logged: the change is in force once appended, and
        the next reader of the proposal completes the record.
        """
        try:
            item, proposal = yield self._read_proposal(change.proposal)
            yield self._record_approval(item, proposal, change)
            yield self._write_snapshot_if_due(change, loaded)
        except errors.StoreError as exc:
            _log.warning(
                'contracts: change %d is in the log, but its approval or '
                'the snapshot was not recorded: %s', change.n, exc)

    @defer.inlineCallbacks
    def _record_approval(self, item: store_lib.Item,
                         proposal: proposals.Proposal,
                         change: change_lib.Change):
        """Marks the proposal as approved by `change`.

        Fires with the stored (item, proposal).
        """
        if proposal.status is proposals.Status.APPROVED:
            return item, proposal
        proposal = proposal.approved(change)
        try:
            item = yield self._writer.write(item.key, proposal.to_json(),
                                            item.version)
        except errors.ConflictError:
            # Another reader of the proposal recorded the same approval.
            return (yield self._read_proposal(proposal.id))
        return item, proposal

    @defer.inlineCallbacks
    def _with_completed_approval(self, item: store_lib.Item,
                                 proposal: proposals.Proposal):
        """Completes step 3 of an approval that was interrupted after step 2.

        Fires with (item, proposal). If the write fails, the proposal is
        nevertheless returned as approved, because its change is in the log.
        """
        if not proposal.has_intent:
            return item, proposal
        change = yield self._find_own_change(proposal)
        if change is None:
            return item, proposal
        try:
            return (yield self._record_approval(item, proposal, change))
        except errors.StoreError as exc:
            _log.warning(
                'contracts: cannot record the approval of proposal %s: %s',
                proposal.id, exc)
            return item, proposal.approved(change)

    @defer.inlineCallbacks
    def _write_snapshot_if_due(self, change: change_lib.Change,
                               loaded: LoadedLog | None):
        """Writes a snapshot if the last one is too far behind `change`."""
        if (loaded is None or
                change.n - loaded.snapshot_change < SNAPSHOT_INTERVAL_CHANGES):
            return
        loaded = yield self._read_later_changes(loaded)
        snapshot = state_lib.Snapshot(loaded.state, loaded.revision)
        try:
            yield self._writer.write(state_lib.SNAPSHOT_KEY, snapshot.to_json(),
                                     loaded.snapshot_version)
        except errors.ConflictError:
            pass  # Another approver has written a snapshot.
        except errors.ValueTooLargeError as exc:
            _log.warning('contracts: cannot store a snapshot: %s', exc)

    @defer.inlineCallbacks
    def reject(self, proposal_id: str, operator: str, reason: str = ''):
        """Rejects a proposal; a repeated call returns the same proposal.

        Args:
          proposal_id: Id of the proposal.
          operator: Operator who rejects it; the proposer may do so too, to
            withdraw the proposal.
          reason: Reason for the audit trail.

        Returns:
          A Deferred of the rejected `Proposal`.
        """
        operators.check_name('reject', operator)
        for _ in range(MAX_RACE_ATTEMPTS):
            item, proposal = yield self._read_proposal(proposal_id)
            item, proposal = yield self._with_completed_approval(item, proposal)
            if (proposal.status is proposals.Status.REJECTED and
                    proposal.decider == operator):
                return proposal
            _check_undecided('reject', proposal)
            yield self._check_intent_failed(proposal)
            decided = proposal.rejected(operator, reason, self._clock.wall_ms())
            try:
                yield self._writer.write(item.key, decided.to_json(),
                                         item.version)
                return decided
            except errors.ConflictError:
                continue
        raise errors.ChangeRaceError(
            'reject', proposal_id,
            'other operators changed the proposal concurrently')

    @defer.inlineCallbacks
    def _check_intent_failed(self, proposal: proposals.Proposal):
        """Fails if the append that an intent announces may still take effect.

        The append cannot take effect any more once another change has the
        number of the intent.
        """
        if not proposal.has_intent:
            return
        key = change_lib.key(proposal.change)
        item = yield self._store.get(key)
        if item is None:
            raise errors.ApprovalError(
                'reject', proposal.id,
                f'{proposal.decider} is approving it as {key}; it can be '
                'approved again, or rejected once another change has that '
                'number')
        # The append may have taken effect after `reject` looked for it.
        if change_lib.Change.from_json(
                item.value).id == change_lib.change_id_for(proposal.id):
            raise errors.ApprovalError('reject', proposal.id,
                                       f'it was approved as {key}')

    @defer.inlineCallbacks
    def _read_proposal(self, proposal_id: str):
        """Fires with (item, proposal); fails if there is no such proposal."""
        item = yield self._store.get(proposals.key(proposal_id))
        if item is None:
            raise errors.ContractError('read proposal', proposal_id,
                                       'no such proposal')
        return item, proposals.Proposal.from_json(item.value)


def _read_change(item: store_lib.Item) -> change_lib.Change:
    """Returns the change in `item`; an error names the key of the object."""
    try:
        return change_lib.Change.from_json(item.value)
    except errors.ContractError as exc:
        raise errors.ContractError(exc.step, item.key, exc.reason) from exc


def _apply_item(state: state_lib.ContractState,
                item: store_lib.Item) -> state_lib.ContractState:
    """Returns the state after the change in `item`.

    An error names the key of the object.
    """
    change = _read_change(item)
    try:
        return state_lib.fold(state, change)
    except errors.ContractError as exc:
        raise errors.ContractError(exc.step, item.key, exc.reason) from exc


def _check_same_proposal(item: store_lib.Item, body: change_lib.Body,
                         proposer: str) -> proposals.Proposal:
    stored = proposals.Proposal.from_json(item.value)
    if stored.body != body or stored.proposer != proposer:
        raise errors.ContractError(
            'propose', stored.id,
            'the id belongs to a proposal with another body or proposer')
    return stored


def _check_undecided(step: str, proposal: proposals.Proposal) -> None:
    if proposal.status is not proposals.Status.PROPOSED:
        raise errors.ApprovalError(
            step, proposal.id, f'{proposal.decider} {proposal.status.value} it'
            f'{": " + proposal.reason if proposal.reason else ""}')
