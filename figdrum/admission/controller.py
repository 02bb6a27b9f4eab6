"""Admission controller: combines warm-up, limits, shedding and slots.

Explanation
===========

The owner calls `can_admit` before it admits a new flow. This call has no side
effect; `on_flow_admitted` records an admitted flow. Requests of held flows are
offered to the slot queue and start when a slot is free and the rate of starts
is below its limit.

Examples
========

>>> controller = AdmissionController('a', Capacity(1, 100, 4, 2, 20))
>>> controller.on_members(0, ('a', 'b'))
>>> controller.set_terms_lookup(
...     lambda customer: Terms(1, shares.Limits(flows=1)))
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
    """Capacity of the target, from the agent's settings.

    Attributes:
      slots: Maximum number of requests in progress.
      connections: Maximum number of flows held.
      queue: Maximum number of requests that wait for a slot.
      cold_rate: Maximum starts per second at a cold target.
      full_rate: Maximum starts per second at a warm target.
    """
    slots: int
    connections: int
    queue: int
    cold_rate: float
    full_rate: float


class Terms(typing.NamedTuple):
    """The part of a customer's contract that admission control uses.

    Attributes:
      rank: Contract rank; rank 1 is shed last.
      limits: The customer's limits for the service.
    """
    rank: int = shedding.LAST_RANK
    limits: shares.Limits = shares.Limits()


TermsLookup = collections.abc.Callable[[str], Terms | None]
"""Returns a customer's terms, or None for a customer without a contract."""


class Denial(enum.Enum):
    """Why a request was not queued.

    `FULL` and `TOO_LATE` are those of `slots.OfferOutcome`; `LIMIT` is the
    customer's limit, a missing contract or a stopped agent; `SHED` is load
    shedding by rank.
    """
    FULL = 'full'
    TOO_LATE = 'too-late'
    LIMIT = 'limit'
    SHED = 'shed'


class StartedRequest(typing.NamedTuple):
    """A request that has got a slot; `name` is the name that was offered."""
    name: collections.abc.Hashable


class RequestOffer(typing.NamedTuple):
    """Result of `AdmissionController.offer`.

    Attributes:
      denial: Why the request was not queued, or None if it was.
      displaced: Name of a waiting request that was removed from the queue for
        this one, or None.
    """
    denial: Denial | None
    displaced: collections.abc.Hashable | None = None


