"""Checks a configuration before it is sent, and compares it.

Examples
========

>>> from figdrum.flows import routes
>>> def decode(spec):
...     return routes.Configuration(spec['version'], {}, {})
>>> spec = {'version': 2, 'routes': [], 'services': []}
>>> print(*check(spec, decode))
<BLANKLINE>
>>> print(*compare(spec, {**spec, 'version': 3}, decode))
warning version: all balancers ignore version 2, since version 3 is in force \
[version-not-higher]
"""

import typing

from figdrum.config_check import comparison
from figdrum.config_check import entries as entries_module
from figdrum.config_check import faults
from figdrum.config_check import findings
from figdrum.config_check import limits
from figdrum.config_check import unused_entries

Finding = findings.Finding


def check(spec: typing.Any, decode: entries_module.Decode) -> list[Finding]:
    """Returns the findings about a configuration on its own.

    Args:
      spec: The configuration object.
      decode: The balancers' decoder.

    Returns:
      Errors exactly if the balancers do not accept the configuration.
    """
    entries = entries_module.decode_all(spec, decode)
    return (faults.locate(spec, decode) + unused_entries.find(spec, entries) +
            limits.find(spec, entries))


def compare(spec: typing.Any, in_force: typing.Any,
            decode: entries_module.Decode) -> list[Finding]:
    """Returns the differences of a configuration from the one in force.

    Args:
      spec: The configuration object.
      in_force: The configuration object in force.
      decode: The balancers' decoder.

    Returns:
      No findings if balancers refuse the new configuration.
    """
    if decode(spec) is None:
        return []
    if decode(in_force) is None:
        return [
            Finding(
                findings.Code.IN_FORCE_REFUSED, '',
                'there is no comparison: balancers refuse the version in '
                'force and keep an earlier one')
        ]
    return comparison.compare(spec, entries_module.decode_all(spec, decode),
                              in_force,
                              entries_module.decode_all(in_force, decode))
