"""Typed messages on the control streams between balancers and agents.

Explanation
===========

Balancers gossip with each other, and agents subscribe to balancers, over TCP
streams of msgpack objects.
"""

import typing


class Entry(typing.NamedTuple):
    """One object of the platform, as replicas send it to each other.

    Attributes:
      key: Key of the object.
      value: Value of the object.
      version: Version of the object, which each write of it increases.
      revision: Revision of the platform at the last write of the object.
    """
    key: str
    value: str
    version: int
    revision: int


class Digest(typing.NamedTuple):
    """Summary of a balancer's replica.

    Attributes:
      name: Name of the sender.
      zone: Availability zone of the sender.
      host: Host of the sender's control address.
      port: Port of the sender's control address.
      revision: Revision of the sender's replica.
      confirmed_age_ms: Time since a reader confirmed this revision with the
        platform, as known to the sender; -1 if it never did.
      platform_up: False if the sender's last read of the platform failed.
      change: Number of the last contract change that the sender has applied.
    """
    name: str
    zone: str
    host: str
    port: int
    revision: int
    confirmed_age_ms: int
    platform_up: bool
    change: int = 0


class Delta(typing.NamedTuple):
    """Objects that changed after revision `since`, complete up to `revision`.

    Attributes:
      since: Revision after which the entries are complete.
      revision: Revision up to which the entries are complete.
      entries: Changed objects in revision order.
      confirmed_age_ms: As in `Digest`.
    """
    since: int
    revision: int
    entries: tuple[Entry, ...]
    confirmed_age_ms: int


class Pull(typing.NamedTuple):
    """Requests a `Delta` of the objects that changed after `revision`."""
    revision: int


class Subscribe(typing.NamedTuple):
    """An agent's request for contract changes and its service's list.

    Attributes:
      agent: Name of the agent.
      service: Service of the agent. The balancer sends 'lists/<service>' and
        the objects under 'changes/'.
      revision: Revision of the agent's replica.
    """
    agent: str
    service: str
    revision: int


Message = Entry | Digest | Delta | Pull | Subscribe
