"""Moves flows away from a target that does not answer.

Explanation
===========

`passive_health_check` decides when a target counts as down. While it is down,
the agent admits no flows and offers the held ones to other members.
"""

from figdrum.admission import controller
from figdrum.agent import environment
from figdrum.agent import health_poller
from figdrum.agent import offer_pacer
from figdrum.agent import passive_health_check
from figdrum.core import ids
from figdrum.telemetry import logs

_log = logs.part('agent')


class TargetMonitor:
    """Monitors the target and moves flows away while it is down.

    Args:
      env: The agent's clock, target and metrics.
      service: Service of the target.
      admission: Admits no new flows while the target is down.
      offer_sender: Offers the held flows to other members.
    """

    def __init__(self, env: environment.Environment, service: ids.ServiceName,
                 admission: controller.AdmissionController,
                 offer_sender: offer_pacer.OfferSender):
        self._env = env
        self._admission = admission
        self._passive_check = passive_health_check.PassiveHealthCheck()
        self._health_poller = health_poller.HealthPoller(
            env, service, admission.warmup, self._on_reached)
        self._offer_pacer = offer_pacer.OfferPacer(offer_sender)

    def on_result(self, answered: bool) -> None:
        """Records if the target answered a request."""
        was_down = self._passive_check.is_down
        self._passive_check.on_result(self._env.clock.now_ms(), answered)
        if self._passive_check.is_down and not was_down:
            _log.warning('the target does not answer')
            self._env.metrics.incr('agent.target_down')
            self._admission.target_down = True

    def tick(self, now_ms: int, leaving: bool) -> None:
        """Polls the target and offers flows; call it every 100 ms."""
        self._health_poller.tick(now_ms)
        if self._passive_check.is_down and not leaving:
            self._offer_pacer.tick(now_ms)

    def _on_reached(self, now_ms: int) -> None:
        if self._passive_check.on_reached(now_ms):
            _log.info('the target answers again')
            self._admission.target_down = False
            self._admission.warmup.reset_to_cold(now_ms)
