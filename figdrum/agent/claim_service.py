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

MAX_ACQUISITIONS = 4
# A response must fit into one datagram with the other fields of its message.
MAX_RESPONSE_BYTES = 60_000
MAX_WAITERS = 64
# A member that does not acknowledge a copy within this time is itself lost.
COPY_TIMEOUT_MS = 5_000

_Key = tuple[str, str]
_DID_NOT_RUN = codes.refusal(states.Refusal.DID_NOT_RUN)


class ClaimService(request_claim.ClaimProvider):
    """Acquires keys as an executor and grants claims as a member.

    Args:
      agent: State of this agent in its service.
      env: The agent's clock, timers, network and metrics.
      queries: Sends queries to other agents.
      reply_timeout_ms: Time limit for the reply of a member to a claim, in ms.
      key_lifetime_ms: Lifetime of claims and stored responses, in ms.
    """

    def __init__(self, agent: agent_view.AgentView,
                 env: environment.Environment,
                 queries: peer_queries.PeerQueries, reply_timeout_ms: int,
                 key_lifetime_ms: int):
        self._agent = agent
        self._clock = env.clock
        self._timers = env.timers
        self._peers = env.peers
        self._metrics = env.metrics
        self._queries = queries
        self._reply_timeout_ms = reply_timeout_ms
        self._registry = claim_registry.ClaimRegistry(
            agent.name, lifetime_ms=key_lifetime_ms)
        self._results = result_table.ResultTable(lifetime_ms=key_lifetime_ms)
        self._claimed_keys: dict[int, _Key] = {}
        self._is_leaving = False
        self._pending_copies = 0
        self._failed_copies = 0
        self._waiters: dict[_Key,
                            list[collections.abc.Callable[[codes.Response],
                                                          None]]] = {}

    def acquire(self, ctx: request_context.RequestContext) -> defer.Deferred:
        key = (ctx.customer, ctx.request.key)
        state = self._results.begin(self._clock.now_ms(), *key)
        if isinstance(state, result_table.Done):
            return defer.succeed(filter.Answer(_stored_response(state)))
        if isinstance(state, result_table.Running):
            return self._wait_for_response(key, ctx.deadline_at_ms)
        if isinstance(state, result_table.Full):
            self._metrics.incr('agent.results_full')
            return defer.succeed(
                filter.Answer(request_context.OUTCOME_UNKNOWN_REFUSAL))
        return self._acquire_key(key, ctx)

    def store_response(self, number: int, response: codes.Response) -> None:
        """Stores the response of a request that holds a claim."""
        key = self._claimed_keys.pop(number, None)
        if key is not None:
            self._finish_key(key, response)

    def on_claim(self, address: ids.Address, claim: datagram.Claim) -> None:
        """Replies to the claim of another agent."""
        if not self._agent.can_run():
            self._metrics.incr('agent.claim_while_fenced')
            return
        self._registry.expire(self._clock.now_ms())
        known_count = len(self._registry)
        reply = self._evaluate(claim)
        self._peers.send(address, codec.encode(reply))
        if self._is_leaving and len(self._registry) > known_count:
            for receiver in self._copy_receivers():
                self.send_copy(receiver, claim)

    def on_answer_query(self, address: ids.Address,
                        query: datagram.AnswerQuery) -> None:
        """Sends the stored response of a key to another agent.

        The reply to a query for a request in progress is sent when the request
        has its response.
        """
        state = self._results.find(query.customer, query.key)
        if isinstance(state, result_table.Running):
            waiting = self._waiters.setdefault((query.customer, query.key), [])
            if len(waiting) < MAX_WAITERS:
                waiting.append(lambda response: self._send_reply(
                    address, query.nonce, response))
            return
        self._send_reply(address, query.nonce,
                         _stored_response(state) if state else None)

    def on_reply(
            self,
            reply: datagram.ClaimReply | datagram.AnswerQueryReply) -> None:
        """Completes the query that `reply` answers."""
        if not self._queries.complete(reply.nonce, reply):
            self._metrics.incr('agent.late_reply')

    def start_transfer(
            self) -> tuple[tuple[service_list.Member, datagram.Claim], ...]:
        """Starts the transfer of claims from this leaving member.

        From now on a copy of each new claim is sent to other members at once.

        Returns:
          The existing claims, each with a member to send a copy to.
        """
        self._is_leaving = True
        return tuple(
            (receiver, claim)
            for claim in self._registry.copies(self._agent.members.version)
            for receiver in self._copy_receivers())

    @property
    def pending_copies(self) -> int:
        """Number of sent copies that are not acknowledged yet."""
        return self._pending_copies

    def send_copy(self, receiver: service_list.Member,
                  claim: datagram.Claim) -> None:
        """Sends a copy of a claim and repeats it until a reply or a timeout."""
        self._pending_copies += 1

        def on_reply(reply: typing.Any) -> None:
            self._pending_copies -= 1
            if not _is_grant(reply):
                self._failed_copies += 1
                self._metrics.incr('agent.claim_not_given')

        self._queries.send_query(
            receiver.address, lambda nonce: claim._replace(
                nonce=nonce,
                list_version=self._agent.members.version,
                is_copy=True), COPY_TIMEOUT_MS).addCallback(on_reply)

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
        return tuple(m for m in self._agent.members.routable()
                     if m.name != self._agent.name)

    def expire(self) -> None:
        """Removes claims and responses older than the key lifetime."""
        now_ms = self._clock.now_ms()
        self._registry.expire(now_ms)
        self._results.expire(now_ms)

    @defer.inlineCallbacks
    def _acquire_key(self, key: _Key, ctx: request_context.RequestContext):
        response = request_context.OUTCOME_UNKNOWN_REFUSAL
        won = False
        try:
            step = yield self._run_acquisition(key)
            won = isinstance(
                step, claim_acquisition.Acquired) and self._agent.can_run()
            if isinstance(step, claim_acquisition.ClaimedByOther):
                response = yield self._query_executor(key, step.executor,
                                                      ctx.deadline_at_ms)
        finally:
            # The key must not stay in progress after a failure of any kind.
            if not won:
                self._finish_key(key, response)
        if not won:
            return filter.Answer(response)
        self._claimed_keys[ctx.number] = key
        return filter.Pass(ctx._replace(claimed=True))

    @defer.inlineCallbacks
    def _run_acquisition(self, key: _Key):
        for _ in range(MAX_ACQUISITIONS):
            members = self._agent.members
            lost = self._agent.lost_members()
            acquisition = claim_acquisition.ClaimAcquisition(
                claim_acquisition.claim_order(*key, members, lost), lost)
            step = acquisition.start()
            while isinstance(step, claim_acquisition.SendClaim):
                reply = yield self._send_claim(step.member, key, members)
                step = _advance(acquisition, step.member, reply)
            if not isinstance(step, claim_acquisition.StaleList):
                return step
            self._metrics.incr('agent.stale_walk')
            yield self._agent.fetch(step.list_version)
        return claim_acquisition.Uncertain()

    def _send_claim(self, name: str, key: _Key,
                    members: service_list.ServiceList) -> defer.Deferred:

        def make_message(nonce: int) -> datagram.Claim:
            return datagram.Claim(nonce, *key, self._agent.name,
                                  self._agent.incarnation, members.version)

        if name == self._agent.name:
            return defer.succeed(self._evaluate(make_message(0)))
        member = members.find(name)
        if member is None:
            return defer.succeed(None)
        return self._queries.send_query(member.address, make_message,
                                        self._reply_timeout_ms)

    def _evaluate(self, claim: datagram.Claim) -> datagram.ClaimReply:
        return self._registry.on_claim(self._clock.now_ms(), claim,
                                       self._agent.members.version,
                                       self._agent.record_completeness())

    @defer.inlineCallbacks
    def _query_executor(self, key: _Key, executor: claim_registry.Executor,
                        deadline_at_ms: int):
        member = self._agent.members.find(executor.name)
        is_alive = (member is not None and executor.name != self._agent.name and
                    member.incarnation == executor.incarnation and member.state
                    in (states.MemberState.ACTIVE, states.MemberState.DRAINING))
        remaining_ms = deadline_at_ms - self._clock.now_ms()
        if not is_alive or remaining_ms <= 0:
            return request_context.OUTCOME_UNKNOWN_REFUSAL
        reply = yield self._queries.send_query(
            member.address,
            lambda nonce: datagram.AnswerQuery(nonce, *key, remaining_ms),
            remaining_ms)
        if (not isinstance(reply, datagram.AnswerQueryReply) or
                not reply.known or not 64 <= reply.code < 192):
            return request_context.OUTCOME_UNKNOWN_REFUSAL
        return _stored_response(reply)

    def _wait_for_response(self, key: _Key,
                           deadline_at_ms: int) -> defer.Deferred:
        done: defer.Deferred = defer.Deferred()
        waiting = self._waiters.setdefault(key, [])
        if len(waiting) >= MAX_WAITERS:
            return defer.succeed(
                filter.Answer(request_context.OUTCOME_UNKNOWN_REFUSAL))

        def on_response(response: codes.Response) -> None:
            if not done.called:
                timer.cancel()
                done.callback(filter.Answer(response))

        def on_timeout() -> None:
            done.callback(filter.Answer(
                request_context.OUTCOME_UNKNOWN_REFUSAL))

        timer = self._timers.call_later(
            max(1, deadline_at_ms - self._clock.now_ms()), on_timeout)
        waiting.append(on_response)
        return done

    def _finish_key(self, key: _Key, response: codes.Response) -> None:
        self._results.finish(self._clock.now_ms(), *key, response.code,
                             response.payload)
        for on_response in self._waiters.pop(key, ()):
            on_response(response)

    def _send_reply(self, address: ids.Address, nonce: int,
                    response: codes.Response | None) -> None:
        if response is None or len(response.payload) > MAX_RESPONSE_BYTES:
            response = None
        reply = datagram.AnswerQueryReply(nonce, response is not None,
                                          response.code if response else 0,
                                          response.payload if response else b'')
        self._peers.send(address, codec.encode(reply))


def _is_grant(reply: typing.Any) -> bool:
    return isinstance(
        reply,
        datagram.ClaimReply) and reply.verdict in claim_registry.GRANTED_VALUES


def _advance(acquisition: claim_acquisition.ClaimAcquisition, member: str,
             reply: typing.Any) -> claim_acquisition.AcquisitionStep:
    """Returns the next step; an invalid reply counts as a timeout."""
    step = None
    if isinstance(reply, datagram.ClaimReply):
        try:
            step = acquisition.on_reply(reply)
        except ValueError:
            step = None
    return acquisition.on_timeout(member) if step is None else step


def _stored_response(
        state: result_table.Done | datagram.AnswerQueryReply) -> codes.Response:
    """Returns a stored response.

    The retry delay of a refusal is not stored, so it is added again.
    """
    retry_s = (_DID_NOT_RUN.max_age_s
               if state.code == _DID_NOT_RUN.code else None)
    return codes.Response(state.code, state.body, retry_s)
