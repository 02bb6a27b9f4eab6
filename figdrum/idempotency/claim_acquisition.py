"""The executor's walk through the members that must know its claim.

Explanation
===========

The executor asks the members one by one in rendezvous order of the key. The
walk succeeds at the second mature grant. A member that is lost, does not
answer, restarted or was paused counts as lost; with two lost ones before the
second mature grant both copies of an earlier claim may be gone, and the
outcome of the key is uncertain.

Two walks for one key meet at a member, because both follow one nested order,
every claim that succeeded is kept by the first two members that answered, and
a walk passes over at most one member. `spec/claims.py` checks it.

Examples
========

>>> walk = ClaimAcquisition(('a', 'b', 'c'), frozenset())
>>> walk.start()
Ask(member='a')
>>> walk.on_verdict('a', claim_registry.Verdict.GRANTED_MATURE)
Ask(member='b')
>>> walk.on_verdict('b', claim_registry.Verdict.GRANTED_MATURE)
Won()
"""

import collections.abc
import typing

from figdrum.idempotency import claim_registry
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.routing import rendezvous

REQUIRED_COPIES = 2


class SendClaim(typing.NamedTuple):
    """Send the claim to `member` and wait for its reply or a timeout."""
    member: str


class Acquired(typing.NamedTuple):
    """The key is this executor's."""


class ClaimedByOther(typing.NamedTuple):
    """Another executor's claim came first; it knows what became of it."""
    executor: claim_registry.Executor


class Uncertain(typing.NamedTuple):
    """An earlier claim may have been lost; the request must not run."""


class StaleList(typing.NamedTuple):
    """A member knows a newer list; fetch it and walk again."""
    list_version: int


AcquisitionStep = SendClaim | Acquired | ClaimedByOther | Uncertain | StaleList


class AcquisitionRules(typing.NamedTuple):
    """Switches that let the specification leave a rule out.

    Attributes:
      copies: Mature grants that a walk needs.
      count_lost: Two members without a reliable answer end the walk.
      amnesic_is_lost: A restarted or paused member counts as lost.
      skip_new: A newly joined member does not count as mature.
      copies_at_end: A walk that passed over a member needs two grants.
    """
    copies: int = REQUIRED_COPIES
    count_lost: bool = True
    amnesic_is_lost: bool = True
    skip_new: bool = True
    copies_at_end: bool = True


ALL_RULES = AcquisitionRules()


class AcquisitionProgress(typing.NamedTuple):
    """How far a walk has come.

    Attributes:
      position: Index of the member being asked.
      mature: Grants that count as mature.
      granted: All grants.
      lost: Members without a reliable answer.
    """
    position: int = -1
    mature: int = 0
    granted: int = 0
    lost: int = 0


def claim_order(customer: str, key: str, members: service_list.ServiceList,
                lost: collections.abc.Set[str]) -> tuple[str, ...]:
    """Returns the names to ask, lost ones included, in order of the key.

    Args:
      customer: Customer, part of the key.
      key: Idempotency key.
      members: The service's list.
      lost: Names lost within the key lifetime, as first seen here.
    """
    names = {m.name for m in members.routable()}.union(lost)
    return tuple(
        rendezvous.order(claim_registry.rendezvous_key(customer, key), names))


def count_reply(progress: AcquisitionProgress,
                verdict: claim_registry.Verdict | None,
                rules: AcquisitionRules = ALL_RULES) -> AcquisitionProgress:
    """Returns the progress after a grant, or after no answer (None)."""
    if verdict is None:
        return progress._replace(lost=progress.lost + 1)
    mature = verdict is claim_registry.Verdict.GRANTED_MATURE
    amnesic = verdict is claim_registry.Verdict.GRANTED_AMNESIC
    if amnesic:
        mature = not rules.amnesic_is_lost
    elif not mature:
        mature = not rules.skip_new
    return progress._replace(mature=progress.mature + mature,
                             granted=progress.granted + 1,
                             lost=progress.lost +
                             (amnesic and rules.amnesic_is_lost))


def next_step(
    progress: AcquisitionProgress,
    order: tuple[str, ...],
    lost: collections.abc.Set[str],
    rules: AcquisitionRules = ALL_RULES
) -> tuple[AcquisitionProgress, SendClaim | Acquired | Uncertain]:
    """Moves a walk to its next step.

    Args:
      progress: How far it has come.
      order: All names in rendezvous order of the key.
      lost: Those of them that are known to be lost.
      rules: Rules in force.
    """
    while True:
        if rules.count_lost and progress.lost >= REQUIRED_COPIES:
            return progress, Uncertain()
        if progress.mature >= rules.copies:
            return progress, Acquired()
        progress = progress._replace(position=progress.position + 1)
        if progress.position >= len(order):
            enough = progress.granted >= REQUIRED_COPIES or not progress.lost
            if rules.copies_at_end and not enough:
                return progress, Uncertain()
            return progress, Acquired()
        member = order[progress.position]
        if member not in lost:
            return progress, SendClaim(member)
        progress = count_reply(progress, None, rules)


class ClaimAcquisition:
    """The state of one walk."""

    def __init__(self, order: tuple[str, ...], lost: collections.abc.Set[str]):
        """Makes a walk that has not started.

        Args:
          order: All names in rendezvous order of the key; see `claim_order`.
          lost: Those of them that are known to be lost.
        """
        self._order = order
        self._lost = lost
        self._progress = AcquisitionProgress()

    def start(self) -> AcquisitionStep:
        """Returns the first step."""
        return self._advance(self._progress)

    def on_verdict(
        self,
        member: str,
        verdict: claim_registry.Verdict,
        executor: claim_registry.Executor = claim_registry.Executor('', 0),
        list_version: int = 0,
    ) -> AcquisitionStep | None:
        """Takes a member's reply; returns the next step.

        A reply of a member that is not being asked is ignored (None).
        """
        if not self._is_current(member):
            return None
        if verdict is claim_registry.Verdict.TAKEN:
            return ClaimedByOther(executor)
        if verdict is claim_registry.Verdict.STALE_LIST:
            return StaleList(list_version)
        if verdict is claim_registry.Verdict.FULL:
            return Uncertain()
        return self._advance(count_reply(self._progress, verdict))

    def on_reply(self, reply: datagram.ClaimReply) -> AcquisitionStep | None:
        """Takes a reply as it came; see `on_verdict`.

        Raises:
          ValueError: if the verdict is unknown.
        """
        return self.on_verdict(
            reply.member, claim_registry.Verdict(reply.verdict),
            claim_registry.Executor(reply.executor, reply.incarnation),
            reply.list_version)

    def on_timeout(self, member: str) -> AcquisitionStep | None:
        """Counts a member that did not answer as lost."""
        if not self._is_current(member):
            return None
        return self._advance(count_reply(self._progress, None))

    def _advance(self, progress: AcquisitionProgress) -> AcquisitionStep:
        self._progress, step = next_step(progress, self._order, self._lost)
        return step

    def _is_current(self, member: str) -> bool:
        position = self._progress.position
        return (0 <= position < len(self._order) and
                self._order[position] == member)
