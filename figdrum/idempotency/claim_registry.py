"""A member's record of which agent runs the request with which key.

Explanation
===========

Before an agent runs a non-idempotent request it records its claim at two
members of the service. A member answers the first claim of a key with a grant
and later ones of other executors with TAKEN. A grant also says how far the
member's lack of a record can be relied on.

A claim is never withdrawn: a late withdrawal could delete the claim of a
later walk of the same executor. Whoever meets a claim asks its executor.

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

# Longer than EXCHANGE_LIFETIME (247 s, RFC 7252 section 4.8.2) plus the
# longest walk, on clocks whose rates differ by 1 %.
IDEMPOTENCY_KEY_LIFETIME_MS = limits.IDEMPOTENCY_KEY_LIFETIME_MS
# 5.7 MB at 472 B a claim, see docs/CAPACITY.md.
DEFAULT_CAPACITY = 12_000


class RecordCompleteness(enum.Enum):
    """What a member's lack of a record proves.

    A MATURE member has been in the list and awake for the key lifetime. A NEW
    one joined under a new name. An AMNESIC one restarted or was paused, and
    may have lost or missed a claim.
    """
    MATURE = 'mature'
    NEW = 'new'
    AMNESIC = 'amnesic'


class Verdict(enum.Enum):
    """A member's answer to a claim."""
    GRANTED_MATURE = 'granted-mature'
    GRANTED_NEW = 'granted-new'
    GRANTED_AMNESIC = 'granted-amnesic'
    TAKEN = 'taken'
    STALE_LIST = 'stale-list'
    FULL = 'full'


_GRANTED = {
    RecordCompleteness.MATURE: Verdict.GRANTED_MATURE,
    RecordCompleteness.NEW: Verdict.GRANTED_NEW,
    RecordCompleteness.AMNESIC: Verdict.GRANTED_AMNESIC,
}

GRANTED_VALUES = frozenset(verdict.value for verdict in _GRANTED.values())


class Executor(typing.NamedTuple):
    """An agent that may run a request, in one incarnation."""
    name: str
    incarnation: int


def rendezvous_key(customer: str, key: str) -> bytes:
    """Returns the bytes by which members are ordered for a key."""
    return f'{customer}\0{key}'.encode()


def evaluate_claim(recorded: Executor | None, claim: datagram.Claim,
                   list_version: int,
                   completeness: RecordCompleteness) -> Verdict:
    """Returns a member's verdict on a claim.

    Args:
      recorded: The executor that the member has on record for the key.
      claim: The claim.
      list_version: Version of the service's list that the member knows.
      completeness: What a missing record at this member proves.
    """
    if recorded not in (None, Executor(claim.executor, claim.incarnation)):
        return Verdict.TAKEN
    if claim.list_version < list_version and not claim.is_copy:
        return Verdict.STALE_LIST
    return _GRANTED[completeness]


class ClaimRegistry:
    """Claims by customer and key, for the key lifetime."""

    def __init__(self,
                 name: ids.AgentName,
                 capacity: int = DEFAULT_CAPACITY,
                 lifetime_ms: int = IDEMPOTENCY_KEY_LIFETIME_MS):
        """Makes an empty registry.

        Args:
          name: The member that keeps it.
          capacity: Most claims that it keeps. A full registry grants nothing:
            evicting a claim early could let its request run again.
          lifetime_ms: Time that it keeps a claim.
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
        """Records a claim, or tells which one came first; see `evaluate_claim`."""
        self.expire(now_ms)
        name = (claim.customer, claim.key)
        recorded = self._claims[name][0] if name in self._claims else None
        verdict = evaluate_claim(recorded, claim, list_version, completeness)
        if verdict in _GRANTED.values():
            if recorded is None and len(self._claims) >= self._capacity:
                verdict = Verdict.FULL
            else:
                recorded = Executor(claim.executor, claim.incarnation)
                self._claims[name] = (recorded, now_ms)
                self._claims.move_to_end(name)
        executor, incarnation = (recorded if verdict is Verdict.TAKEN else
                                 Executor('', 0))
        return datagram.ClaimReply(claim.nonce, self._name, verdict.value,
                                   executor, incarnation, list_version)

    def copies(self, list_version: int) -> list[datagram.Claim]:
        """Returns the claims that a leaving member gives to others."""
        return [
            datagram.Claim(0, customer, key, *executor, list_version, True)
            for (customer, key), (executor, _) in self._claims.items()
        ]

    def expire(self, now_ms: int) -> None:
        """Forgets claims that are older than the key lifetime."""
        while self._claims:
            name, (_, set_ms) = next(iter(self._claims.items()))
            if now_ms - set_ms < self._lifetime_ms:
                return
            del self._claims[name]
