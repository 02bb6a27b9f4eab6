"""Types of identifiers.

Explanation
===========

Each kind of identifier has its own type, so that a type checker distinguishes,
for example, a zone from a customer. At run time they are plain strings and
integers.
"""

import typing

Address = tuple[str, int]
"""An IPv4 address in dotted form and a UDP or TCP port."""

AgentName = typing.NewType('AgentName', str)
BalancerName = typing.NewType('BalancerName', str)
CustomerId = typing.NewType('CustomerId', str)
IdempotencyKey = typing.NewType('IdempotencyKey', str)
Incarnation = typing.NewType('Incarnation', int)
Revision = typing.NewType('Revision', int)
ServiceName = typing.NewType('ServiceName', str)
StoreRevision = typing.NewType('StoreRevision', int)
ZoneName = typing.NewType('ZoneName', str)


class FlowKey(typing.NamedTuple):
    """Identifies a flow by the source and destination of its packets.

  Attributes:
    src_host: Caller's IPv4 address.
    src_port: Caller's port.
    dst_host: Service's IPv4 address.
    dst_port: Service's port.
  """
    src_host: str
    src_port: int
    dst_host: str
    dst_port: int

    @property
    def src(self) -> Address:
        """The caller's address."""
        return (self.src_host, self.src_port)

    @property
    def dst(self) -> Address:
        """The service's address."""
        return (self.dst_host, self.dst_port)

    def to_bytes(self) -> bytes:
        """Returns the canonical form, which is the input of rendezvous hashing.

    Examples
    ========

    >>> FlowKey('10.0.0.1', 4000, '10.9.0.1', 5683).to_bytes()
    b'10.0.0.1:4000>10.9.0.1:5683'
    """
        return (f'{self.src_host}:{self.src_port}>'
                f'{self.dst_host}:{self.dst_port}').encode()
