"""Acquires the claim of an idempotency key from the members of a service.

Explanation
===========

The executor sends its claim to the members one by one, in rendezvous order of
the key. The acquisition succeeds at the second mature grant. A member that is
lost, does not answer, restarted or was paused counts as lost. With two lost
members before the second mature grant, both copies of an earlier claim may be
gone, and the outcome of the key is uncertain.

Two acquisitions of one key always meet at some member: both follow the same
rendezvous order, in which members keep their relative places when others join
or leave, a claim that was acquired is kept by the first two members that
answered, and an acquisition skips at most one member. `spec/claims.py` checks
this.

Examples
========

>>> acquisition = ClaimAcquisition(('a', 'b', 'c'), frozenset())
>>> acquisition.start()
SendClaim(member='a')
>>> acquisition.on_verdict('a', claim_registry.Verdict.GRANTED_MATURE)
SendClaim(member='b')
>>> acquisition.on_verdict('b', claim_registry.Verdict.GRANTED_MATURE)
Acquired()
"""

import collections.abc
import typing

from figdrum.idempotency import claim_registry
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.routing import rendezvous

# Members that have to record a claim before its request runs.
REQUIRED_COPIES = 2


class SendClaim(typing.NamedTuple):
    """Send the claim to `member` and wait for its reply or the timeout."""
    member: str


class Acquired(typing.NamedTuple):
    """The claim is recorded; this executor may run the request."""


class ClaimedByOther(typing.NamedTuple):
    """Another executor claimed the key first; query it for the response."""
    executor: claim_registry.Executor


class Uncertain(typing.NamedTuple):
    """An earlier claim may have been lost; the request must not run."""


class StaleList(typing.NamedTuple):
    """A member knows a newer list; fetch it and start again."""
    list_version: int


AcquisitionStep = SendClaim | Acquired | ClaimedByOther | Uncertain | StaleList


class AcquisitionRules(typing.NamedTuple):
    """Switches by which the specification disables single rules.

    Attributes:
      copies: Number of mature grants that an acquisition needs.
      count_lost: Two members without a reliable answer end the acquisition.
      amnesic_is_lost: A restarted or paused member counts as lost.
      skip_new: A newly joined member does not count as mature.
      copies_at_end: An acquisition that skipped a member and reached the end of
        the order needs two grants of any kind.
    """
    copies: int = REQUIRED_COPIES
    count_lost: bool = True
    amnesic_is_lost: bool = True
    skip_new: bool = True
    copies_at_end: bool = True


ALL_RULES = AcquisitionRules()


class AcquisitionProgress(typing.NamedTuple):
    """Progress of an acquisition.

    Attributes:
      position: Index of the member whose reply is awaited, -1 at the start.
      mature_grants: Number of grants that count as mature.
      grants: Number of all grants.
      lost_members: Number of members without a reliable answer.
    """
    position: int = -1
    mature_grants: int = 0
    grants: int = 0
    lost_members: int = 0


def claim_order(customer: str, key: str, members: service_list.ServiceList,
                lost: collections.abc.Set[str]) -> tuple[str, ...]:
    """Returns the members to ask, with the lost ones, in order of the key.

    Args:
      customer: Customer of the request; keys are separate for each customer.
      key: Idempotency key.
      members: The service's list.
      lost: Names of members lost within the key lifetime, counted from when
        this agent first saw them as lost.

    Returns:
      Names of the members.
    """
    names = {m.name for m in members.routable()}.union(lost)
    return tuple(
        rendezvous.order(claim_registry.rendezvous_key(customer, key), names))


def count_reply(progress: AcquisitionProgress,
                verdict: claim_registry.Verdict | None,
                rules: AcquisitionRules = ALL_RULES) -> AcquisitionProgress:
    """Returns the progress after a grant, or without an answer (None)."""
    if verdict is None:
        return progress._replace(lost_members=progress.lost_members + 1)
    is_mature = verdict is claim_registry.Verdict.GRANTED_MATURE
    is_amnesic = verdict is claim_registry.Verdict.GRANTED_AMNESIC
    if is_amnesic:
        is_mature = not rules.amnesic_is_lost
    elif not is_mature:
        is_mature = not rules.skip_new
    return progress._replace(mature_grants=progress.mature_grants + is_mature,
                             grants=progress.grants + 1,
                             lost_members=progress.lost_members +
                             (is_amnesic and rules.amnesic_is_lost))


def next_step(
    progress: AcquisitionProgress,
    order: tuple[str, ...],
    lost: collections.abc.Set[str],
    rules: AcquisitionRules = ALL_RULES
) -> tuple[AcquisitionProgress, SendClaim | Acquired | Uncertain]:
    """Moves an acquisition to its next step.

    Args:
      progress: Progress before the step.
      order: All names in rendezvous order of the key.
      lost: Those of them that are known to be lost.
      rules: Rules in force.

    Returns:
      The new progress and the step.
    """
    while True:
        if rules.count_lost and progress.lost_members >= REQUIRED_COPIES:
            return progress, Uncertain()
        if progress.mature_grants >= rules.copies:
            return progress, Acquired()
        progress = progress._replace(position=progress.position + 1)
        if progress.position >= len(order):
            has_enough_grants = (progress.grants >= REQUIRED_COPIES or
                                 not progress.lost_members)
            if rules.copies_at_end and not has_enough_grants:
                return progress, Uncertain()
            return progress, Acquired()
        member = order[progress.position]
        if member not in lost:
            return progress, SendClaim(member)
        progress = count_reply(progress, None, rules)


class ClaimAcquisition:
    """State of one acquisition."""

    def __init__(self, order: tuple[str, ...], lost: collections.abc.Set[str]):
        """Initializes an acquisition that has not started.

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
        """Handles a member's reply and returns the next step.

        Returns None for a member whose reply is not awaited.
        """
        if not self._is_awaited(member):
            return None
        if verdict is claim_registry.Verdict.TAKEN:
            return ClaimedByOther(executor)
        if verdict is claim_registry.Verdict.STALE_LIST:
            return StaleList(list_version)
        if verdict is claim_registry.Verdict.FULL:
            return Uncertain()
        return self._advance(count_reply(self._progress, verdict))

    def on_reply(self, reply: datagram.ClaimReply) -> AcquisitionStep | None:
        """Handles a received reply message; see `on_verdict`.

        Raises:
          ValueError: if the verdict is unknown.
        """
        return self.on_verdict(
            reply.member, claim_registry.Verdict(reply.verdict),
            claim_registry.Executor(reply.executor, reply.incarnation),
            reply.list_version)

    def on_timeout(self, member: str) -> AcquisitionStep | None:
        """Counts a member that did not answer as lost."""
        if not self._is_awaited(member):
            return None
        return self._advance(count_reply(self._progress, None))

    def _advance(self, progress: AcquisitionProgress) -> AcquisitionStep:
        self._progress, step = next_step(progress, self._order, self._lost)
        return step

    def _is_awaited(self, member: str) -> bool:
        position = self._progress.position
        return (0 <= position < len(self._order) and
                self._order[position] == member)
