"""A packet format for tests that has only the fields that figdrum reads."""

import struct

from figdrum.flows import segment

_HEAD = struct.Struct('!B12sHII')

OPENING = 1
ACCEPTING = 2
CLOSING = 4
RESET = 8
RETURNED = 16


def build(flags: int, key: bytes, seq: int, ack: int, length: int = 0) -> bytes:
    """Builds a packet of the flow `key`, in either direction."""
    return _HEAD.pack(flags, key, length, seq, ack)


class TestFormat(segment.PacketFormat):
    """The format of the packets that `build` returns."""
    __test__ = False

    def parse_client(self, raw: bytes) -> segment.Segment | None:
        if len(raw) != _HEAD.size:
            return None
        flags, key, length, seq, ack = _HEAD.unpack(raw)
        parsed = segment.Segment(raw, key)
        parsed.is_opening = bool(flags & OPENING)
        parsed.is_accepting = bool(flags & ACCEPTING)
        parsed.is_closing = bool(flags & CLOSING)
        parsed.is_reset = bool(flags & RESET)
        parsed.is_returned = bool(flags & RETURNED)
        parsed.length, parsed.seq, parsed.ack = length, seq, ack
        return parsed

    def parse_target(self, raw: bytes) -> segment.Segment | None:
        return self.parse_client(raw)

    def restore(self, returned: segment.Segment) -> bytes:
        return bytes((returned.raw[0] & ~RETURNED,)) + returned.raw[1:]

    def build_reset(self, key: bytes, ack: int) -> bytes:
        return build(RESET, key, ack, 0)

    def client_host(self, key: bytes) -> str:
        return '.'.join(str(byte) for byte in key[:4])

    def service_address(self, key: bytes) -> bytes:
        return key[6:12]

    def request_id(self, raw: bytes) -> str:
        return 'request' if len(raw) else ''

    def describe(self, key: bytes) -> str:
        return key.hex()


def flow_key(number: int, service: int = 1) -> bytes:
    """Returns the key of the flow `number` to service number `service`."""
    return struct.pack('!IHIH', number, 1024, service, 80)


def address_of(service: int) -> bytes:
    """Returns the address of service number `service`, as used in routes."""
    return flow_key(0, service)[6:12]
