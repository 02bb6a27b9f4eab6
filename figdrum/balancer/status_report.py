"""Reports a balancer's state to the metrics and its changes to the log."""

from figdrum.balancer import counters
from figdrum.core import ids
from figdrum.routing import router
from figdrum.routing import serving
from figdrum.sync import gossip
from figdrum.telemetry import logs

_log = logs.part('balancer')


class StatusReport:
    """Reports the state of a balancer's parts once a second."""

    def __init__(self, zone: ids.ZoneName, gate: serving.ServingGate,
                 gossip_controller: gossip.GossipController,
                 packet_router: router.Router, counts: counters.Counters,
                 sink: counters.MetricsSink):
        self._zone = zone
        self._gate = gate
        self._gossip = gossip_controller
        self._router = packet_router
        self._counts = counts
        self._sink = sink
        self._last_logged = ''

    def report(self, now_ms: int) -> None:
        """Sends counters and gauges, and logs a changed serving state."""
        self._log_state(now_ms)
        self.flush()
        for name, value in self._gauges(now_ms).items():
            self._sink.gauge(f'balancer.{name}', value)

    def flush(self) -> None:
        """Sends the counters."""
        self._counts.flush(self._sink)

    def _gauges(self, now_ms: int) -> dict[str, int]:
        return {
            'serving': int(self._gate.drop_reason(now_ms) is None),
            'behind': int(self._gossip.is_behind(now_ms)),
            'reader': int(self._gossip.is_reader()),
            'platform_up': int(self._gossip.platform_up),
            'confirmed_age_ms': self._gossip.confirmed_age_ms(now_ms),
            'revision': self._gossip.replica.revision,
            'change': self._gossip.replica.contracts.change,
            'peers': len(self._gossip.peers()),
            'suspected_agents': len(self._router.suspected()),
            'control_dropped': self._gossip.dropped,
        }

    def _log_state(self, now_ms: int) -> None:
        contracts = self._gossip.replica.contracts
        state = self._gate.state.value
        reason = self._gate.drop_reason(now_ms)
        if reason is not None:
            state += f', drops packets: {reason.value}'
        elif self._zone in contracts.zones_out:
            state += ', drops packets: own_zone_out'
        if state != self._last_logged:
            self._last_logged = state
            _log.info('%s, revision %d, change %d', state,
                      self._gossip.replica.revision, contracts.change)
