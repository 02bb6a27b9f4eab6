"""A client of the soak has at most one request at a time."""

import random

from twisted.internet import task

from standins.soak import clients
from standins.soak import flow_checker
from standins.soak import layout
from standins.soak import observations as observations_module
from standins.soak import wire

HOST = '127.0.0.1'
SERVICE = ('127.0.9.1', 443)
INITIAL_SEQ = 1_000


class _Port:
    """UDP port that records the packets that the client sends."""

    def __init__(self):
        self.sent: list[wire.Packet] = []

    def write(self, raw, address):
        """Records a datagram."""
        del address
        self.sent.append(wire.decode(raw))


class _Clock(task.Clock):
    """Test clock whose `listenUDP` returns a recording port."""

    def __init__(self):
        super().__init__()
        self.port = _Port()

    def listenUDP(self, *args, **kwargs):  # pylint: disable=invalid-name
        """Returns the recording port."""
        del args, kwargs
        return self.port


def _answer(request: wire.Packet) -> bytes:
    text = f'200 {request.data.split()[1].decode()} server'.encode()
    return wire.encode(wire.ACK, SERVICE, request.src, INITIAL_SEQ + 1, 0, text)


def _client(clock: _Clock,
            observations: observations_module.Observations) -> clients.Client:
    front = layout.plan_machines(33, 1, {}, 1)
    client = clients.Client(clock,
                            HOST,
                            'a',
                            service=SERVICE,
                            is_unsafe=False,
                            is_counted=True,
                            router=clients.Router(front),
                            rng=random.Random(1),
                            observations=observations,
                            flow_checker=flow_checker.FlowChecker(
                                observations, lambda _: []))
    client.start()
    clock.advance(1.0)
    return client


def _accept(opening: wire.Packet) -> bytes:
    return wire.encode(wire.SYN | wire.ACK, SERVICE, opening.src, INITIAL_SEQ,
                       opening.seq + 1)


def test_answer_after_the_deadline_starts_no_second_request():
    clock = _Clock()
    observations = observations_module.Observations()
    client = _client(clock, observations)
    client.datagramReceived(_accept(clock.port.sent[0]), None)
    request = clock.port.sent[-1]
    assert request.data
    clock.advance(clients.DEADLINE_S)
    assert observations.outcomes == {'deadline': 1}
    client.datagramReceived(_answer(request), None)
    assert observations.outcomes == {'deadline': 1}


def test_acceptance_after_the_deadline_sends_no_request():
    clock = _Clock()
    observations = observations_module.Observations()
    client = _client(clock, observations)
    clock.advance(clients.DEADLINE_S - 0.5)
    opening = clock.port.sent[-1]
    clock.advance(0.5)
    assert observations.outcomes == {'deadline': 1}
    client.datagramReceived(_accept(opening), None)
    assert clock.port.sent[-1].flags & wire.SYN
