"""Fields of the configuration object, as the platform documents them.

The sentences describe what the balancers' decoder accepts. Whether it accepts a
value is never decided by them, but by the decoder.
"""

import difflib
import typing


class Field(typing.NamedTuple):
    """A field of an object.

    Attributes:
      expected: Description of its values.
      is_required: Whether the decoder refuses an object without it.
    """
    expected: str
    is_required: bool = False


Fields = dict[str, Field]

_NAME = 'a name of 1 to 256 characters'

CONFIGURATION: Fields = {
    'version': Field('an integer from 0 to 2^63 - 1', True),
    'routes': Field('a list', True),
    'services': Field('a list', True),
    'limits': Field('an object'),
}

# `service` is required in a route without `trafficSplit`.
ROUTE: Fields = {
    'name': Field('a string of up to 256 characters', True),
    'hostname': Field('an IPv4 address', True),
    'pathPrefix': Field('a port from 1 to 65535 between slashes', True),
    'routeType': Field('a string of up to 256 characters', True),
    'service': Field(_NAME, True),
    'trafficSplit': Field('a list of shares'),
    'timeoutMs': Field('a number from 1 to 3600000'),
    'targetLatencyMs': Field('a number from 1 to 3600000'),
    'priority': Field('a number from 0 to 9'),
    'maxAttempts': Field('a number'),
}

ROUTE_TYPES = ('safe', 'unsafe', 'upload', 'download')

SHARE: Fields = {
    'service': Field(_NAME, True),
    'weight': Field('a number from 0 to 1e9', True),
}

SERVICE: Fields = {
    'name': Field(_NAME, True),
    'healthPath': Field('a path'),
    'maxConns': Field('a number'),
    'protocol': Field('a string'),
    'tls': Field('true or false'),
    'warmupS': Field('a number'),
    'coldPerS': Field('a number from 0 to 1e6'),
}

LIMITS: Fields = {
    'maxHeaderBytes': Field('a number'),
    'maxBodyBytes': Field('a number'),
    'headerTimeoutMs': Field('a number'),
    'idleTimeoutMs': Field('a number'),
}


def suggest(name: str, known: Fields) -> str:
    """Returns the end of a sentence with the known field that is meant.

    >>> suggest('coldPers', SERVICE), suggest('colour', SERVICE)
    ('; did you mean coldPerS?', '')
    """
    close = difflib.get_close_matches(name, known, n=1)
    return f'; did you mean {close[0]}?' if close else ''
