"""A check-in of another writer, which names a service that isn't configured."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins  # pylint: disable=wrong-import-position

CLIENTS = 12
LENGTH_S = 14.0
FOREIGN_AT_S = 4.0


async def main(folder):
    world = standins.World(folder, ('a', 'b'), (('fieldbook', 'a'),
                                                ('fieldbook', 'b'),
                                                ('fieldbook', 'b')))
    try:
        address = world.service_address(1)
        await world.configure({address: 'fieldbook'})
        if not await world.start_all(world.agents, world.balancers):
            return None
        await asyncio.sleep(3.0)
        start_s = standins.now_s()
        clients = [
            standins.Client(world, f'127.{world.net}.8.{n + 1}', 'ab'[n % 2],
                            address) for n in range(CLIENTS)
        ]
        counts = {}
        tasks = []
        for client in clients:
            await client.start()
            tasks.append(
                asyncio.create_task(
                    standins.use_flow(world, client, start_s + LENGTH_S,
                                      counts)))
        await asyncio.sleep(FOREIGN_AT_S)
        machine = world.agents[0]
        before = len(machine.server.openings)
        if standins.has_trouble():
            foreign = {
                'service': 'inventory',
                'address': f'{machine.host}:{world.ports["app"]}',
                'zone': machine.zone,
                'version': 'v9',
                'slots': 1,
                'state': 'ready',
                'warmupLeftMs': 0,
                'seq': 1,
                'born': int(time.time() * 1000)
            }
            answer = await standins.call_http(
                (machine.host, world.ports['control']), 'POST',
                '/figdrum/Instances.Heartbeat/i-0f0f0f0f',
                json.dumps(foreign).encode())
            world.record.write(f'check-in of another writer at {machine.name}: '
                               f'{json.dumps(foreign)} -> {answer}')
        await asyncio.gather(*tasks)
        standins.check_resets(world)
        after = len(machine.server.openings) - before
        world.record.write(f'outcomes {counts}; flows that the server of '
                           f'{machine.name} took after {FOREIGN_AT_S} s: {after}')
        return world.record.violations
    finally:
        world.end()


standins.run_case(main)
