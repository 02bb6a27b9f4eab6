"""A balancer is rolled while another one doesn't know a new server yet."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins  # pylint: disable=wrong-import-position

# Clients with open flows before the server is added, and others that come once
# it isn't cold any more.
EARLY_CLIENTS = 10
CLIENTS = 40
LENGTH_S = 12.0

# Age of what the second balancer's calls with `serializable` return.
LAG_S = 5.0

# After its start, the added server is cold for this time. The first balancer is
# stopped RESTART_AFTER_S after that start.
WARMUP_S = 2.0
RESTART_AFTER_S = 2.4


async def use_late_flow(world, client, start_s, end_s, counts):
    await asyncio.sleep(max(0.0, start_s - standins.now_s()))
    await standins.use_flow(world, client, end_s, counts, pause_s=0.25)


async def main(folder):
    world = standins.World(folder, ('a', 'b'),
                           [('fieldbook', 'ab'[n % 2]) for n in range(6)])
    try:
        first, second = world.balancers
        second.store_lag_s = LAG_S
        address = world.service_address(1)
        await world.configure({address: 'fieldbook'})
        *agents, added = world.agents
        if not await world.start_all(agents, world.balancers):
            return None
        # The second balancer's copy shows the servers after LAG_S.
        await asyncio.sleep(LAG_S + 3.0)
        counts = {}
        tasks = []
        clients = []
        for n in range(EARLY_CLIENTS + CLIENTS):
            clients.append(
                standins.Client(world, f'127.{world.net}.8.{n + 1}', 'a',
                                address))
            await clients[-1].start()
        end_s = standins.now_s() + LENGTH_S
        for n, client in enumerate(clients[:EARLY_CLIENTS]):
            tasks.append(
                asyncio.create_task(
                    use_late_flow(world, client,
                                  standins.now_s() + 0.02 * n, end_s, counts)))
        # A server is added, with its machine.
        world.launch(added)
        await asyncio.sleep(0.5)
        added.server = standins.Server(world, added)
        await added.server.start(warmup_s=WARMUP_S)
        added_s = standins.now_s()
        world.record.write(f'server added beside {added.name}')
        for n, client in enumerate(clients[EARLY_CLIENTS:]):
            tasks.append(
                asyncio.create_task(
                    use_late_flow(world, client,
                                  added_s + WARMUP_S + 0.2 + 0.015 * n, end_s,
                                  counts)))
        await asyncio.sleep(RESTART_AFTER_S)
        if standins.has_trouble():
            # The first balancer is stopped and started again, as planned.
            world.signal(first, signal.SIGTERM)
        await asyncio.gather(*tasks)
        standins.check_resets(world)
        world.record.write(
            f'outcomes {counts}; flows taken beside {added.name}: '
            f'{len(added.server.openings)}')
        return world.record.violations
    finally:
        world.end()


standins.run_case(main)
