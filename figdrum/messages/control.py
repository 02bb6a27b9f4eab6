"""Typed messages on the control streams between nodes.

Explanation
===========

Balancers gossip with each other, and agents subscribe to balancers, over TCP
streams of msgpack objects.
"""

import typing


class Entry(typing.NamedTuple):
    """One object of the platform as replicas pass it on."""
    key: str
    value: str
    version: int
    revision: int


class Digest(typing.NamedTuple):
    """A balancer's state in brief.

    Attributes:
      name: Sender.
      zone: Sender's zone.
      host: Host of the sender's control address.
      port: Port of the sender's control address.
      revision: Replica revision.
      confirmed_age_ms: Time since a reader confirmed this revision with the
        platform, as known to the sender; -1 when never.
      platform_up: False when the last call to the platform failed.
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
    """Objects that changed after `since`, complete up to `revision`.

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
    """Asks for a `Delta` after `revision`."""
    revision: int


class Subscribe(typing.NamedTuple):
    """An agent's request for contract changes and its service's list.

    Attributes:
      agent: Name of the agent.
      service: Its service; 'lists/<service>' and 'changes/' are sent.
      revision: Revision that the agent has.
    """
    agent: str
    service: str
    revision: int


Message = Entry | Digest | Delta | Pull | Subscribe
