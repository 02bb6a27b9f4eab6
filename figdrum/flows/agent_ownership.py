"""Tells balancers which flows an agent's target holds, and resets lost ones."""

import collections.abc
import typing

from figdrum.core import ids
from figdrum.flows import actions
from figdrum.flows import agent_reports
from figdrum.flows import flow_table
from figdrum.flows import messages
from figdrum.flows import pending_deliveries
from figdrum.flows import restored_flows
from figdrum.flows import segment as segment_module
from figdrum.flows import target_status

# Time in ms within which a target returns a packet of a flow that it does not
# hold. The target does so at once, so this covers the scheduling delay of both
# processes.
RETURN_TIMEOUT_MS = 15

# Time in ms after which the agent stops waiting for a silent target that has
# neither accepted nor returned a packet. Clients retransmit after 200 ms.
DELIVERY_TIMEOUT_MS = 150

# Longest lifetime of a flow in ms; older flows may be discarded. An agent that
# has run for this time has seen the packets of all open flows.
FLOW_LIFETIME_MS = 60_000


class _EarlierFlows(typing.NamedTuple):
    """The stored record of flows from before the agent started.

    Attributes:
      target: Identity of the incarnation that held the flows.
      flows: Key and last client acknowledgement of each flow.
    """
    target: str
    flows: tuple[tuple[bytes, int], ...]


