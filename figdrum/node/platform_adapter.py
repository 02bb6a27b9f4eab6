"""What a process needs from the platform that it runs on."""

import abc
import typing

from figdrum.flows import routes
from figdrum.flows import segment
from figdrum.flows import target
from figdrum.registry import object_store
from figdrum.runtime import http_server


class TargetMessage(typing.NamedTuple):
    """A request of a target to its agent.

    Attributes:
      heartbeat: What the target says about itself; None if it leaves.
      started_ms: Start of the target's incarnation, in ms since the Unix epoch.
    """
    heartbeat: target.Heartbeat | None
    started_ms: int


class PlatformAdapter(abc.ABC):
    """The platform's names and formats; an adapter implements them.

    Attributes:
      packets: Format of clients' packets.
      store: The object store.
      configuration_kind: Kind of the object that holds the configuration.
      zones_out_kind: Kind of the objects that name zones taken out.
      ready_path: Path at which the platform asks whether a node is ready.
      health_path: Path of a target's health endpoint.
      health_identity_header: Header, in lower case, of a health answer that
        holds the target's identity.
    """
    packets: segment.PacketFormat
    store: object_store.ObjectStore
    configuration_kind: str
    zones_out_kind: str
    ready_path: str
    health_path: str
    health_identity_header: str

    @abc.abstractmethod
    def decode_configuration(self,
                             value: typing.Any) -> routes.Configuration | None:
        """Returns the configuration in a stored value, or None."""

    @abc.abstractmethod
    def decode_target_request(self,
                              req: http_server.Request) -> TargetMessage | None:
        """Returns what a target tells its agent, or None."""
