"""Processes that `bench.speed` sends packets through.

Explanation
===========

`python -m bench.speed_child ROLE ARGUMENT` binds loopback ports, prints them as
one line of JSON and runs until its standard input ends.

* `forwarder HOST:PORT`: a twisted process that forwards datagrams unchanged.
* `echo -`: answers each datagram to its sender.
* `balancer JSON`: a complete balancer with an in-memory platform store. The
  argument holds the port of the fabric and the ports of the agents.
* `agent -`: an agent with a target that answers immediately.
"""

import json
import random
import sys

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import stdio

from figdrum.agent import core
from figdrum.agent import environment
from figdrum.balancer import process
from figdrum.balancer import reactor_timers
from figdrum.contracts import change
from figdrum.contracts import contract
from figdrum.contracts import state
from figdrum.core import clock
from figdrum.core import ports
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.object_api import memory_store
from figdrum.settings import schema
from figdrum.telemetry import metrics

HOST = '127.0.0.1'
CUSTOMER = 'customer-1'
SERVICE = 'service-1'
ZONE = 'zone-1'
SERVICE_ADDRESS = ('10.9.0.1', 5683)
AGENT_NAME = 'service-1-1'
_START_RATE_PER_S = 1e6


class _Forwarder(protocol.DatagramProtocol):
    """Forwards datagrams to one address, or echoes them if it is None."""
    noisy = False

    def __init__(self, destination):
        self._destination = destination

    def datagramReceived(self, datagram, addr):
        self.transport.write(datagram, self._destination or addr)


class _ImmediateTarget(ports.Target):
    """Answers each request immediately."""

    def call(self, req):
        return defer.succeed(ports.TargetAnswer(200, b'1'))


class _FrameProtocol(protocol.DatagramProtocol, ports.PeerPort):
    """Sends and receives the agent's frames."""
    noisy = False

    def __init__(self):
        self.core = None

    def datagramReceived(self, datagram, addr):
        self.core.on_datagram(addr, datagram)

    def send(self, address, datagram):
        self.transport.write(datagram, address)


class _StdinWatcher(protocol.Protocol):
    """Stops the reactor when the parent closes standard input."""

    def connectionLost(self, reason=protocol.connectionDone):
        if reactor.running:
            reactor.stop()


def contract_set() -> change.Change:
    """Returns the change that grants the service's address."""
    grant = contract.Grant(CUSTOMER, SERVICE, SERVICE_ADDRESS)
    body = change.ContractSet(
        contract.Contract(CUSTOMER, (grant,), ('127.0.0.0/8', '192.0.2.0/24'),
                          contract.Limits(10**6, 10**6, 10**6), 1))
    return change.Change(1, 'change-of-p', 'p', 'ana', 'bo', 1, 0, 1, body)


def _listen_udp(datagrams) -> int:
    port = reactor.listenUDP(0, datagrams, interface=HOST, maxPacketSize=65_536)
    return port.getHost().port


def _settings(name: str, **section) -> schema.Settings:
    return schema.Settings(process=schema.Process(name=name,
                                                  zone=ZONE,
                                                  region='region-1'),
                           platform=schema.Platform(url='http://127.0.0.1:1'),
                           **section)


def run_forwarder(argument: str) -> dict:
    """Starts the forwarder; returns its port."""
    host, _, port = argument.rpartition(':')
    return {'port': _listen_udp(_Forwarder((host, int(port))))}


def run_echo(argument: str) -> dict:
    """Starts the echo server; returns its port."""
    del argument
    return {'port': _listen_udp(_Forwarder(None))}


def run_balancer(argument: str) -> dict:
    """Starts a balancer; returns its packet port and its frame port."""
    config = json.loads(argument)
    db = memory_store.MemoryStore(reactor_timers.ReactorTimers(reactor))
    members = tuple(
        service_list.Member(f'service-1-{i + 1}', (
            HOST, port), ZONE, 1, states.MemberState.ACTIVE)
        for i, port in enumerate(config['agents']))
    first_change = contract_set()
    db.put(change.key(1), first_change.to_json(), 0)
    db.put(f'lists/{SERVICE}',
           service_list.ServiceList(SERVICE, 1, members).to_json(), 0)
    section = schema.Balancer(packet_host=HOST,
                              packet_port=0,
                              frame_port=0,
                              control_port=0,
                              fabric=(HOST, config['fabric']))
    balancer = process.Process(_settings('lb-1', balancer=section), reactor,
                               clock.SystemClock(), db, metrics.NullMetrics(),
                               random.Random(1))
    balancer.start()
    return {
        'port': balancer.addresses.packets[1],
        'frames': balancer.addresses.frames[1]
    }


def run_agent(argument: str) -> dict:
    """Starts an agent, the only member of its service; returns its port."""
    del argument
    frames = _FrameProtocol()
    address = (HOST, _listen_udp(frames))
    section = schema.Agent(service=SERVICE,
                           frame_host=HOST,
                           frame_port=address[1],
                           balancers=((HOST, 1),),
                           target=(HOST, 1),
                           slots=1_000,
                           connections=100_000,
                           cold_rate=_START_RATE_PER_S,
                           full_rate=_START_RATE_PER_S)
    timers = reactor_timers.ReactorTimers(reactor)
    db = memory_store.MemoryStore(timers)
    env = environment.Environment(clock.SystemClock(), timers, frames,
                                  _ImmediateTarget(), db, metrics.NullMetrics(),
                                  random.Random(1))
    agent = frames.core = core.AgentCore(_settings(AGENT_NAME, agent=section),
                                         address, env, lambda: None)
    agent.start()
    stored_list = db.get(f'lists/{SERVICE}').result
    members = service_list.ServiceList.from_json(SERVICE, stored_list.version,
                                                 stored_list.value)
    contracts = state.fold(state.ContractState.empty(), contract_set())
    agent.on_replica(members, contracts)

    def tick():
        reactor.callLater(section.tick_ms / clock.MS_PER_S, tick)
        agent.tick()

    tick()
    return {'port': address[1]}


ROLES = {
    'forwarder': run_forwarder,
    'echo': run_echo,
    'balancer': run_balancer,
    'agent': run_agent,
}


def main(role: str, argument: str) -> None:
    """Runs one role until standard input ends."""
    stdio.StandardIO(_StdinWatcher())
    addresses = ROLES[role](argument)

    def print_addresses():
        sys.__stdout__.write(json.dumps(addresses) + '\n')
        sys.__stdout__.flush()

    # A balancer serves only after its first read of the platform store, which
    # happens at its first tick.
    reactor.callLater(0.2, print_addresses)
    reactor.run()


if __name__ == '__main__':
    main(*sys.argv[1:])
