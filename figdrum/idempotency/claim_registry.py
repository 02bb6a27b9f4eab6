"""A member's record of which agent executes the request with which key.

Explanation
===========

Before an agent executes a non-idempotent request, it records its claim at two
members of the service. A member answers the first claim of a key with a grant
and later ones of other executors with TAKEN. A grant also tells how complete
the member's record is, that is, whether it proves that no earlier claim exists.

A claim is never withdrawn: a late withdrawal could delete the claim of a later
acquisition by the same executor. An agent that finds a key claimed queries the
executor for the response.

Examples
========

>>> registry = ClaimRegistry('a')
>>> claim = datagram.Claim(1, 'al-sahil', 'm-17', 'b', 2, 3)
>>> registry.on_claim(0, claim, 3, RecordCompleteness.MATURE).verdict
'granted-mature'
>>> registry.on_claim(5, claim._replace(executor='c'), 3,
...                   RecordCompleteness.MATURE).executor
'b'
"""

import collections
import enum
import typing

from figdrum.core import ids
from figdrum.core import limits
from figdrum.messages import datagram

# Longer than EXCHANGE_LIFETIME (247 s, RFC 7252, section 4.8.2) plus the
# longest claim acquisition, on clocks whose rates differ by 1 %.
IDEMPOTENCY_KEY_LIFETIME_MS = limits.IDEMPOTENCY_KEY_LIFETIME_MS
# 5.7 MB at 472 B per claim, see docs/CAPACITY.md.
DEFAULT_CAPACITY = 12_000


class RecordCompleteness(enum.Enum):
    """How complete a member's record of claims is.

    Attributes:
      MATURE: The member has been in the list without a pause for the key
        lifetime, so a claim that it does not have was never made there.
      NEW: It joined under a new name within the key lifetime.
      AMNESIC: It restarted or was paused within the key lifetime and may have
        lost or missed a claim.
    """
    MATURE = 'mature'
    NEW = 'new'
    AMNESIC = 'amnesic'


class Verdict(enum.Enum):
    """A member's reply to a claim."""
    GRANTED_MATURE = 'granted-mature'
    GRANTED_NEW = 'granted-new'
    GRANTED_AMNESIC = 'granted-amnesic'
    TAKEN = 'taken'
    STALE_LIST = 'stale-list'
    FULL = 'full'


_GRANT_BY_COMPLETENESS = {
    RecordCompleteness.MATURE: Verdict.GRANTED_MATURE,
    RecordCompleteness.NEW: Verdict.GRANTED_NEW,
    RecordCompleteness.AMNESIC: Verdict.GRANTED_AMNESIC,
}

GRANTED_VALUES = frozenset(
    verdict.value for verdict in _GRANT_BY_COMPLETENESS.values())


class Executor(typing.NamedTuple):
    """An agent that claims a key, in one incarnation."""
    name: str
    incarnation: int


def rendezvous_key(customer: str, key: str) -> bytes:
    """Returns the bytes that determine the rendezvous order for a key."""
    return f'{customer}\0{key}'.encode()


def evaluate_claim(recorded: Executor | None, claim: datagram.Claim,
                   list_version: int,
                   completeness: RecordCompleteness) -> Verdict:
    """Returns a member's verdict on a claim.

    Args:
      recorded: Executor that the member has on record for the key, or None.
      claim: The claim.
      list_version: Version of the service's list that the member knows.
      completeness: How complete the member's record is.
    """
    if recorded not in (None, Executor(claim.executor, claim.incarnation)):
        return Verdict.TAKEN
    if claim.list_version < list_version and not claim.is_copy:
        return Verdict.STALE_LIST
    return _GRANT_BY_COMPLETENESS[completeness]


class ClaimRegistry:
    """Claims by customer and key, for the key lifetime."""

    def __init__(self,
                 name: ids.AgentName,
                 capacity: int = DEFAULT_CAPACITY,
                 lifetime_ms: int = IDEMPOTENCY_KEY_LIFETIME_MS):
        """Initializes an empty registry.

        Args:
          name: Name of the member that keeps the registry.
          capacity: Maximum number of claims. A full registry grants no new
            claim, because evicting one early could let its request run again.
          lifetime_ms: Time for which a claim is kept.
        """
        self._name = name
        self._capacity = capacity
        self._lifetime_ms = lifetime_ms
        self._claims: collections.OrderedDict[tuple[str, str], tuple[
            Executor, int]] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def on_claim(self, now_ms: int, claim: datagram.Claim, list_version: int,
                 completeness: RecordCompleteness) -> datagram.ClaimReply:
        """Records a claim if it is granted; see `evaluate_claim`.

        Returns:
          The reply to the executor, with the other executor if the key is
          taken.
        """
        self.expire(now_ms)
        key = (claim.customer, claim.key)
        recorded = self._claims[key][0] if key in self._claims else None
        verdict = evaluate_claim(recorded, claim, list_version, completeness)
        if verdict in _GRANT_BY_COMPLETENESS.values():
            if recorded is None and len(self._claims) >= self._capacity:
                verdict = Verdict.FULL
            else:
                recorded = Executor(claim.executor, claim.incarnation)
                self._claims[key] = (recorded, now_ms)
                self._claims.move_to_end(key)
        executor, incarnation = (recorded if verdict is Verdict.TAKEN else
                                 Executor('', 0))
        return datagram.ClaimReply(claim.nonce, self._name, verdict.value,
                                   executor, incarnation, list_version)

    def copies(self, list_version: int) -> list[datagram.Claim]:
        """Returns the copies of all claims that a leaving member sends."""
        return [
            datagram.Claim(0, customer, key, *executor, list_version, True)
            for (customer, key), (executor, _) in self._claims.items()
        ]

    def expire(self, now_ms: int) -> None:
        """Removes claims that are older than the key lifetime."""
        while self._claims:
            key, (_, set_ms) = next(iter(self._claims.items()))
            if now_ms - set_ms < self._lifetime_ms:
                return
            del self._claims[key]
