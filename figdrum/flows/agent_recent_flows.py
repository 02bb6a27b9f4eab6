"""Sends an agent's recent flows, and resets those of an earlier target."""

from figdrum.core import ids
from figdrum.flows import actions
from figdrum.flows import agent_identity
from figdrum.flows import agent_ownership
from figdrum.flows import flow_table
from figdrum.flows import messages
from figdrum.flows import packed_flows
from figdrum.flows import recent_flows
from figdrum.flows import restored_flows
from figdrum.flows import target_status


class RecentFlows:
    """The recent flows of the agent's target and of the one before it."""

    # One parameter for each part of the agent that it reads.
    # pylint: disable-next=too-many-positional-arguments
    def __init__(self, now_ms: int, zone: ids.ZoneName,
                 status: target_status.TargetStatus,
                 table: flow_table.FlowTable,
                 ownership: agent_ownership.Ownership,
                 identity: agent_identity.Identity,
                 restored: restored_flows.RestoredFlows):
        self._restored = restored
        self._status = status
        self._table = table
        self._ownership = ownership
        self._identity = identity
        self._sender = recent_flows.RecentFlowsSender(now_ms, zone)
        self._earlier = recent_flows.EarlierFlows()
        self._is_unconfirmed = False

    @property
    def may_be_collected(self) -> bool:
        """Whether a collector may have stored flows of the present target."""
        return self._sender.has_sent or self._earlier.may_include(
            self._status.identity)

    def on_hello(self, now_ms: int, origin: ids.Address,
                 hello: messages.Hello) -> None:
        """Records a balancer's zone."""
        self._sender.on_hello(now_ms, origin, hello)

    def is_collected(self, now_ms: int) -> bool:
        """Returns whether the store has all flows but for the youngest."""
        return (not self._table.has_short_flows and
                self._sender.is_collected(now_ms))

    def on_stored(self, origin: ids.Address,
                  message: messages.RecentFlowsStored) -> None:
        """Records which messages a collector has stored."""
        self._sender.on_stored(origin, message)

    def on_recorded(self, now_ms: int, identity: str,
                    flows: packed_flows.Flows) -> None:
        """Records which flows the store has in the agent's own record."""
        self._sender.on_recorded(now_ms, identity, flows)

    def on_own_record(self, now_ms: int, identity: str,
                      flows: packed_flows.Flows,
                      revision: ids.StoreRevision) -> actions.Actions:
        """Handles the agent's own record from before its start."""
        self._earlier.on_record(identity, flows, revision)
        self._restored.has_own_record = True
        self._restored.add(identity, revision, flows, True)
        return self.on_identity(now_ms)

    def on_stored_target(self, now_ms: int,
                         identity: str | None) -> actions.Actions:
        """Handles the agent's registration from before its start."""
        self._earlier.on_registration(identity)
        return self.on_identity(now_ms)

    def on_list(
            self, now_ms: int, stored: tuple[recent_flows.StoredFlows,
                                             ...]) -> actions.Actions:
        """Handles what collectors have stored of this agent."""
        self._earlier.on_list(stored)
        self._restored.has_recent_flows = True
        for revision, recent in stored:
            self._restored.add(recent.target, revision, recent.flows, False)
        return self.on_identity(now_ms)

    def on_identity(self, now_ms: int) -> actions.Actions:
        """Restores the flows of the target, or resets those of a lost one."""
        target = self._status.identity if self._status.is_confirmed else ''
        self._sender.on_target(target)
        result: actions.Actions = []
        outcome = self._restored.on_target(now_ms, target)
        if outcome is not None:
            result.append(
                actions.LogEvent('flows restored',
                                 {'target': target} | outcome))
        result += self._ownership.answer_deferred(now_ms)
        if self._identity.early_name:
            result += self._ownership.reset_earlier_flows(
                now_ms, self._identity.early_name)
        lost = [(key, ack)
                for key, ack in self._earlier.take(self._identity.has_replaced)
                if self._table.get(key) is None]
        return result + self._ownership.reset_flows(
            now_ms, lost, 'target lost before the agent started, recent flow')

    def on_tick(self, now_ms: int) -> actions.Actions:
        """Sends what is due.

        Nothing is sent until the agent has read what the collectors have
        stored, since its messages change that.
        """
        if not self._earlier.is_read or self._table.has_short_flows:
            return []
        before = self._sender.collector
        outgoing = self._sender.on_tick(now_ms, self._open_flows)
        result: actions.Actions = []
        if self._sender.collector != before:
            result.append(
                actions.LogEvent(
                    'collector chosen', {
                        'collector': _host(self._sender.collector),
                        'before': _host(before),
                        'target': self._status.identity
                    }))
        result += self._log_unconfirmed(now_ms)
        if outgoing is not None:
            collector, message = outgoing
            result.append(
                actions.SendToPeer(collector, messages.encode(message)))
        return result

    def _log_unconfirmed(self, now_ms: int) -> actions.Actions:
        age_ms = self._sender.unconfirmed_ms(now_ms)
        was_unconfirmed = self._is_unconfirmed
        self._is_unconfirmed = age_ms > recent_flows.CONFIRMATION_TIMEOUT_MS
        if was_unconfirmed or not self._is_unconfirmed:
            return []
        return [
            actions.LogEvent(
                'recent flows unconfirmed', {
                    'collector': _host(self._sender.collector),
                    'age_ms': age_ms,
                    'target': self._status.identity
                })
        ]

    def _open_flows(self) -> list[flow_table.Flow]:
        return [
            flow for flow in self._table.flows() if flow.is_open and
            not flow.is_closed and flow.target == self._status.identity
        ]


def _host(address: ids.Address | None) -> str | None:
    return address[0] if address is not None else None
