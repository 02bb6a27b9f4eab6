"""Acquires idempotency keys and replies to the claims of other agents.

Explanation
===========

A request with an idempotency key runs at this agent only after the agent has
sent claims to the members of the service and acquired the key. A copy of a
request that is in progress here waits for the same response. If another agent
claimed the key, the copy gets the response from that agent. The outcome of a
claimed key is always stored as its response, so that every later copy gets the
same one.

References
==========

docs/design.md, section 5.4.
"""

import collections.abc
import typing

from twisted.internet import defer

from figdrum.agent import agent_view
from figdrum.agent import environment
from figdrum.agent import peer_queries
from figdrum.coap import codes
from figdrum.core import ids
from figdrum.core import states
from figdrum.filters import filter  # pylint: disable=redefined-builtin
from figdrum.filters import request_claim
from figdrum.filters import request_context
from figdrum.idempotency import claim_acquisition
from figdrum.idempotency import claim_registry
from figdrum.idempotency import result_table
from figdrum.membership import service_list
from figdrum.messages import codec
from figdrum.messages import datagram

MAX_WALKS = 4
# A response must fit into one datagram with the other fields of its message.
MAX_ANSWER_BYTES = 60_000
MAX_WAITERS = 64
# A member that does not acknowledge a copy within this time is itself lost.
COPY_TIMEOUT_MS = 5_000

_Key = tuple[str, str]
_REFUSED = codes.refusal(states.Refusal.DID_NOT_RUN)


