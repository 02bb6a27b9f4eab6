"""The context value of the balancer's filter chain."""

import typing

from figdrum.core import ids


class PacketContext(typing.NamedTuple):
    """What the filters know about a packet.

    Attributes:
        now_ms: Time of arrival, own clock.
        src: The caller's address.
        dst: The service address that the caller sent to.
        contracts: The `contracts.state.ContractState` in force.
        grant: The `Grant` of the address, once it was looked up.
    """
    now_ms: int
    src: ids.Address
    dst: ids.Address
    contracts: typing.Any
    grant: typing.Any = None
