"""Sockets without the enumerations of the standard module.

Importing `socket` takes 3 ms of CPU time, since it makes an enumeration of each
group of constants.
"""

import _socket
from _socket import *  # pylint: disable=wildcard-import,unused-wildcard-import

import substitutes


class socket(_socket.socket):  # pylint: disable=invalid-name,function-redefined
    """A socket."""
    __slots__ = ()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def accept(self):
        """Returns the socket of a new connection, and its peer's address."""
        fd, address = self._accept()
        return socket(self.family, self.type, self.proto, fileno=fd), address


__getattr__ = substitutes.fall_back('socket')
