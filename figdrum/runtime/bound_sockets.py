"""Sockets that are bound before the rest of a process is loaded.

From then on the kernel queues datagrams for the process instead of dropping
them, while its clients would retransmit only after 200 ms or more.
"""

import collections.abc
import socket

from figdrum.core import ids

# Kernel receive buffer in bytes: about 800 full packets, which covers a pause
# of half a second at the rates in the site files.
RECEIVE_BUFFER_BYTES = 1_048_576

BoundSockets = dict[ids.Address, socket.socket]


def bind(address: ids.Address) -> socket.socket:
    """Returns a non-blocking UDP socket that is bound to an address.

    Raises:
      OSError: if the address cannot be used.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.bind(address)
    return sock


def bind_all(addresses: collections.abc.Iterable[ids.Address]) -> BoundSockets:
    """Returns a bound socket for each address.

    Raises:
      OSError: if one of them cannot be used.
    """
    return {address: bind(address) for address in addresses}
