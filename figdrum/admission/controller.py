"""Joins warm-up, limits, shedding and slots into one verdict.

Explanation
===========

The owner asks `can_admit` before it takes a new flow; the answer changes
nothing, and `on_flow_admitted` records what was taken. Requests of held flows are
offered to the slot queue and start when a slot is free and the target's rate
allows.

Examples
========

>>> controller = AdmissionController('a', Capacity(1, 100, 4, 2, 20))
>>> controller.on_members(0, ('a', 'b'))
>>> controller.set_terms_lookup(lambda customer: Terms(1, shares.Limits(flows=1)))
>>> controller.can_admit(0, 'al-sahil')
True
>>> controller.on_flow_admitted(0, 'al-sahil')
>>> controller.can_admit(0, 'al-sahil')
False

References
==========

docs/design.md, section 5.6.
"""

import collections
import collections.abc
import enum
import typing

from figdrum.admission import retry_budget
from figdrum.admission import shares
from figdrum.admission import shedding
from figdrum.admission import slots
from figdrum.admission import warmup
from figdrum.core import ids
from figdrum.ownership import admission_check


class Capacity(typing.NamedTuple):
    """What the target bears, from the agent's settings.

    Attributes:
      slots: Requests in progress at once.
      connections: Flows held at once.
      queue: Requests that wait for a slot.
      cold_rate: Starts a second of a cold target.
      full_rate: Starts a second of a warm target.
    """
    slots: int
    connections: int
    queue: int
    cold_rate: float
    full_rate: float


class Terms(typing.NamedTuple):
    """A customer's contract as far as admission reads it."""
    rank: int = shedding.LAST_RANK
    limits: shares.Limits = shares.Limits()


TermsLookup = collections.abc.Callable[[str], Terms | None]
"""Returns a customer's terms, or None for a customer without contract."""


class Denial(enum.Enum):
    """Why a request was not taken."""
    FULL = 'full'
    TOO_LATE = 'too-late'
    LIMIT = 'limit'
    SHED = 'shed'


class Start(typing.NamedTuple):
    """A request that starts now."""
    name: collections.abc.Hashable


class RequestOffer(typing.NamedTuple):
    """Result of `AdmissionController.offer`.

    Attributes:
      denial: Why the request was not taken, or None.
      displaced: Name of a waiting request that lost its place, or None.
    """
    denial: Denial | None
    displaced: collections.abc.Hashable | None = None


