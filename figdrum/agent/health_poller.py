"""Polls the health and load endpoints of the target.

Explanation
===========

The responses lag behind and may be wrong. Of their contents, only the state
`cold` and a changed incarnation have an effect, which is to reduce the load;
the utilisation is only reported as a metric. No response increases the load or
removes the target from the list. A response to `/health` also proves that the
target is reachable, which can end the time in which it counts as down.
"""

import collections.abc
import json
import typing

from figdrum.admission import warmup as warmup_lib
from figdrum.agent import environment
from figdrum.core import ids
from figdrum.core import ports

POLL_INTERVAL_MS = 500
POLL_TIMEOUT_MS = 1_000


class HealthPoller:
    """Polls `/health`, then `/load`.

    Args:
      env: Interfaces to the agent's environment.
      service: Service of the target.
      warmup: Takes the reported state and incarnation.
      on_reached: Called with the time, in ms, of each response to `/health`,
        whatever its status and body; not if no connection could be opened.
    """

    def __init__(self, env: environment.Environment, service: ids.ServiceName,
                 warmup: warmup_lib.Warmup,
                 on_reached: collections.abc.Callable[[int], None]):
        self._env = env
        self._service = service
        self._warmup = warmup
        self._on_reached = on_reached
        self._next_poll_ms = 0
        self._is_polling = False

    def tick(self, now_ms: int) -> None:
        """Polls the target if a poll is due."""
        if self._is_polling or now_ms < self._next_poll_ms:
            return
        self._next_poll_ms = now_ms + POLL_INTERVAL_MS
        self._is_polling = True
        self._get('/health').addCallback(self._on_health).addCallback(
            lambda _: self._get('/load')).addCallback(self._on_load).addBoth(
                self._on_done)

    def _get(self, path: str) -> typing.Any:
        return self._env.target.call(
            ports.TargetRequest('GET', path, b'',
                                ids.CustomerId(''), self._service,
                                ids.IdempotencyKey(''), POLL_TIMEOUT_MS))

    def _on_health(self, response: ports.TargetAnswer) -> None:
        doc = _parse_object(response)
        now_ms = self._env.clock.now_ms()
        if response.status != ports.NOT_CONNECTED:
            self._on_reached(now_ms)
        if isinstance(doc.get('incarnation'), (str, int)):
            self._warmup.on_incarnation(now_ms, str(doc['incarnation']))
        if isinstance(doc.get('state'), str):
            self._warmup.on_health(now_ms, doc['state'])

    def _on_load(self, response: ports.TargetAnswer) -> None:
        utilisation = _parse_object(response).get('utilisation')
        if isinstance(utilisation, (int, float)):
            self._env.metrics.gauge('agent.target_utilisation', utilisation)

    def _on_done(self, result: typing.Any) -> None:
        self._is_polling = False
        if result is not None:
            # The result is a failure: a call of `/health` or `/load`, or the
            # handling of its response, raised an exception.
            self._env.metrics.incr('agent.health_failed')


def _parse_object(response: ports.TargetAnswer) -> dict:
    """Returns the JSON object of a response, or an empty one."""
    try:
        doc = json.loads(response.body)
    except (ValueError, RecursionError):
        return {}
    return doc if isinstance(doc, dict) else {}