class ClaimService(request_claim.ClaimProvider):
    """Acquires keys as an executor and grants claims as a member.

    Args:
      own: State of this agent in its service.
      env: The agent's clock, timers, network and metrics.
      asking: Sends queries to other agents.
      answer_ms: Time limit for the reply of a member to a claim, in ms.
      key_ms: Lifetime of claims and stored responses, in ms.
    """

    def __init__(self, own: agent_view.AgentView, env: environment.Environment,
                 asking: peer_queries.PeerQueries, answer_ms: int, key_ms: int):
        self._own = own
        self._clock = env.clock
        self._timers = env.timers
        self._peers = env.peers
        self._metrics = env.metrics
        self._queries = asking
        self._answer_ms = answer_ms
        self._registry = claim_registry.ClaimRegistry(own.name,
                                                      lifetime_ms=key_ms)
        self._results = result_table.ResultTable(lifetime_ms=key_ms)
        self._claimed: dict[int, _Key] = {}
        self._leaving = False
        self._pending_copies = 0
        self._failed_copies = 0
        self._waiters: dict[_Key,
                            list[collections.abc.Callable[[codes.Response],
                                                          None]]] = {}

    def acquire(self, ctx: request_context.RequestContext) -> defer.Deferred:
        key = (ctx.customer, ctx.request.key)
        begun = self._results.begin(self._clock.now_ms(), *key)
        if isinstance(begun, result_table.Done):
            return defer.succeed(filter.Answer(_stored(begun)))
        if isinstance(begun, result_table.Running):
            return self._wait(key, ctx.deadline_at_ms)
        if isinstance(begun, result_table.Full):
            self._metrics.incr('agent.results_full')
            return defer.succeed(
                filter.Answer(request_context.OUTCOME_UNKNOWN_REFUSAL))
        return self._claim(key, ctx)

    def settle(self, number: int, response: codes.Response) -> None:
        """Stores the response of a request that holds a claim."""
        key = self._claimed.pop(number, None)
        if key is not None:
            self._finish(key, response)

    def on_claim(self, address: ids.Address, claim: datagram.Claim) -> None:
        """Replies to the claim of another agent."""
        if not self._own.can_run():
            self._metrics.incr('agent.claim_while_fenced')
            return
        self._registry.expire(self._clock.now_ms())
        known = len(self._registry)
        reply = self._judge(claim)
        self._peers.send(address, codec.encode(reply))
        if self._leaving and len(self._registry) > known:
            for to in self._copy_receivers():
                self.send_copy(to, claim)

    def on_execute(self, address: ids.Address,
                   ask: datagram.AnswerQuery) -> None:
        """Sends the stored response of a key to another agent.

        The reply to a query for a request in progress is sent when the request
        has its response.
        """
        state = self._results.find(ask.customer, ask.key)
        if isinstance(state, result_table.Running):
            waiting = self._waiters.setdefault((ask.customer, ask.key), [])
            if len(waiting) < MAX_WAITERS:
                waiting.append(
                    lambda response: self._reply(address, ask.nonce, response))
            return
        self._reply(address, ask.nonce, _stored(state) if state else None)

    def on_reply(
            self,
            reply: datagram.ClaimReply | datagram.AnswerQueryReply) -> None:
        """Completes the query that `reply` answers."""
        if not self._queries.answer(reply.nonce, reply):
            self._metrics.incr('agent.late_reply')

    def copies(self) -> tuple[tuple[service_list.Member, datagram.Claim], ...]:
        """Starts the transfer of claims from this leaving member.

        From now on a copy of each new claim is sent to other members at once.

        Returns:
          The existing claims, each with a member to send a copy to.
        """
        self._leaving = True
        return tuple(
            (to, claim)
            for claim in self._registry.copies(self._own.members.version)
            for to in self._copy_receivers())

    @property
    def pending_copies(self) -> int:
        """Number of sent copies that are not acknowledged yet."""
        return self._pending_copies

    def send_copy(self, to: service_list.Member, claim: datagram.Claim) -> None:
        """Sends a copy of a claim and repeats it until a reply or a timeout."""
        self._pending_copies += 1

        def done(reply: typing.Any) -> None:
            self._pending_copies -= 1
            if not _is_grant(reply):
                self._failed_copies += 1
                self._metrics.incr('agent.claim_not_given')

        self._queries.ask(
            to.address,
            lambda nonce: claim._replace(nonce=nonce,
                                         list_version=self._own.members.version,
                                         is_copy=True),
            COPY_TIMEOUT_MS).addCallback(done)

    @property
    def failed_copies(self) -> int:
        """Number of copies that a member did not take over.

        If there are any, this member has to be published as lost instead of
        left. Otherwise, after a failure of the other holder of the claim, an
        acquisition of the key would find no copy of the claim.
        """
        return self._failed_copies

    def _copy_receivers(self) -> tuple[service_list.Member, ...]:
        """Returns the members that take over the claims of this leaving one."""
        return tuple(
            m for m in self._own.members.routable() if m.name != self._own.name)

    def expire(self) -> None:
        """Removes claims and responses older than the key lifetime."""
        now_ms = self._clock.now_ms()
        self._registry.expire(now_ms)
        self._results.expire(now_ms)

    @defer.inlineCallbacks
    def _claim(self, key: _Key, ctx: request_context.RequestContext):
        response = request_context.OUTCOME_UNKNOWN_REFUSAL
        won = False
        try:
            step = yield self._walk(key)
            won = isinstance(
                step, claim_acquisition.Acquired) and self._own.can_run()
            if isinstance(step, claim_acquisition.ClaimedByOther):
                response = yield self._ask_executor(key, step.executor,
                                                    ctx.deadline_at_ms)
        finally:
            # The key must not stay in progress after a failure of any kind.
            if not won:
                self._finish(key, response)
        if not won:
            return filter.Answer(response)
        self._claimed[ctx.number] = key
        return filter.Pass(ctx._replace(claimed=True))

    @defer.inlineCallbacks
    def _walk(self, key: _Key):
        for _ in range(MAX_WALKS):
            members = self._own.members
            lost = self._own.lost()
            walk = claim_acquisition.ClaimAcquisition(
                claim_acquisition.claim_order(*key, members, lost), lost)
            step = walk.start()
            while isinstance(step, claim_acquisition.SendClaim):
                reply = yield self._ask(step.member, key, members)
                step = _advance(walk, step.member, reply)
            if not isinstance(step, claim_acquisition.StaleList):
                return step
            self._metrics.incr('agent.stale_walk')
            yield self._own.fetch(step.list_version)
        return claim_acquisition.Uncertain()

    def _ask(self, name: str, key: _Key,
             members: service_list.ServiceList) -> defer.Deferred:

        def make(nonce: int) -> datagram.Claim:
            return datagram.Claim(nonce, *key, self._own.name,
                                  self._own.incarnation, members.version)

        if name == self._own.name:
            return defer.succeed(self._judge(make(0)))
        member = members.find(name)
        if member is None:
            return defer.succeed(None)
        return self._queries.ask(member.address, make, self._answer_ms)

    def _judge(self, claim: datagram.Claim) -> datagram.ClaimReply:
        return self._registry.on_claim(self._clock.now_ms(), claim,
                                       self._own.members.version,
                                       self._own.claim_standing())

    @defer.inlineCallbacks
    def _ask_executor(self, key: _Key, executor: claim_registry.Executor,
                      deadline_at_ms: int):
        member = self._own.members.find(executor.name)
        alive = (member is not None and executor.name != self._own.name and
                 member.incarnation == executor.incarnation and member.state
                 in (states.MemberState.ACTIVE, states.MemberState.DRAINING))
        left_ms = deadline_at_ms - self._clock.now_ms()
        if not alive or left_ms <= 0:
            return request_context.OUTCOME_UNKNOWN_REFUSAL
        reply = yield self._queries.ask(
            member.address,
            lambda nonce: datagram.AnswerQuery(nonce, *key, left_ms), left_ms)
        if (not isinstance(reply, datagram.AnswerQueryReply) or
                not reply.known or not 64 <= reply.code < 192):
            return request_context.OUTCOME_UNKNOWN_REFUSAL
        return _stored(reply)

    def _wait(self, key: _Key, deadline_at_ms: int) -> defer.Deferred:
        done: defer.Deferred = defer.Deferred()
        waiting = self._waiters.setdefault(key, [])
        if len(waiting) >= MAX_WAITERS:
            return defer.succeed(
                filter.Answer(request_context.OUTCOME_UNKNOWN_REFUSAL))

        def answer(response: codes.Response) -> None:
            if not done.called:
                timer.cancel()
                done.callback(filter.Answer(response))

        def time_out() -> None:
            done.callback(filter.Answer(
                request_context.OUTCOME_UNKNOWN_REFUSAL))

        timer = self._timers.call_later(
            max(1, deadline_at_ms - self._clock.now_ms()), time_out)
        waiting.append(answer)
        return done

    def _finish(self, key: _Key, response: codes.Response) -> None:
        self._results.finish(self._clock.now_ms(), *key, response.code,
                             response.payload)
        for answer in self._waiters.pop(key, ()):
            answer(response)

    def _reply(self, address: ids.Address, nonce: int,
               response: codes.Response | None) -> None:
        if response is None or len(response.payload) > MAX_ANSWER_BYTES:
            response = None
        reply = datagram.AnswerQueryReply(nonce, response is not None,
                                          response.code if response else 0,
                                          response.payload if response else b'')
        self._peers.send(address, codec.encode(reply))


def _is_grant(reply: typing.Any) -> bool:
    return isinstance(
        reply,
        datagram.ClaimReply) and reply.verdict in claim_registry.GRANTED_VALUES


def _advance(walk: claim_acquisition.ClaimAcquisition, member: str,
             reply: typing.Any) -> claim_acquisition.AcquisitionStep:
    """Returns the next step; an invalid reply counts as a timeout."""
    step = None
    if isinstance(reply, datagram.ClaimReply):
        try:
            step = walk.on_reply(reply)
        except ValueError:
            step = None
    return walk.on_timeout(member) if step is None else step


def _stored(
        state: result_table.Done | datagram.AnswerQueryReply) -> codes.Response:
    """Returns a stored response.

    The retry delay of a refusal is not stored, so it is added again.
    """
    retry_s = _REFUSED.max_age_s if state.code == _REFUSED.code else None
    return codes.Response(state.code, state.body, retry_s)