class AdmissionController(admission_check.AdmissionCheck):
    """Decides what the target beside this agent may get.

    Args:
      name: This agent's name.
      capacity: The target's capacity.

    Attributes:
      flows_stopped: True once no new flow is taken.
      requests_stopped: True once no new request is taken.
      target_down: True while the target does not answer.
    """

    def __init__(self, name: str, capacity: Capacity):
        self._name = name
        self._capacity = capacity
        self._names: tuple[str, ...] = (name,)
        self._terms: TermsLookup = lambda customer: Terms()
        self._flows: collections.Counter[str] = collections.Counter()
        self._requests: dict[collections.abc.Hashable, str] = {}
        self._per_customer: collections.Counter[str] = collections.Counter()
        self._buckets: dict[str, shares.TokenBucket] = {}
        self.warmup = warmup.Warmup(capacity.cold_rate, capacity.full_rate)
        self.slots = slots.SlotQueue(capacity.slots, capacity.queue)
        self.retries = retry_budget.RetryBudget()
        self.flows_stopped = False
        self.requests_stopped = False
        self.target_down = False

    @property
    def utilisation(self) -> float:
        """The larger of the flows' and the requests' share of capacity."""
        flows = self._flows.total() / max(1, self._capacity.connections)
        return max(flows, self.slots.utilisation)

    @property
    def flows(self) -> int:
        """Flows held."""
        return self._flows.total()

    def on_members(self, now_ms: int,
                   names: collections.abc.Iterable[str]) -> None:
        """Takes the names of the admitting members of the service."""
        self._names = tuple(sorted(names))
        for customer, bucket in self._buckets.items():
            bucket.set_rate(now_ms, self._share(customer).new_flows or 0)

    def set_terms_lookup(self, terms: TermsLookup) -> None:
        """Takes a function from a customer to its terms."""
        self._terms = terms

    def terms(self, customer: str) -> Terms | None:
        """Returns the terms of `customer`, or None without a contract."""
        return self._terms(customer)

    def can_admit(self, now_ms: int, customer: ids.CustomerId) -> bool:
        """Returns True if a new flow of `customer` may be taken now."""
        terms = self._terms(customer)
        if self.flows_stopped or self.target_down or terms is None:
            return False
        if not shedding.admits(terms.rank, self.utilisation):
            return False
        limits = self._share(customer)
        if limits.flows is not None and self._flows[customer] >= limits.flows:
            return False
        bucket = self._bucket(now_ms, customer, limits)
        if bucket is not None and not bucket.has_token(now_ms):
            return False
        return self.warmup.can_admit_flow(now_ms)

    def on_flow_admitted(self, now_ms: int, customer: str) -> None:
        """Records a flow that was admitted as new."""
        self.on_flow_taken_over(customer)
        bucket = self._bucket(now_ms, customer, self._share(customer))
        if bucket is not None:
            bucket.take(now_ms)
        self.warmup.record_flow(now_ms)

    def on_flow_taken_over(self, customer: str) -> None:
        """Records a flow that another member handed over."""
        self._flows[customer] += 1

    def on_flow_ended(self, customer: str) -> None:
        """Records the end of a held flow."""
        if self._flows[customer] > 0:
            self._flows[customer] -= 1

    def offer(self,
              now_ms: int,
              name: collections.abc.Hashable,
              customer: str,
              deadline_at_ms: int,
              background: bool = False) -> RequestOffer:
        """Takes a request into the slot queue or says why not.

        Args:
          now_ms: Time.
          name: Identifies the request.
          customer: Its customer.
          deadline_at_ms: Time by which its answer is of use.
          background: True for the agent's own polling, which has the last rank
            and no part in the customer's limit.
        """
        terms = self._terms(customer)
        if self.requests_stopped or terms is None:
            return RequestOffer(Denial.LIMIT)
        rank = shedding.LAST_RANK if background else terms.rank
        limit = None if background else self._share(customer).requests
        if limit is not None and self._per_customer[customer] >= limit:
            return RequestOffer(Denial.LIMIT)
        if not shedding.admits(rank, self.slots.utilisation):
            return RequestOffer(Denial.SHED)
        result = self.slots.offer(now_ms,
                                  slots.Ticket(name, rank, deadline_at_ms),
                                  self.warmup.expected_run_ms, self.warmup.rate)
        if result.verdict is not slots.Verdict.QUEUED:
            return RequestOffer(Denial(result.verdict.value))
        self.retries.request(now_ms)
        if not background:
            self._requests[name] = customer
            self._per_customer[customer] += 1
        if result.displaced is None:
            return RequestOffer(None)
        self._forget(result.displaced.name)
        return RequestOffer(None, result.displaced.name)

    def start_next(self, now_ms: int) -> Start | None:
        """Starts a waiting request if a slot and the rate allow one."""
        if not self.warmup.can_start(now_ms):
            return None
        ticket = self.slots.pop(now_ms)
        if ticket is None:
            return None
        self.warmup.try_start(now_ms)
        return Start(ticket.name)

    def next_start_ms(self, now_ms: int) -> int | None:
        """Returns when to call `start_next` again, or None without need."""
        if not self.slots.waiting:
            return None
        return self.warmup.next_start_ms(now_ms)

    def pop_expired(self, now_ms: int) -> tuple[collections.abc.Hashable, ...]:
        """Removes and returns waiting requests that are too late to start."""
        late = self.slots.pop_expired(now_ms, self.warmup.expected_run_ms)
        for ticket in late:
            self._forget(ticket.name)
        return tuple(ticket.name for ticket in late)

    def on_request_finished(self, now_ms: int, name: collections.abc.Hashable,
                            ok: bool, latency_ms: int) -> None:
        """Records the end of a started request."""
        self.slots.finish(name)
        self._forget(name)
        self.warmup.record_completion(now_ms, ok, latency_ms)

    def on_request_cancelled(self, name: collections.abc.Hashable) -> None:
        """Removes a waiting request that nobody needs any more."""
        if self.slots.cancel(name):
            self._forget(name)

    def _forget(self, name: collections.abc.Hashable) -> None:
        customer = self._requests.pop(name, None)
        if customer is not None:
            self._per_customer[customer] -= 1

    def _share(self, customer: str) -> shares.Limits:
        terms = self._terms(customer) or Terms()
        return shares.share_of(terms.limits, self._names, self._name)

    def _bucket(self, now_ms: int, customer: str,
                limits: shares.Limits) -> shares.TokenBucket | None:
        if limits.new_flows is None:
            self._buckets.pop(customer, None)
            return None
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = shares.TokenBucket(now_ms, limits.new_flows)
            self._buckets[customer] = bucket
        bucket.set_rate(now_ms, limits.new_flows)
        return bucket
