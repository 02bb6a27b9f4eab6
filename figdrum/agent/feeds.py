"""Polls the target for observed paths.

Explanation
===========

Observers of one path of one customer share one poll. A poll passes the same
admission as a request, with the lowest rank, so that a cold or busy target is
polled less often. If the target does not answer a poll, the observers are not
notified.
"""

import collections.abc
import dataclasses
import typing

import aiocoap
from twisted.internet import defer

from figdrum.coap import codes
from figdrum.coap import request as request_lib
from figdrum.coap import server
from figdrum.core import ids

# Errors after which the resource cannot be observed; others may be temporary.
_FINAL_ERRORS = (aiocoap.BAD_REQUEST, aiocoap.UNAUTHORIZED, aiocoap.FORBIDDEN,
                 aiocoap.NOT_FOUND, aiocoap.METHOD_NOT_ALLOWED)

Poll = collections.abc.Callable[
    [ids.FlowKey, ids.CustomerId, request_lib.Request], defer.Deferred]
Notify = collections.abc.Callable[[ids.FlowKey, bytes, codes.Response], None]
_FeedKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Feed:
    request: request_lib.Request
    next_poll_ms: int
    observers: set[tuple[ids.FlowKey, bytes]]
    is_polling: bool = False


class Feeds:
    """Observed paths and their observers.

    Args:
      interval_ms: Time between polls of one path, in ms.
      poll: Runs a request; its Deferred fires with a response.
      notify: Sends the newest state to one observer.
    """

    def __init__(self, interval_ms: int, poll: Poll, notify: Notify):
        self._interval_ms = interval_ms
        self._poll = poll
        self._notify = notify
        self._feeds: dict[_FeedKey, _Feed] = {}
        self._by_observer: dict[tuple[ids.FlowKey, bytes], _FeedKey] = {}

    def __len__(self) -> int:
        return len(self._feeds)

    def add(self, now_ms: int, customer: ids.CustomerId,
            event: server.ObservationRegistered) -> None:
        """Adds an observer or replaces the one with its flow and token."""
        observer = (event.flow, event.token)
        self.remove(*observer)
        key = (customer, event.request.path)
        feed = self._feeds.get(key)
        if feed is None:
            feed = _Feed(event.request, now_ms + self._interval_ms, set())
            self._feeds[key] = feed
        feed.observers.add(observer)
        self._by_observer[observer] = key

    def remove(self, flow: ids.FlowKey, token: bytes) -> None:
        """Removes an observer; the last one ends the polls of its path."""
        key = self._by_observer.pop((flow, token), None)
        if key is None:
            return
        feed = self._feeds[key]
        feed.observers.discard((flow, token))
        if not feed.observers:
            del self._feeds[key]

    def tick(self, now_ms: int) -> None:
        """Starts the polls that are due."""
        for key, feed in list(self._feeds.items()):
            if feed.next_poll_ms <= now_ms and not feed.is_polling:
                feed.next_poll_ms = now_ms + self._interval_ms
                feed.is_polling = True
                self._start_poll(key, feed)

    def _start_poll(self, key: _FeedKey, feed: _Feed) -> None:

        def on_response(response: typing.Any) -> None:
            feed.is_polling = False
            if not isinstance(response, codes.Response):
                return
            if response.is_success or response.code in _FINAL_ERRORS:
                for observer in tuple(feed.observers):
                    self._notify(*observer, response)

        flow, _ = next(iter(feed.observers))
        poll = self._poll(flow, ids.CustomerId(key[0]), feed.request)
        poll.addBoth(on_response)
