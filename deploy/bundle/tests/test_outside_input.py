"""Bytes from outside that the built program cannot read.

Each case is the first such input of a new process: code that an earlier one has
imported would hide a fault.
"""

import http.client
import http.server
import json
import socket
import threading
import time

import built_program
import bundle
import pytest

from figdrum.core import ids
from figdrum.flows import messages
from figdrum.flows import target
from figdrum.registry import registrations

HEARTBEAT = {
    'service': 'fieldbook',
    'slots': 2,
    'state': 'ready',
    'warmupLeftMs': 0,
    'seq': 1,
    'born': 1_700_000_000_000
}

UNREADABLE = {
    # The scanner of `_json` looks the exception for these up in `json.decoder`.
    'control character': b'{"service":"shop\x01"}',
    'end in a string': b'{"service":"shop","ver',
    'end in an object': b'{"slots":1',
    'end in an array': b'[1',
    'trailing comma': b'{"slots":1,}',
    'name without quotes': b'{slots:1}',
    'escape': b'{"service":"\\q"}',
    # It raises its own for these, or is not reached.
    'no value': b'{"slots":}',
    'not UTF-8': b'{"service":"\xff"}',
    'number of 5,000 digits': b'{"slots":' + b'9' * 5_000 + b'}',
    'nested too deeply': b'[' * 20_000,
    'a space': b' ',
}

each_unreadable = pytest.mark.parametrize('text',
                                          UNREADABLE.values(),
                                          ids=UNREADABLE)

# Flow from 100.64.0.7:40001 to 198.18.0.1:443, as in a client's packet.
KEY = bytes((198, 18, 0, 1, 100, 64, 0, 7)) + b'\x01\xbb\x9c\x41'
OPENING = b'\x08\0' + KEY + bytes(18)
CONFIGURATION = {
    'version': 1,
    'routes': [{
        'name': 'r-1',
        'hostname': '198.18.0.1',
        'pathPrefix': '/443/',
        'routeType': 'safe',
        'service': 'fieldbook'
    }],
    'services': [{
        'name': 'fieldbook',
        'coldPerS': 0
    }]
}


class _StoreServer(http.server.ThreadingHTTPServer):
    """A store that nobody changes.

    Attributes:
      objects: Specs by kind and name.
      odd_spec: Text of the spec of a further entry in the first list of each
        kind; empty for none.
      listed: Kinds whose first list has had that entry.
      is_closing: Set at the end, when open watches are answered.
    """

    def __init__(self):
        super().__init__(('127.0.0.1', 0), _StoreHandler)
        self.objects = {'config': {'main': CONFIGURATION}}
        self.odd_spec = b''
        self.listed: set[str] = set()
        self.is_closing = threading.Event()

    @property
    def address(self) -> str:
        """Address for the settings of a process."""
        return f'127.0.0.1:{self.server_port}'


