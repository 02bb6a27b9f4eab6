"""Polls the health and load endpoints of the target.

Explanation
===========

The responses lag behind and may be wrong. Only the state `cold` and a changed
incarnation have an effect, which is to reduce the load; the utilisation is only
reported as a metric. No response increases the load or removes the target from
the list.
"""

import collections.abc
import json
import typing

from figdrum.admission import warmup as warmup_lib
from figdrum.agent import environment
from figdrum.core import ids
from figdrum.core import ports

INTERVAL_MS = 500
DEADLINE_MS = 1_000


class HealthPoller:
    """Polls `/health`, then `/load`.

    Args:
      env: Ports of the agent.
      service: Service of the target.
      warmup: Takes the reported state and incarnation.
      reached: Called with the time, in ms, of each response of any kind.
    """

    def __init__(self, env: environment.Environment, service: ids.ServiceName,
                 warmup: warmup_lib.Warmup,
                 reached: collections.abc.Callable[[int], None]):
        self._env = env
        self._service = service
        self._warmup = warmup
        self._reached = reached
        self._next_ms = 0
        self._busy = False

    def tick(self, now_ms: int) -> None:
        """Polls the target if a poll is due."""
        if self._busy or now_ms < self._next_ms:
            return
        self._next_ms = now_ms + INTERVAL_MS
        self._busy = True
        self._get('/health').addCallback(self._on_health).addCallback(
            lambda _: self._get('/load')).addCallback(self._on_load).addBoth(
                self._done)

    def _get(self, path: str) -> typing.Any:
        return self._env.target.call(
            ports.TargetRequest('GET', path, b'',
                                ids.CustomerId(''), self._service,
                                ids.IdempotencyKey(''), DEADLINE_MS))

    def _on_health(self, answer: ports.TargetAnswer) -> None:
        doc = _read(answer)
        now_ms = self._env.clock.now_ms()
        if answer.status != ports.NOT_CONNECTED:
            self._reached(now_ms)
        if isinstance(doc.get('incarnation'), (str, int)):
            self._warmup.on_incarnation(now_ms, str(doc['incarnation']))
        if isinstance(doc.get('state'), str):
            self._warmup.on_health(now_ms, doc['state'])

    def _on_load(self, answer: ports.TargetAnswer) -> None:
        utilisation = _read(answer).get('utilisation')
        if isinstance(utilisation, (int, float)):
            self._env.metrics.gauge('agent.target_utilisation', utilisation)

    def _done(self, result: typing.Any) -> None:
        self._busy = False
        if result is not None:
            self._env.metrics.incr('agent.health_failed')


def _read(answer: ports.TargetAnswer) -> dict:
    """Returns the JSON object of an answer, or an empty one."""
    try:
        doc = json.loads(answer.body)
    except (ValueError, RecursionError):
        return {}
    return doc if isinstance(doc, dict) else {}
