"""Measures the resident memory of each subcommand after its imports.

Explanation
===========

Run it with `python -m bench.memory`. The modules of each subcommand are
imported in a separate process, as `figdrum` imports them. A balancer and an
agent replace their process image, so for them these are `figdrum.cli.serve` and
the module of the process. No traffic is served. The figure is VmRSS of
/proc/self/status.

References
==========

proc(5), /proc/pid/status.
"""

import subprocess
import sys

from figdrum.cli import app

ROLES = ('balancer', 'agent')
# Prints VmRSS in kB after importing the modules named as arguments.
SCRIPT = '''
import importlib, sys
for name in sys.argv[1:]:
    importlib.import_module(name)
with open('/proc/self/status', encoding='ascii') as status:
    print(next(row.split()[1] for row in status if row.startswith('VmRSS')))
'''


def modules_for(command: str) -> list[str]:
    """Returns the names of the modules that a subcommand imports.

    Examples
    ========

    >>> modules_for('check')
    ['figdrum.cli.app', 'figdrum.cli.check']
    """
    if command in ROLES:
        return ['figdrum.cli.serve', f'figdrum.{command}.process']
    return ['figdrum.cli.app', app.COMMANDS[command].partition(':')[0]]


def measure_kb(modules: list[str]) -> int:
    """Returns the memory of a process that imports `modules`, in kB."""
    done = subprocess.run([sys.executable, '-c', SCRIPT, *modules],
                          capture_output=True,
                          check=True,
                          text=True)
    return int(done.stdout)


def main() -> None:
    """Prints one line per subcommand."""
    print(f'{"(Python alone)":18}{measure_kb([]):>8} kB')
    for command in app.COMMANDS:
        try:
            print(f'{command:18}{measure_kb(modules_for(command)):>8} kB')
        except subprocess.CalledProcessError as exc:
            print(f'{command:18} not loaded: {exc.stderr.splitlines()[-1]}')


if __name__ == '__main__':
    main()
