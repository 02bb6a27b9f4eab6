"""Checks opening packets against what the operator has configured."""

import typing

from standins.soak import layout
from standins.soak import observations as observations_module
from standins.soak import wire


class _Version(typing.NamedTuple):
    """A version of the configuration.

    Attributes:
      confirmed_ms: When the store confirmed the write.
      services: Service by address that has a route.
    """
    confirmed_ms: int
    services: dict[wire.Address, str]


class OpeningChecker:
    """Checks opening packets against configurations and zones that are out.

    Attributes:
      zones_out: Time in ms at which the store confirmed that a zone is out, by
        zone. The time is later if the store was disturbed since.
    """

    def __init__(self, observations: observations_module.Observations):
        self._observations = observations
        self._versions: list[_Version] = []
        self.zones_out: dict[str, int] = {}

    def note_version(self, now_ms: int, services: dict[wire.Address,
                                                       str]) -> None:
        """Records that the store has confirmed a configuration."""
        self._versions.append(_Version(now_ms, dict(services)))

    def check_opening(self, now_ms: int, packet: wire.Packet,
                      machine: layout.Machine, target: str) -> None:
        """Checks an opening packet that a server received.

        The configuration is not checked if the machine, the store or one of the
        balancers was disturbed shortly before the packet was sent.

        Args:
          now_ms: Time at which the server received it.
          packet: The packet.
          machine: Machine of the server.
          target: Name of the server's incarnation.
        """
        what = f'{packet.src} to {packet.dst} at {target}'
        if not any(
                v.services.get(packet.dst) == machine.service
                for v in self._versions):
            self._observations.note_violation('wrong service', now_ms, what)
        opening = self._observations.openings.get((packet.src, packet.seq))
        if opening is not None:
            machines = [
                machine.name, observations_module.STORE, *opening.balancers
            ]
            if (all(
                    self._observations.is_in_contact(name, opening.sent_ms)
                    for name in machines) and not self._is_allowed(
                        opening.sent_ms, packet.dst, machine.service)):
                self._observations.note_violation('old configuration', now_ms,
                                                  what)
        out_ms = self.zones_out.get(machine.zone)
        if out_ms is not None and now_ms - out_ms > layout.ZONE_OUT_MS:
            self._observations.note_violation('zone out', now_ms, what)

    def is_routed(self, now_ms: int, address: wire.Address) -> bool:
        """Returns whether all versions that may be in force route an address.

        A machine that was paused or cut off from the store may have an older
        version for some time.
        """
        store_ms = self._observations.disturbed_until_ms.get(
            observations_module.STORE, now_ms)
        from_ms = (min(now_ms, store_ms) - layout.CONFIGURATION_MS -
                   2 * layout.RECONNECT_MS)
        return all(address in v.services for v in self._in_force_since(from_ms))

    def _in_force_since(self, from_ms: int) -> list[_Version]:
        """Returns the versions that were the latest one at or after a time."""
        following = self._versions[1:] + [None]
        return [
            version for version, successor in zip(self._versions, following)
            if successor is None or successor.confirmed_ms >= from_ms
        ]

    def _is_allowed(self, sent_ms: int, address: wire.Address,
                    service: str) -> bool:
        """Returns whether a version that may be in force has this route."""
        from_ms = sent_ms - layout.CONFIGURATION_MS
        return any(
            v.services.get(address) == service
            for v in self._in_force_since(from_ms))
