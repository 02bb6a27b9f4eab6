"""Stand-in of the packet fabric that forwards to the balancers.

Explanation
===========

Each datagram of a caller goes to a random one of the balancers with a PROXY
protocol v2 header in front. A datagram that a balancer sends to the reply
address carries the header with the service as source and the caller as
destination, and goes on from that service's socket.

* `GET /control`: balancers, faults and service addresses.
* `POST /control`: `{"balancers": ["host:port", ...], "faults": {...}}`, each
  part optional; the faults are fields of `PacketFaults`.
* `GET /control/counts`: packets by kind and by balancer.
"""

import argparse
import collections
import random

from twisted.internet import reactor
from twisted.web import server

from figdrum.balancer import proxy_header
from figdrum.core import clock
from figdrum.core import errors
from figdrum.core import ids
from standins import fabric_socket
from standins import http_service
from standins import packet_faults


class Fabric:
    """Forwards datagrams between callers and balancers.

    Attributes:
      balancers: Packet addresses of the balancers.
      faults: Faults of the network that are active now.
      counts: Packets by kind, and packets by balancer.
    """

    def __init__(self, services: list[ids.Address], reply: ids.Address,
                 balancers: list[ids.Address],
                 faults: packet_faults.PacketFaults, rng: random.Random):
        self.balancers = balancers
        self.faults = faults
        self.counts: collections.Counter = collections.Counter()
        self._rng = rng
        self._balancer_socket = fabric_socket.FabricSocket(
            reply, self._on_reply)
        self._services: dict[ids.Address, fabric_socket.FabricSocket] = {}
        for requested in services:
            sock = fabric_socket.FabricSocket(requested, self._on_request)
            self._services[sock.address] = sock

    @property
    def reply_address(self) -> ids.Address:
        """Address to which balancers send replies."""
        return self._balancer_socket.address

    @property
    def service_addresses(self) -> list[ids.Address]:
        """The service addresses in the order in which they were given."""
        return list(self._services)

    def _on_request(self, payload: bytes, src: ids.Address,
                    dst: ids.Address) -> None:
        self.counts['requests'] += 1
        datagram = proxy_header.pack(src, dst, payload)
        for delay_ms in self._copy_delays_ms():
            if not self.balancers:
                self.counts['without_balancer'] += 1
                return
            balancer = self._rng.choice(self.balancers)
            self.counts[f'to {balancer[0]}:{balancer[1]}'] += 1
            self._send(self._balancer_socket, datagram, balancer, delay_ms)

    def _on_reply(self, datagram: bytes, addr: ids.Address,
                  _: ids.Address) -> None:
        self.counts['replies'] += 1
        try:
            reply = proxy_header.unpack(datagram, f'{addr[0]}:{addr[1]}')
        except (errors.MessageError, errors.VersionError):
            self.counts['bad_replies'] += 1
            return
        sock = self._services.get(reply.src)
        if sock is None:
            self.counts['bad_replies'] += 1
            return
        for delay_ms in self._copy_delays_ms():
            self._send(sock, reply.payload, reply.dst, delay_ms)

    def _copy_delays_ms(self) -> tuple[float, ...]:
        delays = self.faults.copy_delays_ms(self._rng)
        if not delays:
            self.counts['lost'] += 1
        return delays

    def _send(self, sock: fabric_socket.FabricSocket, payload: bytes,
              to: ids.Address, delay_ms: float) -> None:
        if delay_ms > 0:
            reactor.callLater(delay_ms / clock.MS_PER_S, sock.send, payload, to)
        else:
            sock.send(payload, to)


class FabricControl(http_service.JsonResource):
    """HTTP control endpoint of a fabric."""

    def __init__(self, fabric: Fabric):
        super().__init__()
        self._fabric = fabric

    def handle(self, req: server.Request) -> None:
        if req.path == b'/control/counts':
            http_service.reply(req, 200, dict(self._fabric.counts))
            return
        if req.path != b'/control':
            http_service.reply(req, 404, {'error': 'no resource'})
            return
        if req.method == b'POST':
            self._change(http_service.read_json(req))
        http_service.reply(
            req, 200, {
                'balancers': [f'{h}:{p}' for h, p in self._fabric.balancers],
                'faults': self._fabric.faults._asdict(),
                'services': self._fabric.service_addresses
            })

    def _change(self, requested: dict) -> None:
        faults = self._fabric.faults.changed(requested.get('faults', {}))
        if 'balancers' in requested:
            self._fabric.balancers = [
                http_service.parse_address(text)
                for text in requested['balancers']
            ]
        self._fabric.faults = faults


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description='Fabric stand-in')
    parse_address = http_service.parse_address
    parser.add_argument('--service',
                        type=parse_address,
                        action='append',
                        required=True,
                        help='service address, e.g. 127.9.0.1:5683')
    parser.add_argument('--balancer',
                        type=parse_address,
                        action='append',
                        default=[],
                        help='packet address of a balancer')
    parser.add_argument('--reply', type=parse_address, default='127.0.0.1:0')
    parser.add_argument('--control-port', type=int, default=0)
    parser.add_argument('--seed', type=int, default=0)
    for name, value in packet_faults.PacketFaults()._asdict().items():
        parser.add_argument('--' + name.replace('_', '-'),
                            type=float,
                            default=value)
    args = parser.parse_args()
    faults = packet_faults.PacketFaults(
        *[getattr(args, name) for name in packet_faults.PacketFaults._fields])
    fabric = Fabric(args.service, args.reply, args.balancer, faults,
                    random.Random(args.seed))
    control = http_service.listen(FabricControl(fabric), args.control_port)
    http_service.run(control=control,
                     reply=fabric.reply_address,
                     services=fabric.service_addresses)


if __name__ == '__main__':
    main()
