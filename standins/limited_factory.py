"""A server factory that refuses connections above a limit."""

from twisted.internet import protocol
from twisted.protocols import policies


class LimitedFactory(policies.WrappingFactory):
    """Closes a new connection when `limit` others are open."""
    noisy = False

    def __init__(self, wrapped: protocol.ServerFactory, limit: int):
        super().__init__(wrapped)
        self._limit = limit

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self.protocols)

    def close_all(self) -> None:
        """Closes every connection once its pending output is sent."""
        for conn in list(self.protocols):
            conn.loseConnection()

    def buildProtocol(self, addr):
        if self.open_connections >= self._limit:
            return None
        return super().buildProtocol(addr)
