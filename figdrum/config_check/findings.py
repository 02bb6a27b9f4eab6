"""Findings about a configuration.

Examples
========

>>> finding = Finding(Code.REFUSED_VALUE, 'routes[3].hostname',
...                   '"host" is not an IPv4 address')
>>> finding.severity.value, str(finding)
('error', 'error routes[3].hostname: "host" is not an IPv4 address \
[refused-value]')
"""

import collections.abc
import enum
import json
import typing

from figdrum.core import checks


class Severity(enum.Enum):
    """How much a finding matters, the gravest first."""
    ERROR = 'error'
    WARNING = 'warning'
    HINT = 'hint'


class Code(enum.Enum):
    """Kinds of findings; docs/operators/configuration.md explains them."""
    UNREADABLE_FILE = 'unreadable-file'
    NOT_JSON = 'not-json'
    NOT_STORABLE = 'not-storable'
    MISSING_FIELD = 'missing-field'
    REFUSED_VALUE = 'refused-value'

    REPEATED_KEY = 'repeated-key'
    ROUTE_SHADOWED = 'route-shadowed'
    SERVICE_SHADOWED = 'service-shadowed'
    SERVICE_NOT_LISTED = 'service-not-listed'
    SERVICE_WITHOUT_ROUTE = 'service-without-route'
    SERVICE_IGNORED = 'service-ignored'
    SERVICE_SPLIT_TWICE = 'service-split-twice'
    SHARE_OF_ZERO = 'share-of-zero'
    SHARES_ALL_ZERO = 'shares-all-zero'
    CLASS_VALUE_IGNORED = 'class-value-ignored'
    TIMEOUT_BELOW_TARGET = 'timeout-below-target'
    IDLE_BELOW_ANSWER = 'idle-below-answer'
    COLD_LIMIT_TOO_LOW = 'cold-limit-too-low'
    VERSION_NOT_HIGHER = 'version-not-higher'
    IN_FORCE_REFUSED = 'in-force-refused'

    UNKNOWN_FIELD = 'unknown-field'
    UNKNOWN_ROUTE_TYPE = 'unknown-route-type'
    URGENT_BUT_LOOSE = 'urgent-but-loose'
    NOTHING_IN_FORCE = 'nothing-in-force'
    SAME_AS_IN_FORCE = 'same-as-in-force'
    ROUTE_ADDED = 'route-added'
    ROUTE_REMOVED = 'route-removed'
    ROUTE_RENAMED = 'route-renamed'
    ROUTE_CHANGED = 'route-changed'
    SPLIT_CHANGED = 'split-changed'
    SERVICE_ADDED = 'service-added'
    SERVICE_REMOVED = 'service-removed'
    SERVICE_CHANGED = 'service-changed'
    LIMIT_CHANGED = 'limit-changed'


_ERRORS = frozenset((Code.UNREADABLE_FILE, Code.NOT_JSON, Code.NOT_STORABLE,
                     Code.MISSING_FIELD, Code.REFUSED_VALUE))
# Differences are hints: a configuration that changes nothing is not sent.
_HINTS = frozenset(
    (Code.UNKNOWN_FIELD, Code.UNKNOWN_ROUTE_TYPE, Code.URGENT_BUT_LOOSE,
     Code.NOTHING_IN_FORCE, Code.SAME_AS_IN_FORCE, Code.ROUTE_ADDED,
     Code.ROUTE_REMOVED, Code.ROUTE_RENAMED, Code.ROUTE_CHANGED,
     Code.SPLIT_CHANGED, Code.SERVICE_ADDED, Code.SERVICE_REMOVED,
     Code.SERVICE_CHANGED, Code.LIMIT_CHANGED))


class Finding(typing.NamedTuple):
    """A finding about one place of a configuration.

    Attributes:
      code: Its kind.
      place: Path of the value, such as `routes[3].trafficSplit[1].weight`, or
        '' for the whole.
      message: A sentence that describes it.
    """
    code: Code
    place: str
    message: str

    @property
    def severity(self) -> Severity:
        """How much it matters."""
        if self.code in _ERRORS:
            return Severity.ERROR
        return Severity.HINT if self.code in _HINTS else Severity.WARNING

    def __str__(self) -> str:
        place = f' {self.place}' if self.place else ''
        return (f'{self.severity.value}{place}: {self.message} '
                f'[{self.code.value}]')

    def to_dict(self) -> dict[str, str]:
        """Returns the finding as an object for JSON."""
        return {
            'code': self.code.value,
            'severity': self.severity.value,
            'place': self.place,
            'message': self.message
        }


def in_order(found: collections.abc.Iterable[Finding]) -> tuple[Finding, ...]:
    """Returns findings by severity, otherwise in the order in which they are.

    >>> hint, error = Finding(Code.ROUTE_ADDED, 'routes[0]', 'new'), Finding(
    ...     Code.NOT_JSON, '', 'odd')
    >>> in_order([hint, error]) == (error, hint)
    True
    """
    order = list(Severity)
    return tuple(sorted(found, key=lambda item: order.index(item.severity)))


def show(value: typing.Any) -> str:
    """Returns a short form of a JSON value for a message.

    >>> show('a'), show(1.5), show(None), show([1, {'a': 2}])
    ('"a"', '1.5', 'null', '[1, {"a": 2}]')
    """
    try:
        return checks.show(json.dumps(value))
    except RecursionError:
        return 'a value with too many levels'
