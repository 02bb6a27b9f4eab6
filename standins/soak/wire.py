"""The platform's packet format, implemented independently of the adapter."""

import socket
import struct
import typing

SYN, ACK, FIN, RST, BOUNCED = 8, 32, 16, 1, 2

_HEAD = struct.Struct('>BB4s4sHHIIHII')

# Takes the place of the platform's keyed checksum. figdrum must not change it.
SUM = 0x5AFE5AFE

# Bytes of an upload, and of each of its packets.
UPLOAD_BYTES = 3_000
PART_BYTES = 1_000

Address = tuple[str, int]


class Packet(typing.NamedTuple):
    """A decoded packet; `sum` is the checksum that the sender set."""
    flags: int
    pad: int
    dst: Address
    src: Address
    sum: int
    echo: int
    seq: int
    ack: int
    data: bytes


def encode(flags: int,
           src: Address,
           dst: Address,
           seq: int,
           ack: int,
           data: bytes = b'') -> bytes:
    """Returns a packet as a client or server sends it."""
    return _HEAD.pack(flags, 0, socket.inet_aton(dst[0]),
                      socket.inet_aton(src[0]), dst[1], src[1], SUM, 0,
                      len(data), seq % (1 << 32), ack % (1 << 32)) + data


def decode(raw: bytes) -> Packet:
    """Decodes the packet in a datagram."""
    (flags, pad, dst, src, dport, sport, total, echo, length, seq,
     ack) = _HEAD.unpack_from(raw)
    return Packet(flags, pad, (socket.inet_ntoa(dst), dport),
                  (socket.inet_ntoa(src), sport), total, echo, seq, ack,
                  raw[_HEAD.size:_HEAD.size + length])


def bounce(raw: bytes) -> bytes:
    """Returns a packet as a server rejects it: BOUNCED set, `pad` 0."""
    return bytes((raw[0] | BOUNCED, 0)) + raw[2:]


def request_size(data: bytes) -> int:
    """Returns the size of the request that starts with `data`."""
    return UPLOAD_BYTES if data.startswith(b'upload') else len(data)
