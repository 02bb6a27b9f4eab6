"""Generated values that a careless or foreign writer may send."""

import json
import typing

from hypothesis import strategies

# JSON texts that the `json` module cannot decode, or that decode to values
# which other encodings lack.
ODD_TEXTS = (
    b'[' * 100_000 + b']' * 100_000,
    b'[{"a":' * 3_000 + b'1' + b'}]' * 3_000,
    b'[' * 900 + b']' * 900,
    b'9' * 5_000,
    b'1' + b'0' * 400,
    b'-1e999',
    b'NaN',
    b'"\\ud800"',
    b'"\xff\xfe"',
    b'"' + b'a' * 100_000 + b'"',
    b'"\\u0000"',
    b'70000',
    b'0',
    b'-1',
    b'true',
    b'null',
    b'{}',
    b'[]',
)

# Any value that JSON can hold.
json_values: strategies.SearchStrategy[typing.Any] = strategies.recursive(
    strategies.none() | strategies.booleans() |
    strategies.integers(-10**30, 10**30) | strategies.floats() |
    strategies.text(strategies.characters(), max_size=12),
    lambda children: strategies.lists(children, max_size=3) | strategies.
    dictionaries(strategies.text(max_size=4), children, max_size=3),
    max_leaves=6)

# JSON texts, most of which are not what a reader expects.
odd_texts: strategies.SearchStrategy[bytes] = (
    strategies.sampled_from(ODD_TEXTS) |
    json_values.map(lambda value: json.dumps(value).encode()))

# Any value that msgpack can hold.
message_values: strategies.SearchStrategy[typing.Any] = strategies.recursive(
    strategies.none() | strategies.booleans() |
    strategies.integers(-2**63, 2**64 - 1) | strategies.floats() |
    strategies.text(max_size=8) | strategies.binary(max_size=16),
    lambda children: strategies.lists(children, max_size=3) | strategies.
    dictionaries(strategies.text(max_size=4), children, max_size=3),
    max_leaves=6)


def replace_member(document: dict[str, typing.Any], member: str,
                   text: bytes) -> bytes:
    """Returns the JSON text of a document with one member replaced."""
    marker = '@odd@'
    encoded = json.dumps({**document, member: marker}).encode()
    return encoded.replace(json.dumps(marker).encode(), text)
