"""One simulated user of a service."""

import collections.abc
import enum
import random
import typing

from twisted.internet import reactor

from figdrum.core import clock
from standins import caller_flow
from standins import report
from standins import request_record

_POST_SHARE = 0.4
_MAX_ATTEMPTS = 60


class ClientKind(enum.Enum):
    """Kind of requests that a user makes."""
    SESSION = 'session'
    FEED = 'feed'
    DOWNLOAD = 'download'


class ClientSettings(typing.NamedTuple):
    """How a user behaves.

    Attributes:
      requests: Requests to make; a refused one is retried and does not count.
      pace_ms: Mean time between two requests.
      deadline_ms: Deadline of each request.
      repeat_share: Probability that a POST is sent again by another user.
      max_retry_wait_ms: Longest wait that Max-Age of a refusal can ask for.
      report_bytes: Size of a download.
    """
    requests: int
    pace_ms: float
    deadline_ms: int = 10_000
    repeat_share: float = 0.1
    max_retry_wait_ms: int = 3_000
    report_bytes: int = report.DEFAULT_BYTES


class FleetClient:
    """Makes requests one after another on one flow.

    A flow that was refused before it was established is replaced by a new
    one, because the service remembers that it refused the flow.

    Attributes:
      flows: All flows in order; the last one is in use.
      requests_done: Requests that were answered or given up.
    """

    def __init__(
        self, name: str, kind: ClientKind,
        flow_settings: caller_flow.FlowSettings, settings: ClientSettings,
        rng: random.Random, on_done: collections.abc.Callable[['FleetClient'],
                                                              None],
        on_post: collections.abc.Callable[['FleetClient', request_record.Call],
                                          None]):
        self.flows: list[caller_flow.CallerFlow] = []
        self.requests_done = 0
        self._name = name
        self._kind = kind
        self._flow_settings = flow_settings
        self._settings = settings
        self._rng = rng
        self._on_done = on_done
        self._on_post = on_post
        self._calls = 0
        self._attempts = 0
        self._open_flow()

    @property
    def service(self) -> str:
        """Name of the service that it uses."""
        return self._flow_settings.service

    @property
    def flow(self) -> caller_flow.CallerFlow:
        """The flow in use."""
        return self.flows[-1]

    def send_next(self) -> None:
        """Sends the next request; a POST may also go to another user."""
        call = self._next_call()
        done = self.flow.request(call)
        done.addCallback(self._on_record)
        if call.key and self._rng.random() < self._settings.repeat_share:
            self._on_post(self, call)

    def stop(self) -> None:
        """Closes every flow."""
        for flow in self.flows:
            flow.stop()

    def _open_flow(self) -> None:
        flow = caller_flow.CallerFlow(f'{self._name}-{len(self.flows)}',
                                      self._flow_settings, reactor,
                                      random.Random(self._rng.random()))
        flow.start(reactor)
        self.flows.append(flow)

    def _next_call(self) -> request_record.Call:
        kinds = request_record.Kind
        self._calls += 1
        nonce = f'{self._name}.{self._calls}'
        deadline_ms = self._settings.deadline_ms
        if self._kind is ClientKind.FEED and not self.flow.feeds:
            return request_record.Call(kinds.OBSERVE,
                                       '/roster',
                                       nonce,
                                       deadline_ms=deadline_ms)
        if self._kind is ClientKind.DOWNLOAD:
            return request_record.Call(kinds.DOWNLOAD,
                                       f'/report/{nonce}',
                                       nonce,
                                       deadline_ms=deadline_ms,
                                       size=self._settings.report_bytes)
        if self._rng.random() < _POST_SHARE:
            return request_record.Call(kinds.POST,
                                       '/records',
                                       nonce,
                                       key=f'key-{nonce}',
                                       deadline_ms=deadline_ms)
        return request_record.Call(kinds.GET,
                                   '/roster',
                                   nonce,
                                   deadline_ms=deadline_ms)

    def _on_record(self, record: request_record.RequestRecord) -> None:
        is_refused = record.ending is request_record.Ending.REFUSED
        self._attempts += 1
        if is_refused and self._attempts < _MAX_ATTEMPTS:
            wait_ms = min(record.retry_after_s * clock.MS_PER_S,
                          self._settings.max_retry_wait_ms)
            wait_ms = max(wait_ms, self._rng.uniform(0, self._settings.pace_ms))
            if not self.flow.is_established:
                self._open_flow()
        else:
            self._attempts = 0
            self.requests_done += 1
            if self.requests_done >= self._settings.requests:
                self._on_done(self)
                return
            wait_ms = self._rng.uniform(0.5, 1.5) * self._settings.pace_ms
        reactor.callLater(wait_ms / clock.MS_PER_S, self.send_next)
