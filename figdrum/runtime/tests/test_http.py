"""HTTP client and server over the loopback interface."""

import socket

import pytest

from figdrum.core import clock
from figdrum.core import errors
from figdrum.runtime import http_client
from figdrum.runtime import http_server
from figdrum.runtime import loop as loop_module

# Timeout of a test in ms. A call takes less than a millisecond.
DEADLINE_MS = 20_000


@pytest.fixture(name='loop')
def _loop() -> loop_module.Loop:
    return loop_module.Loop(clock.SystemClock())


def _run_until(loop: loop_module.Loop, results: list, count: int) -> None:

    def check() -> None:
        if len(results) >= count:
            loop.stop()
        else:
            loop.call_later(1, check)

    check()
    deadline = loop.call_later(DEADLINE_MS, loop.stop)
    loop.run()
    deadline.cancel()
    assert len(results) >= count


def test_requests_are_answered_in_order(loop):
    server = http_server.HttpServer(
        loop, ('127.0.0.1', 0), lambda req: http_server.Response(
            200, f'{req.method} {req.path} {len(req.body)}'.encode()))
    client = http_client.HttpClient(loop, server.address, 'test')
    results: list[http_client.Result] = []
    for number in range(3):
        client.call('POST', f'/{number}', b'x' * number, 1_000, results.append)
    _run_until(loop, results, 3)
    assert [r.body for r in results
           ] == [b'POST /0 0', b'POST /1 1', b'POST /2 2']
    server.close()


def test_refused_connection_is_an_error(loop):
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        address = unused.getsockname()
    results: list[http_client.Result] = []
    client = http_client.HttpClient(loop, address, 'test')
    client.call('GET', '/', b'', 1_000, results.append)
    _run_until(loop, results, 1)
    assert isinstance(results[0], errors.StoreError)
    assert 'connect' in results[0].reason
    assert isinstance(results[0], http_client.NotConnectedError)


def test_call_after_a_timeout_uses_a_new_connection(loop):
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    results: list[http_client.Result] = []
    client = http_client.HttpClient(loop, listener.getsockname(), 'test')
    client.call('GET', '/', b'', 20, results.append)
    client.call('GET', '/', b'', 20, results.append)
    _run_until(loop, results, 2)
    assert all(isinstance(r, errors.StoreError) for r in results)
    listener.settimeout(DEADLINE_MS / 1000)
    for _ in range(2):
        listener.accept()[0].close()
    listener.close()


def test_malformed_request_gets_status_400(loop):
    server = http_server.HttpServer(loop, ('127.0.0.1', 0),
                                    lambda req: http_server.Response(200))
    responses: list[bytes] = []
    sock = socket.create_connection(server.address)
    sock.sendall(b'\0\1\2\r\n\r\n')
    sock.setblocking(False)

    def read() -> None:
        responses.append(sock.recv(1_000))

    loop.watch(sock, read)
    _run_until(loop, responses, 1)
    assert responses[0].startswith(b'HTTP/1.1 400')
    sock.close()
    server.close()


def test_large_body_is_refused(loop):
    received: list[http_server.Request] = []

    def respond(req: http_server.Request) -> http_server.Response:
        received.append(req)
        return http_server.Response(200)

    server = http_server.HttpServer(loop, ('127.0.0.1', 0), respond)
    results: list[http_client.Result] = []
    client = http_client.HttpClient(loop, server.address, 'test')
    client.call('POST', '/', b'x' * (2 * http_server.MAX_BODY_BYTES), 5_000,
                results.append)
    _run_until(loop, results, 1)
    assert not received
    server.close()
