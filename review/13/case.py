"""Configurations come in quick succession while the configuration is large."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

import fleet as fleet_module  # noqa: E402

# Smallest link of a front machine in the sheets.
LINK_MBPS = 5
# Routes without traffic at first, and those added at once.
IDLE_ROUTES = 240
ADDED_ROUTES = 1_600
# Changes in quick succession: a change each GAP_S for STORM_S.
GAP_S = 0.33
STORM_S = 4.0
CONFIG_APPLY_MS = 5_000
JUDGED_S = 20
FLOWS_PER_S = 10


async def case(has_trouble):
    """Returns whether CONFIG held."""
    fleet = fleet_module.Fleet(FOLDER, ['booking', 'catalogue'], ['a', 'a'],
                               [('a', 'booking')] * 2 + [('a', 'catalogue')],
                               warmup_s=2,
                               cold_per_s=20,
                               front_link_mbps=LINK_MBPS)
    fleet.add_idle_routes(IDLE_ROUTES)
    try:
        await fleet.start()
        clients = [
            fleet_module.ShortFlows(fleet, 'a', f'127.{fleet.network}.8.{n}',
                                    service)
            for n, service in enumerate(fleet.services, 1)
        ]
        for flows in clients:
            await flows.start()
            fleet.spawn(flows.run(FLOWS_PER_S, 45))
        await asyncio.sleep(2)
        fleet.add_idle_routes(ADDED_ROUTES)
        fleet.write_configuration()
        await asyncio.sleep(6)
        changes = int(STORM_S / GAP_S) if has_trouble else 0
        for number in range(changes):
            fleet.timeout_ms = 5_000 + number
            fleet.write_configuration()
            await asyncio.sleep(GAP_S)
        # The last change removes the route of the second service.
        fleet.dropped.add('catalogue')
        fleet.write_configuration()
        dropped_ms = fleet_module.now_ms()
        size = fleet.store.size('config', 'main')
        fleet.record.write('route dropped',
                           service='catalogue',
                           version=fleet.version)
        await asyncio.sleep(JUDGED_S)
        late = [
            start_ms - dropped_ms
            for start_ms, outcome in clients[1].requests
            if start_ms > dropped_ms + CONFIG_APPLY_MS and outcome == 'answered'
        ]
        asked = sum(start_ms > dropped_ms + CONFIG_APPLY_MS
                    for start_ms, _ in clients[1].requests)
        print(f'the configuration has {size} bytes')
        print(f'{len(late)} of {asked} requests that were sent later than '
              f'{CONFIG_APPLY_MS} ms after their route was dropped were run, '
              f'the last one {max(late, default=0):.0f} ms after')
        fleet.record.write('result',
                           late=len(late),
                           asked=asked,
                           last_ms=f'{max(late, default=0):.0f}')
        for machine in fleet.fronts:
            fleet.record.write('configurations',
                               machine=machine.name,
                               known=[
                                   line.get('version')
                                   for line in fleet.log_lines(machine)
                                   if line['event'] == 'configuration'
                               ])
        for flows in clients:
            print(dict(flows.outcomes))
        return not late
    finally:
        await fleet.close()


fleet_module.run_case(case)
