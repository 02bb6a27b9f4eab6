"""Passes contract changes and lists on to subscribed agents.

Explanation
===========

An agent subscribes by a stream and names the revision that it has. The balancer
remembers how far it has sent to each stream and sends what is new, in parts of
a bounded size, as far as the token bucket allows. A stream keeps its order, so
no acknowledgement is needed; after a break the agent subscribes again. Every
`Subscribe` is answered at once, with an empty delta if there is nothing new, so
an agent also asks for a newer list by repeating it.
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


class _Subscriber:
    """What one stream has been sent."""

    def __init__(self, subscribe: control.Subscribe):
        self.scope = replica_lib.agent_scope(subscribe.service)
        self.revision = subscribe.revision
        self.answered = False


class SubscriptionController:
    """Decides what to send to the agents that subscribed to a balancer."""

    def __init__(self, replica: replica_lib.Replica,
                 bucket: token_bucket.TokenBucket):
        self._replica = replica
        self._bucket = bucket
        self._subscribers: dict[typing.Hashable, _Subscriber] = {}

    def on_subscribe(self, now_ms: int, stream: typing.Hashable,
                     subscribe: control.Subscribe) -> Actions:
        """Starts or renews the subscription of `stream`."""
        self._subscribers[stream] = _Subscriber(subscribe)
        return self._publish(now_ms, stream)

    def on_closed(self, stream: typing.Hashable) -> None:
        """Ends the subscription of `stream`."""
        self._subscribers.pop(stream, None)

    def on_tick(self, now_ms: int) -> Actions:
        """Sends what is new; call it after each change and on a timer."""
        actions: Actions = ()
        for stream in self._subscribers:
            actions += self._publish(now_ms, stream)
        return actions

    def _publish(self, now_ms: int, stream: typing.Hashable) -> Actions:
        subscriber = self._subscribers[stream]
        actions: Actions = ()
        while (not subscriber.answered or
               subscriber.revision < self._replica.revision):
            delta = self._replica.delta_since(subscriber.revision,
                                              subscriber.scope)
            if delta.entries or not subscriber.answered:
                size = len(codec.encode(delta)) + TCP_HEADER_BYTES
                if not self._bucket.take(now_ms, size, _keep(delta)):
                    break
                actions += (actions_lib.Publish(stream, delta),)
            subscriber.answered = True
            subscriber.revision = max(subscriber.revision, delta.revision)
        return actions


def _keep(delta: control.Delta) -> int:
    """Returns how much of the bucket `delta` leaves for what matters more."""
    if any(change_lib.change_number(entry.key) for entry in delta.entries):
        return 0
    return token_bucket.KEEP_FOR_DIGESTS
