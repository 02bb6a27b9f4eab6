"""What a balancer tells another one that cannot reach the store.

Explanation
===========

The body is a msgpack map from kinds to their copies: the revision, and name,
revision and value of each object. A kind that the other balancer has at the
same or a later revision is left out.

Examples
========

>>> listing = object_store.Listing((object_store.Entry('a', 3, {'x': 1}),), 4)
>>> decode(encode({'config': listing})) == {'config': listing}
True
>>> decode(b'other') is None
True
"""

import typing

import msgpack

from figdrum.registry import object_store

PATH = '/figdrum/peer-state'


def make_path(revisions: dict[str, int]) -> str:
    """Returns the path of a request by a node with copies at `revisions`.

    >>> make_path({'config': 7, 'zones': -1})
    '/figdrum/peer-state?config=7&zones=-1'
    """
    query = '&'.join(
        f'{kind}={revision}' for kind, revision in sorted(revisions.items()))
    return f'{PATH}?{query}'


def parse_path(path: str) -> dict[str, int] | None:
    """Returns the revisions in a path, or None if it is another path.

    >>> parse_path('/figdrum/peer-state?config=7&zones=-1')
    {'config': 7, 'zones': -1}
    >>> parse_path('/figdrum/other') is None
    True
    """
    head, _, query = path.partition('?')
    if head != PATH:
        return None
    revisions: dict[str, int] = {}
    for part in query.split('&'):
        kind, _, revision = part.partition('=')
        if not revision.removeprefix('-').isdigit():
            return None
        revisions[kind] = int(revision)
    return revisions


def encode(copies: dict[str, object_store.Listing]) -> bytes:
    """Returns the body for copies by kind."""
    return msgpack.packb({
        kind: (listing.revision, listing.entries)
        for kind, listing in copies.items()
    })


def decode(body: bytes) -> dict[str, object_store.Listing] | None:
    """Returns the copies in a body, or None if it is malformed."""
    try:
        copies: dict[str, typing.Any] = msgpack.unpackb(body)
        return {
            kind:
                object_store.Listing(
                    tuple(object_store.Entry(*entry) for entry in entries),
                    int(revision))
            for kind, (revision, entries) in copies.items()
        }
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException):
        return None