class AdmissionController(admission_check.AdmissionCheck):
    """Limits the flows and requests that this agent's target receives.

    Args:
      name: This agent's name.
      capacity: The target's capacity.

    Attributes:
      warmup: Limits the rate of starts and of new flows.
      slots: Queue of requests that wait for a slot.
      retries: Limits the retries of requests.
      flows_stopped: True once no new flow is admitted.
      requests_stopped: True once no new request is queued.
      target_down: True while the target does not respond.
    """

    def __init__(self, name: str, capacity: Capacity):
        self._name = name
        self._capacity = capacity
        self._names: tuple[str, ...] = (name,)
        self._terms: TermsLookup = lambda customer: Terms()
        self._flows: collections.Counter[str] = collections.Counter()
        self._requests: dict[collections.abc.Hashable, str] = {}
        self._requests_per_customer: collections.Counter[
            str] = collections.Counter()
        self._limiters: dict[str, shares.RateLimiter] = {}
        self.warmup = warmup.Warmup(capacity.cold_rate, capacity.full_rate)
        self.slots = slots.SlotQueue(capacity.slots, capacity.queue)
        self.retries = retry_budget.RetryBudget()
        self.flows_stopped = False
        self.requests_stopped = False
        self.target_down = False

    @property
    def utilisation(self) -> float:
        """The larger of the fractions of connections and of slots in use."""
        flows = self._flows.total() / max(1, self._capacity.connections)
        return max(flows, self.slots.utilisation)

    @property
    def flows(self) -> int:
        """Number of flows held."""
        return self._flows.total()

    def on_members(self, now_ms: int,
                   names: collections.abc.Iterable[str]) -> None:
        """Sets the members among which customers' limits are divided.

        Args:
          now_ms: Current time.
          names: Names of the members of the service that admit flows.
        """
        self._names = tuple(sorted(names))
        for customer, limiter in self._limiters.items():
            limiter.set_rate(now_ms,
                             self._member_limits(customer).new_flows or 0)

    def set_terms_lookup(self, terms: TermsLookup) -> None:
        """Sets the function that returns a customer's terms."""
        self._terms = terms

    def terms(self, customer: str) -> Terms | None:
        """Returns the terms of `customer`, or None if it has no contract."""
        return self._terms(customer)

    def can_admit(self, now_ms: int, customer: ids.CustomerId) -> bool:
        """Returns True if a new flow of `customer` can be admitted now."""
        terms = self._terms(customer)
        if self.flows_stopped or self.target_down or terms is None:
            return False
        if not shedding.admits(terms.rank, self.utilisation):
            return False
        limits = self._member_limits(customer)
        if limits.flows is not None and self._flows[customer] >= limits.flows:
            return False
        limiter = self._limiter(now_ms, customer, limits)
        if limiter is not None and not limiter.has_token(now_ms):
            return False
        return self.warmup.can_admit_flow(now_ms)

    def on_flow_admitted(self, now_ms: int, customer: str) -> None:
        """Records a newly admitted flow, which counts towards rate limits."""
        self.on_flow_taken_over(customer)
        limiter = self._limiter(now_ms, customer, self._member_limits(customer))
        if limiter is not None:
            limiter.take(now_ms)
        self.warmup.record_flow(now_ms)

    def on_flow_taken_over(self, customer: str) -> None:
        """Records a flow that another member handed over to this one.

        It counts as a held flow but not towards rate limits of new flows.
        """
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
        """Puts a request into the slot queue or denies it.

        Args:
          now_ms: Current time.
          name: Identifies the request.
          customer: The request's customer.
          deadline_at_ms: Time after which a response is useless.
          background: True for the agent's own polling, which has the last rank
            and does not count towards the customer's limit.
        """
        terms = self._terms(customer)
        if self.requests_stopped or terms is None:
            return RequestOffer(Denial.LIMIT)
        rank = shedding.LAST_RANK if background else terms.rank
        limit = None if background else self._member_limits(customer).requests
        if limit is not None and self._requests_per_customer[customer] >= limit:
            return RequestOffer(Denial.LIMIT)
        if not shedding.admits(rank, self.slots.utilisation):
            return RequestOffer(Denial.SHED)
        result = self.slots.offer(now_ms,
                                  slots.SlotRequest(name, rank, deadline_at_ms),
                                  self.warmup.expected_run_ms, self.warmup.rate)
        if result.outcome is not slots.OfferOutcome.QUEUED:
            return RequestOffer(Denial(result.outcome.value))
        self.retries.record_request(now_ms)
        if not background:
            self._requests[name] = customer
            self._requests_per_customer[customer] += 1
        if result.displaced is None:
            return RequestOffer(None)
        self._forget_request(result.displaced.name)
        return RequestOffer(None, result.displaced.name)

    def start_next(self, now_ms: int) -> StartedRequest | None:
        """Starts the next waiting request if a slot and the rate allow one."""
        if not self.warmup.can_start(now_ms):
            return None
        request = self.slots.pop(now_ms)
        if request is None:
            return None
        self.warmup.try_start(now_ms)
        return StartedRequest(request.name)

    def next_start_ms(self, now_ms: int) -> int | None:
        """Returns when to call `start_next` again, or None if none waits."""
        if not self.slots.waiting:
            return None
        return self.warmup.next_start_ms(now_ms)

    def pop_expired(self, now_ms: int) -> tuple[collections.abc.Hashable, ...]:
        """Removes and returns waiting requests that cannot meet their deadline.
        """
        late = self.slots.pop_expired(now_ms, self.warmup.expected_run_ms)
        for request in late:
            self._forget_request(request.name)
        return tuple(request.name for request in late)

    def on_request_finished(self, now_ms: int, name: collections.abc.Hashable,
                            ok: bool, latency_ms: int) -> None:
        """Records the end of a started request and frees its slot.

        Args:
          now_ms: Current time.
          name: Identifies the request.
          ok: False for an error, a time-out or a broken connection.
          latency_ms: Time from the start to the end.
        """
        self.slots.finish(name)
        self._forget_request(name)
        self.warmup.record_completion(now_ms, ok, latency_ms)

    def on_request_cancelled(self, name: collections.abc.Hashable) -> None:
        """Removes a waiting request whose response is no longer needed."""
        if self.slots.cancel(name):
            self._forget_request(name)

    def _forget_request(self, name: collections.abc.Hashable) -> None:
        customer = self._requests.pop(name, None)
        if customer is not None:
            self._requests_per_customer[customer] -= 1

    def _member_limits(self, customer: str) -> shares.Limits:
        terms = self._terms(customer) or Terms()
        return shares.member_limits(terms.limits, self._names, self._name)

    def _limiter(self, now_ms: int, customer: str,
                 limits: shares.Limits) -> shares.RateLimiter | None:
        if limits.new_flows is None:
            self._limiters.pop(customer, None)
            return None
        limiter = self._limiters.get(customer)
        if limiter is None:
            limiter = shares.RateLimiter(now_ms, limits.new_flows)
            self._limiters[customer] = limiter
        limiter.set_rate(now_ms, limits.new_flows)
        return limiter
