"""Large bodies that the target and the caller compute independently."""

DEFAULT_BYTES = 20_000
MAX_BYTES = 4_000_000


def body(name: str, size: int) -> bytes:
    """Returns the `size` bytes of the report called `name`.

    >>> body('7', 12)
    b'7:0;7:1;7:2;'
    >>> len(body('7', 20_000))
    20000
    """
    parts: list[str] = []
    length = 0
    while length < size:
        parts.append(f'{name}:{len(parts)};')
        length += len(parts[-1])
    return ''.join(parts).encode()[:size]
