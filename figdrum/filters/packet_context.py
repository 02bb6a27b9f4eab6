"""Context of the balancer's filter chain."""

import typing

from figdrum.core import ids


class PacketContext(typing.NamedTuple):
    """A packet's addresses and what the filters found out about it.

    Attributes:
        now_ms: Time of arrival by the balancer's clock.
        src: The caller's address.
        dst: The service address that the caller sent to.
        contracts: The `contracts.state.ContractState` in force.
        grant: The `Grant` of `dst`, or None before it was looked up.
    """
    now_ms: int
    src: ids.Address
    dst: ids.Address
    contracts: typing.Any
    grant: typing.Any = None