class Ownership:
    """What an agent knows of the flows that its target holds.

    Attributes:
      has_earlier_left: Whether the agent's registration said at the start that
        its target had left, or that target was found to be gone.
    """

    def __init__(self, now_ms: int, packets: segment_module.PacketFormat,
                 status: target_status.TargetStatus,
                 table: flow_table.FlowTable,
                 pending: pending_deliveries.PendingDeliveries,
                 reports: agent_reports.Reports,
                 restored: restored_flows.RestoredFlows):
        self._restored = restored
        self._deferred = restored_flows.DeferredQueries()
        self._packets = packets
        self._status = status
        self._table = table
        self._pending = pending
        self._reports = reports
        # The table has all flows that were opened since this time.
        self._complete_since_ms = now_ms
        self._earlier = _EarlierFlows('', ())
        self.has_earlier_left = False

    def on_client_packet(self, now_ms: int, origin: ids.Address,
                         wants_reply: bool,
                         segment: segment_module.Segment) -> actions.Actions:
        """Forwards a client's packet, or denies a flow that is not held."""
        key = segment.key
        flow = self._current_flow(key)
        if flow is not None and flow.acknowledges(segment.ack):
            had_request = flow.has_request
            self._table.record_client_packet(now_ms, flow, segment)
            result: actions.Actions = [actions.SendToTarget(segment.raw)]
            if flow.has_request and not had_request:
                result.append(self._log_request(flow, segment.raw))
            if wants_reply:
                result += self._reports.send((origin,),
                                             messages.Held(key, segment.ack))
            return result
        ended = self._ended_if_not_held(now_ms, key, segment.ack)
        if ended is not None:
            return self._log_denial(
                flow, key, segment.ack, ended) + self._reports.send(
                    (origin,), messages.NotHeld(key, segment.ack, ended))
        if self._pending.start_trial(now_ms, segment, origin):
            return [
                actions.SendToTarget(segment.raw),
                actions.StartTimer(RETURN_TIMEOUT_MS)
            ]
        return []

    def _log_request(self, flow: flow_table.Flow,
                     raw: bytes) -> actions.LogEvent:
        flow.request_id = self._packets.request_id(raw)
        return actions.LogEvent(
            'request', {
                'request': flow.request_id,
                'flow': self._packets.describe(flow.key),
                'target': self._status.identity,
                'busy': self._table.meter.current,
                'in_transit': self._table.receiving_count
            })

    def on_reads_started(self, now_ms: int) -> None:
        """Lets queries wait for what the store has of the target's flows."""
        self._deferred.on_reads_started(now_ms)

    def answer_deferred(self, now_ms: int) -> actions.Actions:
        """Answers the queries that have waited for the reads."""
        due = self._deferred.take(now_ms, self._restored.is_complete)
        result: actions.Actions = []
        for origin, flows in due:
            result += self._answer(now_ms, origin, flows, False)
        return result

    def on_owner_query(self, now_ms: int, origin: ids.Address,
                       ask: messages.Ask) -> actions.Actions:
        """Answers which of the flows in a query the target holds."""
        return self._answer(now_ms, origin, ask.flows, True)

    def _answer(self, now_ms: int, origin: ids.Address,
                flows: collections.abc.Iterable[tuple[bytes, int]],
                may_wait: bool) -> actions.Actions:
        result: actions.Actions = []
        not_held: list[tuple[bytes, int]] = []
        unsure: list[tuple[bytes, int]] = []
        for key, ack in flows:
            flow = self._current_flow(key)
            if flow is not None and flow.acknowledges(ack):
                result += self._reports.send((origin,), messages.Held(key, ack))
                continue
            ended = self._ended_if_not_held(now_ms, key, ack)
            if ended is None and self._is_likely_held(now_ms, key, ack):
                result += self._reports.send((origin,), messages.Held(key, ack))
                continue
            if (ended is None and may_wait and
                    self._deferred.try_add(now_ms, origin, key, ack)):
                result.append(actions.StartTimer(
                    restored_flows.MAX_DEFERRAL_MS))
                continue
            if ended is not None:
                result += self._log_denial(flow, key, ack, ended)
            if ended:
                result += self._reports.send((origin,),
                                             messages.NotHeld(key, ack, True))
            else:
                (unsure if ended is None else not_held).append((key, ack))
        if not_held or unsure:
            denial = messages.Denial(tuple(not_held), tuple(unsure))
            result += self._reports.send((origin,), denial)
        return result

    def _is_likely_held(self, now_ms: int, key: bytes, ack: int) -> bool:
        """Returns whether a live target is likely to hold a restored flow.

        The balancer's next packet of the flow goes to the target, which returns
        it if that is wrong.
        """
        return (self._status.is_alive(now_ms) and
                self._restored.is_likely(now_ms, key, ack))

    def _log_denial(self, flow: flow_table.Flow | None, key: bytes, ack: int,
                    ended: bool) -> actions.Actions:
        """Logs the denial of a flow whose addresses and ports are known.

        Denials of other flows are the rule in a search, and are not logged.
        """
        if flow is None and not ended:
            return []
        return [
            actions.LogEvent(
                'flow denied', {
                    'flow': self._packets.describe(key),
                    'ack': ack,
                    'server_first': flow.server_first if flow else None,
                    'closed': flow.is_closed if flow else None,
                    'ended': ended
                })
        ]

    def _current_flow(self, key: bytes) -> flow_table.Flow | None:
        """Returns the flow `key` of the target's current incarnation."""
        flow = self._table.get(key)
        if flow is not None and flow.target == self._status.identity:
            return flow
        return None

    def _ended_if_not_held(self, now_ms: int, key: bytes,
                           ack: int) -> bool | None:
        """Returns whether a flow that the target does not hold has ended.

        The caller has found that the packet does not belong to a flow in the
        table. If the table has a flow with this key, the packet acknowledges
        sequence numbers of another one, which the target does not hold as well.

        Returns:
          True if the target held the flow and it has ended, False if the target
          never held it, None if the agent cannot tell.
        """
        if self._current_flow(key) is not None:
            return False
        ended = self._pending.denied_flow_ended(now_ms, key, ack)
        if (ended is None and self._table.get(key) is None and
                self.has_complete_table(now_ms)):
            return False
        return ended

    def confirm_held(
            self, key: bytes,
            delivery: pending_deliveries.PendingDelivery) -> actions.Actions:
        """Sends the buffered packets of a flow that the target holds."""
        result: actions.Actions = [
            actions.SendToTarget(raw) for raw in delivery.buffered_packets
        ]
        return result + self._reports.send(delivery.origins,
                                           messages.Held(key, delivery.ack))

    def end_flows(self, now_ms: int, opened_before_ms: int,
                  cause: str) -> actions.Actions:
        """Removes flows that ended with their target, and resets open ones."""
        ended: list[tuple[bytes, int]] = []
        ended_requests: actions.Actions = []
        for flow in self._table.flows():
            if flow.opened_ms >= opened_before_ms:
                continue
            if flow.has_request:
                ended_requests.append(
                    actions.LogEvent(
                        'request cut', {
                            'request': flow.request_id,
                            'flow': self._packets.describe(flow.key),
                            'target': flow.target,
                            'cause': cause
                        }))
            self._table.remove(now_ms, flow.key)
            if flow.is_open and not flow.is_closed:
                ended.append((flow.key, flow.client_ack))
        return ended_requests + self.reset_flows(now_ms, ended, cause)

    def reset_flows(self, now_ms: int, flows: list[tuple[bytes, int]],
                    cause: str) -> actions.Actions:
        """Resets flows that have ended with their target."""
        result: actions.Actions = []
        for key, ack in flows:
            self._pending.add_denial(now_ms, key, ack, True)
            result.append(
                actions.SendToClient(self._packets.client_host(key),
                                     self._packets.build_reset(key, ack)))
        if result:
            result.append(
                actions.LogEvent(
                    'flows reset', {
                        'cause': cause,
                        'target': self._status.identity,
                        'flows': len(result)
                    }))
        return result

    def deny_trials(self, now_ms: int) -> actions.Actions:
        """Denies the flows of packets that no target has got or kept.

        A later target, which returns none of them, would be taken to hold the
        flows.
        """
        result: actions.Actions = []
        for key, delivery in self._pending.trials():
            ended = self._ended_if_not_held(now_ms, key, delivery.ack)
            if ended is not None:
                self._pending.finish_trial(key, delivery.ack)
                result += self._reports.send(
                    delivery.origins, messages.NotHeld(key, delivery.ack,
                                                       ended))
        return result

    def reset_earlier_flows(self,
                            now_ms: int,
                            stated_name: str = '') -> actions.Actions:
        """Resets the stored flows if their target was replaced or is gone.

        Args:
          now_ms: Time.
          stated_name: Name that the target has stated before its first
            heartbeat, empty if it has not.
        """
        name = target_status.target_name(self._earlier.target)
        is_lost = (name != stated_name if stated_name else
                   (self._status.last_heartbeat_ms is not None and
                    self.is_other_target(self._earlier.target)) or
                   self.is_absent(self._earlier.target))
        if not self._earlier.flows or not is_lost:
            return []
        lost = [(key, ack)
                for key, ack in self._earlier.flows
                if self._table.get(key) is None]
        self._earlier = _EarlierFlows('', ())
        return self.reset_flows(now_ms, lost,
                                'target lost before the agent started')

    def is_other_target(self, identity: str) -> bool:
        """Returns whether the target has stated another name than that."""
        return (self._status.is_confirmed and
                target_status.target_name(identity) != self._status.name)

    def is_absent(self, identity: str) -> bool:
        """Returns whether that target is gone, and none was heard since."""
        return (self.has_earlier_left and self._status.last_heard_ms is None and
                identity != '' and identity == self._status.identity)

    def mark_table_complete(self, now_ms: int) -> None:
        """Records that the table has all open flows from now on."""
        self._complete_since_ms = now_ms - FLOW_LIFETIME_MS

    def has_complete_table(self, now_ms: int) -> bool:
        """Returns whether the table has all open flows."""
        if self.has_earlier_left and self._status.last_heard_ms is None:
            return True
        return now_ms - self._complete_since_ms >= FLOW_LIFETIME_MS

    def on_stored_flows(self, now_ms: int, identity: str,
                        flows: tuple[tuple[bytes, int], ...],
                        has_short_flows: bool) -> actions.Actions:
        """Handles the stored record of flows from before this process started.

        The flows are reset once a heartbeat shows that the target has another
        incarnation than the one that held them, or once that one is gone.

        Args:
          now_ms: Time.
          identity: Identity of the incarnation that held the flows.
          flows: Key and last client acknowledgement of each flow.
          has_short_flows: Whether its flows were short.
        """
        self._earlier = _EarlierFlows(identity, flows)
        if has_short_flows:
            self._table.history.assume_short_flows()
        return self.reset_earlier_flows(now_ms)

    def probe_target(self, now_ms: int) -> actions.Actions:
        """Queries the target's health endpoint, if the last time is past."""
        return [actions.ProbeTarget()
               ] if self._status.try_start_probe(now_ms) else []

    def on_returned(self, now_ms: int,
                    segment: segment_module.Segment) -> actions.Actions:
        """Handles a packet of a flow that the target does not hold."""
        key, ack = segment.key, segment.ack
        trial = self._pending.finish_trial(key, ack)
        flow = self._table.get(key)
        was_restored = self._restored.on_returned(key, ack)
        ended = False
        if flow is not None and flow.acknowledges(ack):
            self._table.remove(now_ms, key)
            ended = flow.is_open
        self._pending.add_denial(now_ms, key, ack, ended)
        origins = trial.origins if trial else self._reports.balancers
        result: actions.Actions = [
            actions.LogEvent('restored flow returned', {
                'flow': self._packets.describe(key),
                'ack': ack
            })
        ] if was_restored else []
        return result + self._log_denial(
            flow, key, ack, ended) + self._reports.send(
                origins, messages.NotHeld(key, ack, ended))

    def on_timer(self, now_ms: int) -> actions.Actions:
        """Handles packets that the target has not returned."""
        result = self.answer_deferred(now_ms)
        for key, delivery in self._pending.trials():
            waited_ms = now_ms - delivery.sent_ms
            if waited_ms >= RETURN_TIMEOUT_MS and self._status.is_alive(now_ms):
                self._pending.finish_trial(key, delivery.ack)
                flow = self._table.open(now_ms, key, self._status.identity)
                # The server has sent what the client acknowledges.
                flow.server_next = delivery.ack
                self._restored.confirm(key)
                result.append(
                    actions.LogEvent('flow taken for held', {
                        'flow': self._packets.describe(key),
                        'waited_ms': waited_ms
                    }))
                result += self.confirm_held(key, delivery)
            elif waited_ms >= DELIVERY_TIMEOUT_MS:
                self._pending.finish_trial(key, delivery.ack)
                result += self.probe_target(now_ms)
            elif waited_ms >= RETURN_TIMEOUT_MS and not delivery.is_reported:
                # The target does not seem to run, and a search need not wait.
                delivery.is_reported = True
                result += self._reports.send(
                    delivery.origins, messages.Denial((),
                                                      ((key, delivery.ack),)))
        return result
