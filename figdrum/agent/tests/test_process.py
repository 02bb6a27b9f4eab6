"""Test of an agent process with stand-ins of the target and the platform.

The test acts as the balancer: it has a control stream and a frame port.
"""

import pathlib
import signal
import socket
import subprocess
import sys
import time

import aiocoap
import msgpack
import pytest

from figdrum.contracts import change
from figdrum.contracts import contract
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.messages import codec
from figdrum.messages import control
from figdrum.messages import datagram
from standins import http_call
from standins import process
from standins import world

DEADLINE_S = 60
POLL_S = 0.1
SETTINGS = """
[process]
name = fieldbook-1
zone = muscat-a
region = om-north
[agent]
service = fieldbook
frame_host = 127.0.0.1
frame_port = 0
balancers = 127.0.0.1:{control}
target = {target}
linger_ms = 200
drain_ms = 500
[platform]
url = http://{platform}
"""


class Balancer:
    """The control and frame sockets of a balancer."""

    def __init__(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.settimeout(DEADLINE_S)
        self.frames = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.frames.bind(('127.0.0.1', 0))
        self.frames.settimeout(2 * POLL_S)

    def subscribed(self) -> socket.socket:
        """Waits for a stream and its subscription; returns the stream."""
        stream, _ = self.listener.accept()
        stream.settimeout(DEADLINE_S)
        unpacker = msgpack.Unpacker(use_list=False)
        while True:
            unpacker.feed(stream.recv(4096))
            for obj in unpacker:
                assert isinstance(codec.from_object(obj), control.Subscribe)
                return stream

    def ask(self, address, message, kind):
        """Repeats a message until a reply of type `kind` arrives."""
        limit = time.monotonic() + DEADLINE_S
        while time.monotonic() < limit:
            self.frames.sendto(codec.encode(message), address)
            try:
                answer = codec.decode(self.frames.recv(65_536))
            except TimeoutError:
                continue
            if isinstance(answer, kind):
                return answer
        raise AssertionError(f'no answer to {message}')

    def close(self) -> None:
        """Closes both sockets."""
        self.listener.close()
        self.frames.close()


def read_list(platform):
    """Returns the list of the service and the store's revision."""
    doc = http_call.get(platform, '/objects?prefix=lists/')
    for item in doc['items']:
        return service_list.ServiceList.from_json(
            'fieldbook', item['version'], item['value']), doc['revision']
    return service_list.ServiceList.empty('fieldbook'), doc['revision']


def wait_for(platform, state):
    """Waits until the member has a state in the list."""
    limit = time.monotonic() + DEADLINE_S
    while time.monotonic() < limit:
        members, revision = read_list(platform)
        own = members.find('fieldbook-1')
        if own is not None and own.state is state:
            return members, revision
        time.sleep(POLL_S)
    raise AssertionError(f'never {state}')


def grants() -> str:
    """Returns the first change: a contract for the caller's customer."""
    grant = contract.Grant(world.CUSTOMER, world.SERVICE, world.SERVICE_ADDRESS)
    body = change.ContractSet(
        contract.Contract(world.CUSTOMER, (grant,), (),
                          contract.Limits(9, 9, 9), 1))
    return change.Change(1, 'id-1', 'p', 'ana', 'rui', 0, 0, 1, body).to_json()


@pytest.fixture(name='site')
def make_site(tmp_path):
    """Returns a balancer, a platform and an agent; ends them."""
    balancer = Balancer()
    platform = process.Process.start_standin('platform_server')
    target = process.Process.start_standin('target', '--name', 'fieldbook-1',
                                           '--service', 'fieldbook')
    path = tmp_path / 'agent.ini'
    path.write_text(
        SETTINGS.format(control=balancer.listener.getsockname()[1],
                        target=target.address('http'),
                        platform=platform.address('http')))
    root = pathlib.Path(__file__).resolve().parents[3]
    with subprocess.Popen(
        [sys.executable, '-m', 'figdrum', 'agent', '-c',
         str(path)], cwd=root) as agent:
        yield balancer, platform.address('http'), agent
        agent.kill()
    target.stop()
    platform.stop()
    balancer.close()


def test_agent_serves_and_leaves(site):
    """Guards against an agent that works only in virtual time."""
    balancer, platform, agent = site
    stream = balancer.subscribed()
    members, revision = wait_for(platform, states.MemberState.ACTIVE)
    entries = (control.Entry('lists/fieldbook', members.to_json(),
                             members.version,
                             1), control.Entry(change.key(1), grants(), 1, 2))
    stream.sendall(codec.encode(control.Delta(0, revision + 2, entries, 0)))
    address = members.members[0].address
    for bad in (b'', b'\xc1', b'\x00' * 900, msgpack.packb([1, 0, 'x'])):
        balancer.frames.sendto(bad, address)
    flow = world.flow_of(1)
    reply = balancer.ask(
        address,
        datagram.Packet(1, members.version, world.CUSTOMER, world.SERVICE, flow,
                        True, balancer.frames.getsockname(),
                        world.coap(uri_path=('visits',))), datagram.Reply)
    answer = aiocoap.Message.decode(reply.payload)
    assert reply.flow == flow and answer.code is aiocoap.CONTENT
    assert b'fieldbook-1' in answer.payload
    assert balancer.ask(address, datagram.Ping(7),
                        datagram.Pong) == datagram.Pong(7, 'fieldbook-1')
    agent.send_signal(signal.SIGTERM)
    stream.close()
    # No other member can accept the flow, so the agent keeps it until
    # drain_ms.
    wait_for(platform, states.MemberState.LEFT)
    assert agent.wait(DEADLINE_S) == 0
