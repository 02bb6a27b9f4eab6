"""Interface between the processes and the platform that they run on."""

import abc
import typing

from figdrum.flows import routes
from figdrum.flows import segment
from figdrum.flows import target
from figdrum.registry import object_store
from figdrum.runtime import http_server


class TargetMessage(typing.NamedTuple):
    """A message of a target to its agent.

    Attributes:
      sender: Name of the target that the message is of.
      heartbeat: The heartbeat; None if the target is about to exit.
      started_ms: Start of the target's incarnation, in ms since the Unix epoch.
    """
    sender: str
    heartbeat: target.Heartbeat | None
    started_ms: int


class PlatformAdapter(abc.ABC):
    """Names and formats of the platform; each platform has a subclass.

    Attributes:
      packets: Format of clients' packets.
      store: The object store.
      configuration_kind: Kind of the store object with the configuration.
      zones_out_kind: Kind of the store objects that name zones taken out.
      ready_path: Path of the platform's readiness check.
      health_path: Path of a target's health endpoint.
      health_identity_header: Lower-case name of the header of a health
        response that holds the target's name.
    """
    packets: segment.PacketFormat
    store: object_store.ObjectStore
    configuration_kind: str
    zones_out_kind: str
    ready_path: str
    health_path: str
    health_identity_header: str

    @abc.abstractmethod
    def decode_configuration(self, name: str,
                             value: typing.Any) -> routes.Configuration | None:
        """Decodes a stored configuration.

        The result is None if the object is malformed, or if another object of
        its kind holds the configuration.
        """

    @abc.abstractmethod
    def decode_target_request(self,
                              req: http_server.Request) -> TargetMessage | None:
        """Decodes a target's HTTP request; returns None if it is malformed."""
