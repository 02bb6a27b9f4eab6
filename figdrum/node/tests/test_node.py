"""What the balancer and agent processes have in common."""

import socket
import types

from figdrum.core import clock
from figdrum.node import node as node_module
from figdrum.runtime import loop as loop_module

HOST = '127.0.0.1'


# A process that starts while another one still has the port of the metrics
# ended, though its flows do not depend on them.
def test_process_runs_while_the_port_of_its_metrics_is_taken(monkeypatch):
    loop = loop_module.Loop(clock.SystemClock())
    cfg = types.SimpleNamespace(name='front-1', zone='a', agent=None)
    node = node_module.Node(cfg, '', 'balancer', loop, clock.SystemClock(),
                            None)
    monkeypatch.setattr(node, 'on_tick', lambda: None)
    monkeypatch.setattr(node, '_check_settings_file', lambda: None)
    monkeypatch.setattr(loop, 'on_signal', lambda number, fn: None)
    monkeypatch.setattr(node_module, 'METRICS_RETRY_MS', 20)
    with socket.socket() as other:
        other.bind((HOST, 0))
        other.listen()
        port = other.getsockname()[1]
        monkeypatch.setattr(node_module, 'METRICS_PORT', port)
        node.start(HOST)
        assert node.log.counts['metrics not served'] == 1
    with socket.socket() as client:

        def connect() -> None:
            if client.connect_ex((HOST, port)):
                loop.call_later(20, connect)
            else:
                loop.stop()

        loop.call_later(20, connect)
        loop.call_later(10_000, loop.stop)
        loop.run()
        assert client.getpeername() == (HOST, port)
