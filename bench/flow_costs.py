"""Measures a balancer's CPU time per packet as the targets of a service grow.

Explanation
===========

Run it with `python -m bench flow_costs`. All targets are registered and have
reported, and the packets go through `Balancer.on_client_packet`:

* `opening_us`: an opening packet, for which a target is chosen;
* `unknown_us`: a packet of a flow whose owner is not known, which starts a
  search.
"""

import time
import typing

from bench import measure
from figdrum.core import ids
from figdrum.flows import balancer as balancer_module
from figdrum.flows import messages
from figdrum.flows import routes
from figdrum.flows import target as target_module
from figdrum.flows.tests import packets

TARGET_COUNTS = (7, 109, 1_000)
PACKET_COUNT = 300
SERVICE = ids.ServiceName('one')
_REPEATS = 3


class Row(typing.NamedTuple):
    """CPU time at a number of targets.

    Attributes:
      targets: Targets of the service.
      opening_us: CPU time of an opening packet, in us.
      unknown_us: CPU time of a packet of a flow without a known owner, in us.
    """
    targets: int
    opening_us: float
    unknown_us: float


def _make_balancer(targets: int) -> balancer_module.Balancer:
    balancer = balancer_module.Balancer(
        0, packets.TestFormat(), ids.ZoneName('a'),
        balancer_module.ColdRateTolerance(cold_overage=1.5, cold_slack=5))
    route = routes.Route('route-1', 'safe', (routes.Share(SERVICE, 1.0),))
    balancer.on_configuration(
        0, routes.Configuration(1, {packets.address_of(1): route}, {}))
    report = messages.encode(
        messages.Report(messages.service_tag(SERVICE), 'i-1@1', 'ready', False,
                        0.3, 4, 1, 1_000, messages.NO_KNOWLEDGE))
    for number in range(targets):
        agent = (f'target-{number}', 2)
        balancer.on_registration(
            0, f'target-{number}',
            target_module.Registration(agent, ids.ZoneName('abc'[number % 3]),
                                       SERVICE, f'i-{number}@1',
                                       target_module.TargetState.READY, False))
        balancer.on_message(0, agent, report)
    return balancer


def packet_us(targets: int, flags: int) -> float:
    """Returns the CPU time of a packet of an unknown flow, in us.

    Args:
      targets: Targets of the service.
      flags: Flags of the packet.
    """
    times_s = []
    for _ in range(_REPEATS):
        balancer = _make_balancer(targets)
        data = [
            packets.build(flags, packets.flow_key(number), 0, 9)
            for number in range(PACKET_COUNT)
        ]
        balancer.on_client_packet(1, data[0])
        started_s = time.process_time()
        for raw in data:
            balancer.on_client_packet(1, raw)
        times_s.append(time.process_time() - started_s)
    return 1e6 * min(times_s) / PACKET_COUNT


class FlowCosts(measure.Measure):
    """Measures the packets at all numbers of targets."""
    name = 'flow_costs'

    def run(self, seed: int) -> measure.Table:
        rows = tuple(
            Row(count, packet_us(count, packets.OPENING), packet_us(count, 0))
            for count in TARGET_COUNTS)
        return measure.Table(self.name, self.command, seed, rows)


MEASURE = FlowCosts
