"""The PROXY protocol v2 header of datagrams between fabric and balancer.

Explanation
===========

The fabric prepends the caller's and the service's address to each datagram. A
reply carries the same header with the service as source and the caller as
destination. Only UDP over IPv4 is accepted; extensions (TLVs) after the
addresses are skipped.

Examples
========

>>> datagram = pack(('10.0.0.1', 4000), ('10.9.0.1', 5683), b'hello')
>>> len(datagram) - len(b'hello')
28
>>> unpack(datagram).src
('10.0.0.1', 4000)
>>> unpack(b'hi')
Traceback (most recent call last):
...
figdrum.core.errors.MessageError: FD101 decode PROXY header: 2 bytes (peer -)

References
==========

The PROXY protocol, section 2.2 (version 2).
"""

import socket
import struct
import typing

from figdrum.core import errors
from figdrum.core import ids

HEADER_BYTES = 28

_SIGNATURE = b'\r\n\r\n\0\r\nQUIT\n'
_VERSION_2 = 0x20
_COMMAND_PROXY = 0x01
_UDP_OVER_IPV4 = 0x12
_PREFIX = struct.Struct('!12sBBH')
_ADDRESSES = struct.Struct('!4s4sHH')


class ProxiedDatagram(typing.NamedTuple):
    """A datagram and the addresses in its header.

    Attributes:
      src: Sender's address.
      dst: Receiver's address.
      payload: Bytes after the header.
    """
    src: ids.Address
    dst: ids.Address
    payload: bytes


def pack(src: ids.Address, dst: ids.Address, payload: bytes) -> bytes:
    """Returns a header followed by `payload`.

    Raises:
      errors.MessageError: if an address is not an IPv4 address and a port.
    """
    try:
        addresses = _ADDRESSES.pack(socket.inet_aton(src[0]),
                                    socket.inet_aton(dst[0]), src[1], dst[1])
    except (OSError, ValueError, struct.error) as exc:
        raise errors.MessageError('encode PROXY header', f'{src}>{dst}',
                                  repr(exc)) from exc
    prefix = _PREFIX.pack(_SIGNATURE, _VERSION_2 | _COMMAND_PROXY,
                          _UDP_OVER_IPV4, _ADDRESSES.size)
    return prefix + addresses + payload


def unpack(datagram: bytes, peer: str = '-') -> ProxiedDatagram:
    """Returns the addresses and the payload of `datagram`.

    Args:
      datagram: Header and payload.
      peer: Sender, for the error message.

    Raises:
      errors.MessageError: if the header is truncated, invalid, or not for a
        datagram of UDP over IPv4.
      errors.VersionError: if the header has another version.
    """
    if len(datagram) < HEADER_BYTES:
        raise _header_error(peer, f'{len(datagram)} bytes')
    signature, command, family, length = _PREFIX.unpack_from(datagram)
    if signature != _SIGNATURE:
        raise _header_error(peer, 'wrong signature')
    if command & 0xf0 != _VERSION_2:
        raise errors.VersionError('decode PROXY header', peer,
                                  f'version {command >> 4}')
    if command & 0x0f != _COMMAND_PROXY or family != _UDP_OVER_IPV4:
        raise _header_error(
            peer, f'unsupported command {command & 0x0f}, family {family:#x}')
    start = _PREFIX.size + length
    if length < _ADDRESSES.size or start > len(datagram):
        raise _header_error(
            peer,
            f'length field {length} in a datagram of {len(datagram)} bytes')
    src_host, dst_host, src_port, dst_port = _ADDRESSES.unpack_from(
        datagram, _PREFIX.size)
    return ProxiedDatagram((socket.inet_ntoa(src_host), src_port),
                           (socket.inet_ntoa(dst_host), dst_port),
                           datagram[start:])


def _header_error(peer: str, reason: str) -> errors.MessageError:
    return errors.MessageError('decode PROXY header', peer, reason)
