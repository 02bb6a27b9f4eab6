"""Finds limits of a configuration that contradict each other."""

import typing

from figdrum.config_check import entries as entries_module
from figdrum.config_check import fields
from figdrum.config_check import findings
from figdrum.flows import routes

Code = findings.Code
Finding = findings.Finding

# Fields of a route that say what its callers need, with the attributes that
# balancers decode them to.
_CLASS_FIELDS = {
    'priority': 'priority',
    'targetLatencyMs': 'latency_target_ms',
    'timeoutMs': 'timeout_ms'
}


def find(spec: typing.Any, entries: entries_module.Entries) -> list[Finding]:
    """Returns findings about limits.

    Args:
      spec: The configuration object.
      entries: Its entries that the decoder accepts.
    """
    found = []
    for entry in entries.routes:
        found += _ignored_values(entry) + _timeout_below_target(entry)
    effective = list(entries.effective_routes().values())
    found += _urgent_but_loose(effective)
    for service in entries.effective_services().values():
        found += _cold_limit_too_low(service)
    return found + _idle_below_answer(spec, effective)


def _number(fields_written: typing.Any, name: str) -> float | None:
    """Returns a field's number; None if there is none.

    >>> _number({'a': 1.5}, 'a'), _number({'a': True}, 'a'), _number(None, 'a')
    (1.5, None, None)
    """
    value = (fields_written.get(name)
             if isinstance(fields_written, dict) else None)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return value


def _ignored_values(entry: entries_module.RouteEntry) -> list[Finding]:
    """Returns findings about values that count as not stated.

    A stated value was decoded if it is a number that is cut to the decoded one.
    """
    found = []
    for name, attribute in _CLASS_FIELDS.items():
        if entry.fields.get(name) is None:
            continue
        written = _number(entry.fields, name)
        decoded = getattr(entry.route.request_class, attribute)
        if (decoded is not None and written is not None and
                0 <= written - decoded < 1):
            continue
        found.append(
            Finding(
                Code.CLASS_VALUE_IGNORED, f'{entry.place}.{name}',
                f'{findings.show(entry.fields[name])} is not '
                f'{fields.ROUTE[name].expected}; balancers ignore it'))
    return found


def _timeout_below_target(entry: entries_module.RouteEntry) -> list[Finding]:
    cls = entry.route.request_class
    if (cls.timeout_ms is None or cls.latency_target_ms is None or
            cls.timeout_ms >= cls.latency_target_ms):
        return []
    return [
        Finding(
            Code.TIMEOUT_BELOW_TARGET, f'{entry.place}.timeoutMs',
            f'callers give up after {cls.timeout_ms} ms, before the latency '
            f'target of {cls.latency_target_ms} ms')
    ]


def _urgent_but_loose(
        effective: list[entries_module.RouteEntry]) -> list[Finding]:
    """Returns hints about the most urgent classes with the loosest target."""
    stated = [
        entry for entry in effective
        if entry.route.request_class.latency_target_ms is not None
    ]
    by_class: dict[routes.RequestClass, entries_module.RouteEntry] = {}
    for entry in stated:
        by_class.setdefault(entry.route.request_class, entry)
    priorities = {cls.priority for cls in by_class}
    targets = {cls.latency_target_ms for cls in by_class}
    if len(priorities) < 2 or len(targets) < 2:
        return []
    return [
        Finding(
            Code.URGENT_BUT_LOOSE, f'{entry.place}.targetLatencyMs',
            f'the class has the most urgent priority, {cls.priority}, and the '
            f'loosest latency target, {cls.latency_target_ms} ms')
        for cls, entry in by_class.items()
        if cls.priority == min(priorities) and
        cls.latency_target_ms == max(targets)
    ]


def _cold_limit_too_low(service: entries_module.ServiceEntry) -> list[Finding]:
    warmup_s = _number(service.fields, 'warmupS')
    per_s = service.limits.cold_per_s
    # A limit of 0 means that there is none.
    if not per_s or not warmup_s or not 0 < per_s * warmup_s < 1:
        return []
    return [
        Finding(
            Code.COLD_LIMIT_TOO_LOW, f'{service.place}.coldPerS',
            f'{per_s:g} requests per second are less than one in the warm-up '
            f'of {warmup_s:g} s')
    ]


def _idle_below_answer(
        spec: typing.Any,
        effective: list[entries_module.RouteEntry]) -> list[Finding]:
    written = spec.get('limits') if isinstance(spec, dict) else None
    idle_ms = _number(written, 'idleTimeoutMs')
    if idle_ms is None or not effective:
        return []
    longest = max(effective, key=_answer_ms)
    if idle_ms >= _answer_ms(longest):
        return []
    return [
        Finding(
            Code.IDLE_BELOW_ANSWER, 'limits.idleTimeoutMs',
            f'connections are closed after {idle_ms:g} ms, while an answer of '
            f'{longest.place} may take {_answer_ms(longest)} ms')
    ]


def _answer_ms(entry: entries_module.RouteEntry) -> int:
    """Returns the longest answer time of a route in ms; 0 if unknown."""
    cls = entry.route.request_class
    return max(cls.timeout_ms or 0, cls.latency_target_ms or 0)
