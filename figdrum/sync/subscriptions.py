"""Sends contract changes and service lists to subscribed agents.

Explanation
===========

An agent subscribes on a stream and states the revision that it has. The
balancer keeps the revision that it has sent on each stream and sends updates in
deltas of bounded size, as far as the token bucket allows. A stream is ordered
and reliable, so no acknowledgement is needed; after the stream closes, the
agent subscribes again. Every `Subscribe` is answered immediately, with an empty
delta if there is no update, so an agent repeats `Subscribe` to query for a
newer list.
"""

import typing

from figdrum.contracts import change as change_lib
from figdrum.messages import codec
from figdrum.messages import control
from figdrum.sync import actions as actions_lib
from figdrum.sync import replica as replica_lib
from figdrum.sync import token_bucket

TCP_HEADER_BYTES = 52

Actions = tuple[actions_lib.Action, ...]


class _Subscription:
    """State of one subscription: its scope and the revision sent."""

    def __init__(self, subscribe: control.Subscribe):
        self.scope = replica_lib.agent_scope(subscribe.service)
        self.revision = subscribe.revision
        self.is_answered = False


class SubscriptionController:
    """Decides what a balancer sends to its subscribed agents; does no I/O."""

    def __init__(self, replica: replica_lib.Replica,
                 bucket: token_bucket.TokenBucket):
        self._replica = replica
        self._bucket = bucket
        self._subscriptions: dict[typing.Hashable, _Subscription] = {}

    def on_subscribe(self, now_ms: int, stream: typing.Hashable,
                     subscribe: control.Subscribe) -> Actions:
        """Starts or restarts the subscription of `stream`."""
        self._subscriptions[stream] = _Subscription(subscribe)
        return self._publish(now_ms, stream)

    def on_closed(self, stream: typing.Hashable) -> None:
        """Ends the subscription of `stream`."""
        self._subscriptions.pop(stream, None)

    def on_tick(self, now_ms: int) -> Actions:
        """Sends pending updates; call it after each change and on a timer."""
        actions: Actions = ()
        for stream in self._subscriptions:
            actions += self._publish(now_ms, stream)
        return actions

    def _publish(self, now_ms: int, stream: typing.Hashable) -> Actions:
        subscription = self._subscriptions[stream]
        actions: Actions = ()
        while (not subscription.is_answered or
               subscription.revision < self._replica.revision):
            delta = self._replica.delta_since(subscription.revision,
                                              subscription.scope)
            if delta.entries or not subscription.is_answered:
                size = len(codec.encode(delta)) + TCP_HEADER_BYTES
                if not self._bucket.take(now_ms, size, _reserve_bytes(delta)):
                    break
                actions += (actions_lib.Publish(stream, delta),)
            subscription.is_answered = True
            subscription.revision = max(subscription.revision, delta.revision)
        return actions


def _reserve_bytes(delta: control.Delta) -> int:
    """Returns the bytes that `delta` leaves in the bucket.

    Contract changes can use the whole bucket; lists leave a part for digests,
    pulls and contract changes.
    """
    if any(change_lib.change_number(entry.key) for entry in delta.entries):
        return 0
    return token_bucket.DIGEST_RESERVE_BYTES