class _StoreHandler(http.server.BaseHTTPRequestHandler):
    """Answers a call to a `_StoreServer`."""

    protocol_version = 'HTTP/1.1'

    # Names of methods are those of the base class.
    # pylint: disable=invalid-name

    def do_GET(self) -> None:
        """Answers a list, a watch or a read."""
        kind, _, query = self.path.removeprefix('/figdrum/objects/').partition(
            '?')
        if 'watch=' in query:
            # Nothing changes.
            self.server.is_closing.wait(built_program.TIMEOUT_S)
            self._answer(200, b'{"events": [], "storeRevision": 12}')
        elif '/' in kind:
            self._answer(404, b'{}')
        else:
            items = [
                json.dumps({
                    'meta': {
                        'name': name,
                        'revision': 11
                    },
                    'spec': spec
                }).encode()
                for name, spec in self.server.objects.get(kind, {}).items()
            ]
            if self.server.odd_spec and kind not in self.server.listed:
                self.server.listed.add(kind)
                items.insert(
                    0, b'{"meta": {"name": "odd", "revision": 10}, "spec": ' +
                    self.server.odd_spec + b'}')
            self._answer(
                200, b'{"items": [' + b', '.join(items) +
                b'], "storeRevision": 12, "hasMore": false}')

    def do_POST(self) -> None:
        """Refuses a write."""
        self._answer(503, b'{}')

    def _answer(self, status: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header('Store-Era', '1')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        pass


@pytest.fixture(name='store')
def _store():
    server = _StoreServer()
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield server
    server.is_closing.set()
    server.shutdown()
    thread.join()
    server.server_close()


def _post_heartbeat(running: built_program.Running, body: bytes) -> int:
    """Returns the status of the response to a heartbeat."""
    connection = http.client.HTTPConnection(*running.address('listen.control'),
                                            timeout=built_program.TIMEOUT_S)
    connection.request('POST', '/figdrum/Instances.Heartbeat/i-1', body)
    status = connection.getresponse().status
    connection.close()
    return status


def _accepts_heartbeats(running: built_program.Running) -> bool:
    """Returns whether an agent accepts a heartbeat, as after its first reads.
    """
    deadline_s = time.monotonic() + built_program.TIMEOUT_S
    sequence = 0
    while time.monotonic() < deadline_s:
        sequence += 1
        body = json.dumps({**HEARTBEAT, 'seq': sequence}).encode()
        if _post_heartbeat(running, body) == 200:
            return True
        time.sleep(0.05)
    return False


# A heartbeat that is no JSON ended the agent: its packets were lost until the
# next process ran, which ended with the next one (review, case 7).
@each_unreadable
def test_agent_refuses_an_unreadable_heartbeat_and_runs_on(
        app, tmp_path, store, text):
    with built_program.start(app, 'agent', tmp_path,
                             **{'platform.address': store.address}) as running:
        assert _post_heartbeat(running, text) == 400
        assert _accepts_heartbeats(running)
        assert running.process.poll() is None


# A list of the store with an entry that is no JSON ended the balancer, again at
# each start while the entry was there.
@each_unreadable
def test_balancer_reads_on_after_an_unreadable_entry(app, tmp_path, store,
                                                     text):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as agent:
        agent.bind(('127.0.0.1', 0))
        agent.settimeout(0.1)
        registration = target.Registration(agent.getsockname(),
                                           ids.ZoneName('a'),
                                           ids.ServiceName('fieldbook'),
                                           'i-1@5', target.TargetState.READY,
                                           False)
        store.objects[registrations.KIND] = {
            registrations.object_name(registration.agent):
                registrations.encode(registration)
        }
        store.odd_spec = text
        with built_program.start(app, 'balancer', tmp_path,
                                 **{'platform.address': store.address
                                   }) as running:
            assert _forwards(running, agent)
            assert running.process.poll() is None
    assert store.listed.issuperset(('config', registrations.KIND))


def _forwards(running: built_program.Running, agent: socket.socket) -> bool:
    """Returns whether a balancer forwards an opening packet to an agent."""
    # One that is lost is sent again.
    for _ in range(int(built_program.TIMEOUT_S / agent.gettimeout())):
        agent.sendto(OPENING, running.address('listen.datagramAddr'))
        try:
            while True:
                if isinstance(messages.decode(agent.recv(4_096)),
                              messages.ForwardedPacket):
                    return True
        except TimeoutError:
            if running.process.poll() is not None:
                return False
    return False


# A settings file with other bytes than UTF-8 ended a process that read it anew,
# though it had the earlier settings.
@pytest.mark.parametrize('role', bundle.ROLES)
@pytest.mark.parametrize('data', [b'\xff', b'[process]\nname=\xed\xa0\x80\n'])
def test_unreadable_settings_are_refused(app, tmp_path, role, data):
    with built_program.start(app, role, tmp_path) as running:
        settings = running.path.read_bytes()
        running.path.write_bytes(data)
        assert running.has_logged('settings refused')
        running.path.write_bytes(settings)
        assert running.has_logged('reload')
