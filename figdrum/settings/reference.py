"""Writes the reference of settings files from the schema.

Explanation
===========

`python -m figdrum.settings.reference` prints the text of docs/settings.md. A
test compares the two, so that the page is never behind the schema.

Examples
========

>>> render_value(('10.0.0.1', 7000))
'10.0.0.1:7000'
>>> unit_of('linger_ms'), unit_of('cold_rate'), unit_of('name')
('ms', 'a second', '')
"""

import typing

from figdrum.settings import schema

INTRODUCTION = '''# Settings

<!-- Written by `python -m figdrum.settings.reference`; a test compares. -->

A settings file is an INI file. `figdrum check FILE` prints every fault in it.

* Keys that end in `_ms` are durations in ms, written without a unit. Rates are a second.
* Addresses are IPv4 numbers, `10.0.0.1:7000`; several are separated by commas.
* Names are lower-case letters, digits and single hyphens, at most 63 characters.
* Unknown sections and keys, and keys given twice, are faults. Comments stand on lines of their own.
* `[process]` and `[platform]` are required in each file, `[balancer]` for a balancer and `[agent]` for an
  agent. Operators' commands need no section of a role.
* Ports that the process opens itself may be 0: the kernel chooses and the process logs the address.

Samples of both users lie in `samples/`.
'''


def unit_of(key: str) -> str:
    """Returns the unit of a key's value, or ''."""
    units = (('_ms', 'ms'), ('_per_s', 'a second'), ('_rate', 'a second'),
             ('_bytes', 'bytes'), ('_percent', '%'))
    return next((unit for suffix, unit in units if key.endswith(suffix)), '')


def render_value(value: typing.Any) -> str:
    """Returns a value as it is written in a file."""
    if isinstance(value, tuple):
        if len(value) == 2 and isinstance(value[1], int):
            return f'{value[0]}:{value[1]}'
        return ', '.join(render_value(item) for item in value) or '(empty)'
    return str(value) if value != '' else '(empty)'


def render_section(name: str, section: type[schema.Section]) -> list[str]:
    """Returns the lines on one section."""
    lines = [
        f'## [{name}]', '', section.__doc__ or '', '',
        '| key | default | unit | meaning |', '|---|---|---|---|'
    ]
    for key, field in section.model_fields.items():
        default = ('**required**' if field.is_required() else
                   f'`{render_value(field.default)}`')
        lines.append(f'| `{key}` | {default} | {unit_of(key)} | '
                     f'{field.description} |')
    return lines + ['']


def render_rules() -> list[str]:
    """Returns the lines on rules between keys."""
    lines = ['## Rules between keys', '']
    for rule in schema.ORDER_RULES:
        lines.append(f'* `[{rule.section}] {rule.low}` is below `{rule.high}`: '
                     f'{rule.reason}.')
    return lines + [
        '* `[agent] cold_rate` is not above `full_rate`.',
        '* `[balancer] packet_port` and `frame_port` differ unless they are 0.',
    ]


def render() -> str:
    """Returns the whole page."""
    lines = [INTRODUCTION]
    for name, section in schema.SECTIONS.items():
        lines += render_section(name, section)
    return '\n'.join(lines + render_rules()) + '\n'


if __name__ == '__main__':
    print(render(), end='')
