"""Heartbeats and entries of another writer that cannot be decoded."""

import random
import typing
import urllib.error
import urllib.request

from twisted.internet import threads

from figdrum.registry import registrations
from standins.soak import deployment as deployment_module
from standins.soak import layout
from standins.soak import store as store_module

TIMEOUT_S = 1.0

HEARTBEAT = (b'{"service":"fieldbook","address":"127.0.0.1:1","zone":"a",'
             b'"version":"v1","slots":1,"state":"ready","warmupLeftMs":0,'
             b'"seq":1,"born":1}')

# Texts of entries end where they seem to, so that the rest of the store's
# answer can be read.
ENTRIES = (b'{"agent":"\x01"}', b'{"agent":"\\q"}', b'{agent:1}',
           b'{"agent":1,}', b'[1 2]', b'{"agent":"\xff"}', b'9' * 5_000)

KINDS = (registrations.KIND, 'config')


class UnreadableInputs:
    """Sends such inputs; they must neither end a process nor be accepted."""

    def __init__(self, deployment: deployment_module.Deployment, seed: int):
        self._deployment = deployment
        # Drawn apart, so that the faults of the seed stay as they are.
        self._rng = random.Random(f'{seed} unreadable')

    def schedule(self, from_s: float, to_s: float, count: int) -> None:
        """Draws inputs and schedules them.

        Args:
          from_s: Earliest time, in seconds from now.
          to_s: Latest time, in seconds from now.
          count: Number of heartbeats, and of entries.
        """
        call_later = self._deployment.reactor.callLater
        for number in range(count):
            call_later(self._rng.uniform(from_s, to_s), self._send_heartbeat,
                       self._rng.choice(self._deployment.agents),
                       self._draw_heartbeat())
            kind, name = self._rng.choice(KINDS), f'odd-{number}'
            start_s, end_s = sorted(
                self._rng.uniform(from_s, to_s) for _ in range(2))
            call_later(start_s, self._deployment.store.put, kind, name,
                       store_module.Raw(self._rng.choice(ENTRIES)))
            call_later(end_s, self._deployment.store.delete, kind, name)

    def _draw_heartbeat(self) -> bytes:
        """Returns a heartbeat that ends early or has a control character."""
        at = self._rng.randrange(len(HEARTBEAT))
        if self._rng.random() < 0.5:
            return HEARTBEAT[:at]
        return HEARTBEAT[:at] + b'\x01' + HEARTBEAT[at + 1:]

    def _send_heartbeat(self, machine: layout.Machine, body: bytes) -> None:
        done = threads.deferToThread(_post, machine, body)
        done.addCallbacks(lambda status: self._check(machine, body, status),
                          lambda _: None)

    def _check(self, machine: layout.Machine, body: bytes,
               status: int) -> typing.Any:
        if status != 400:
            self._deployment.observations.note_violation(
                'unreadable heartbeat', self._deployment.now_ms(),
                f'{machine.name}: {status} for {body!r}')


def _post(machine: layout.Machine, body: bytes) -> int:
    """Returns the status of the response.

    Raises:
      OSError: if there is none, since the process is disturbed.
    """
    req = urllib.request.Request(
        f'http://{machine.host}:{layout.CONTROL_PORT}'
        '/figdrum/Instances.Heartbeat/i-other', body,
        {'Content-Type': 'application/json'})
    try:
        with urllib.request.urlopen(req, timeout=TIMEOUT_S) as response:
            return response.status
    except urllib.error.HTTPError as exc:
        return exc.code
