"""Minimal balancer and agent in one process, for tests of the stand-ins.

Takes datagrams from the fabric, terminates CoAP and calls one target by HTTP.
It keeps no flows, admits every request, and answers a repeated message id with
the stored answer.
"""

import argparse
import io

import aiocoap
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers

from figdrum.balancer import proxy_header
from standins import coap_message
from standins import http_service

_NOTIFY_S = 0.2


class Relay(protocol.DatagramProtocol):
    """Answers CoAP requests from one target."""
    noisy = False

    def __init__(self, fabric, targets):
        self._fabric = fabric
        self._targets = targets
        self._agent = client.Agent(reactor)
        self._answers = {}
        self._feeds = {}
        self._mid = 0
        task.LoopingCall(self._notify).start(_NOTIFY_S, now=False)

    def datagramReceived(self, datagram, addr):
        src, dst, payload = proxy_header.unpack(datagram)
        msg = coap_message.read(payload)
        if msg is None or not msg.code.is_request():
            return
        seen = (src, msg.mid)
        if seen in self._answers:
            if self._answers[seen] is not None:
                self._write(src, dst, self._answers[seen])
            return
        self._answers[seen] = None
        done = self._call(dst, msg)
        done.addCallback(lambda found: self._answer(src, dst, msg, *found))

    def _call(self, dst, msg):
        service, target = self._targets[dst]
        query = dict(text.split('=', 1) for text in msg.opt.uri_query)
        headers = {
            'X-Service': [service],
            'X-Customer': ['c'],
            'Idempotency-Key': [query.pop('key', '')],
            'X-Deadline-Ms': [query.pop('deadline_ms', '10000')]
        }
        url = (f'http://{target[0]}:{target[1]}/{"/".join(msg.opt.uri_path)}?' +
               '&'.join(f'{k}={v}' for k, v in query.items()))
        done = self._agent.request(
            b'POST' if msg.code is aiocoap.POST else b'GET', url.encode(),
            http_headers.Headers(headers),
            client.FileBodyProducer(io.BytesIO(b'')))

        def read(answer):
            ran = not answer.headers.hasHeader('X-Did-Not-Run')
            return client.readBody(answer).addCallback(lambda body:
                                                       (answer.code, ran, body))

        return done.addCallback(read)

    def _answer(self, src, dst, msg, status, ran, body):
        answer = aiocoap.Message(code=aiocoap.CONTENT, payload=body)
        answer.mtype, answer.mid, answer.token = aiocoap.ACK, msg.mid, msg.token
        if status != 200:
            answer.code = aiocoap.SERVICE_UNAVAILABLE
            answer.payload = b'outcome-unknown' if ran else b'did-not-run'
            answer.opt.max_age = 0
        elif msg.opt.observe == 0:
            answer.opt.observe = 1
            self._feeds[src, msg.token] = (dst, body, 1)
        elif msg.opt.block2 is not None:
            number, _, szx = msg.opt.block2
            size = 16 << szx
            answer.payload = body[number * size:(number + 1) * size]
            more = (number + 1) * size < len(body)
            answer.opt.block2 = (number, more, szx)
            answer.opt.etag = b'e'
        self._answers[src, msg.mid] = answer
        self._write(src, dst, answer)

    def _notify(self):
        for (src, token), (dst, body, number) in list(self._feeds.items()):
            self._mid = (self._mid + 1) % 65536
            msg = aiocoap.Message(code=aiocoap.CONTENT, payload=body)
            msg.mtype, msg.mid, msg.token = aiocoap.CON, self._mid, token
            msg.opt.observe = number + 1
            self._feeds[src, token] = (dst, body, number + 1)
            self._write(src, dst, msg)

    def _write(self, src, dst, msg):
        self.transport.write(proxy_header.pack(dst, src, msg.encode()),
                             self._fabric)


def main():
    """Runs the relay."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--fabric', type=http_service.parse_address)
    parser.add_argument('--route', action='append', help='address=name@target')
    args = parser.parse_args()
    targets = {}
    for text in args.route:
        service, _, rest = text.partition('=')
        name, _, target = rest.partition('@')
        targets[http_service.parse_address(service)] = (
            name, http_service.parse_address(target))
    port = reactor.listenUDP(0, Relay(args.fabric, targets),
                             http_service.LOOPBACK, 65_536)
    bound = port.getHost()
    http_service.run(packet=(bound.host, bound.port))


if __name__ == '__main__':
    main()
