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

import msgpack

from figdrum.core import checks
from figdrum.core import ids
from figdrum.registry import object_store

PATH = '/figdrum/peer-state'

# Longest name of a kind in a query, and most digits of a revision of 64 bits.
MAX_KIND_LENGTH = 64
MAX_REVISION_DIGITS = 19


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
        kind, _, text = part.partition('=')
        digits = text.removeprefix('-')
        if (not 0 < len(kind) <= MAX_KIND_LENGTH or
                not 0 < len(digits) <= MAX_REVISION_DIGITS or
                not (digits.isascii() and digits.isdigit())):
            return None
        revisions[kind] = int(text)
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
        copies = checks.mapping(msgpack.unpackb(body))
        return {
            checks.name(kind): _decode_listing(*checks.sequence(copy))
            for kind, copy in copies.items()
        }
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException):
        return None


def _decode_listing(revision: object, entries: object) -> object_store.Listing:
    return object_store.Listing(
        tuple(
            _decode_entry(*checks.sequence(entry))
            for entry in checks.sequence(entries)), _decode_revision(revision))


def _decode_entry(name: object, revision: object,
                  value: object) -> object_store.Entry:
    return object_store.Entry(checks.name(name), _decode_revision(revision),
                              value)


def _decode_revision(value: object) -> ids.StoreRevision:
    return ids.StoreRevision(checks.integer(value, -1, checks.MAX_INT64))
