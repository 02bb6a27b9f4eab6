"""Records the traces in `traces/` (`python -m bench.record_traces`).

Explanation
===========

Each trace holds the decisions of all agents and of one balancer's router while
a failure happens in virtual time. The expected outcome in
`traces/<name>.json` was written before the run; `bench/tests/test_traces.py`
compares it with the recorded one and replays the trace through the decision
code.
"""

import collections
import pathlib
import typing

from figdrum.ownership import actions
from figdrum.routing import router
from figdrum.telemetry import trace as trace_lib
from figdrum.telemetry import values
from standins import world as world_lib

TRACES = pathlib.Path(__file__).parent.parent / 'traces'
ZONES = ('zone-a', 'zone-b', 'zone-c')
FLOW_COUNT = 6


class Outcome(typing.NamedTuple):
    """Counts of the decisions in a trace.

    Attributes:
        admitted: Flows that an agent admitted as new.
        admitted_twice: Flows admitted more than once.
        refused: Packets refused.
        forwarded: Packets that the router forwarded.
        dropped: Packets that it dropped.
    """
    admitted: int
    admitted_twice: int
    refused: int
    forwarded: int
    dropped: int


def summarize(steps: typing.Iterable[trace_lib.Step]) -> Outcome:
    """Counts the decisions in recorded steps."""
    admitted = collections.Counter()
    counts = collections.Counter()
    for step in steps:
        decided = values.decode(step.actions)
        for action in decided if isinstance(decided, (list, tuple)) else ():
            if isinstance(action, actions.Deliver) and action.started:
                admitted[action.packet.flow] += 1
            counts[type(action)] += 1
        counts[type(decided)] += 1
    return Outcome(len(admitted), sum(n > 1 for n in admitted.values()),
                   counts[actions.Refuse], counts[router.Forward],
                   counts[router.Dropped])


def _drain(world: world_lib.World) -> None:
    """Drains the agent that holds the first flow."""
    name = world.holder(world_lib.flow_of(0))[0]
    world.agents[name].start_drain()
    world.run(1500)


def _pause(world: world_lib.World) -> None:
    """Pauses the agent that holds the first flow for 1 s."""
    name = world.holder(world_lib.flow_of(0))[0]
    world.paused.add(name)
    world.run(1000)
    world.paused.discard(name)
    world.run(700)


def _take_zone_out(world: world_lib.World) -> None:
    """Takes the balancer's own zone out of service."""
    world.set_contract(out='zone-a')
    world.run(300)


EVENTS = {'drain': _drain, 'pause': _pause, 'zone': _take_zone_out}


def record(name: str, path: str) -> None:
    """Records the event `name`, with requests before and after, to `path`."""
    writer = trace_lib.TraceWriter(path)
    world = world_lib.World(cold_rate=50, full_rate=200, slots=4)
    for number, zone in enumerate(ZONES):
        world.add(f'agent-{number}', zone, trace=writer)
        world.run(200)
    world.run(800)
    balancer = world.add_balancer('zone-a', writer)

    def send_requests(mid: int) -> None:
        for number in range(FLOW_COUNT):
            balancer.send(world_lib.flow_of(number),
                          world_lib.coap(mid=mid, uri_path=('visits',)))
            world.run(50)

    send_requests(1)
    EVENTS[name](world)
    send_requests(2)
    writer.close()


def main() -> None:
    """Records all traces."""
    for name in EVENTS:
        record(name, str(TRACES / f'{name}.trace'))


if __name__ == '__main__':
    main()
