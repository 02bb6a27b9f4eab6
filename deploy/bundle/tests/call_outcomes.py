"""Prints what calls of a module return or raise, each in a new process.

`call_outcomes.py MODULE` reads an expression from each line of the standard
input, in which `m` is the module. The process that reads them imports nothing
else, so no call finds a module that an earlier one has imported.
"""

import os
import sys


def _outcome(module: str, expression: str) -> str:
    try:
        value = eval(expression, {'m': __import__(module, fromlist=['*'])})  # pylint: disable=eval-used
    # Any exception is an outcome.
    except BaseException as exc:  # pylint: disable=broad-exception-caught
        return f'{type(exc).__module__}.{type(exc).__qualname__}: {exc}'
    return repr(value)


def main() -> None:
    """Prints a line for each expression."""
    for expression in sys.stdin.read().splitlines():
        if not os.fork():
            outcome = _outcome(sys.argv[1], expression)
            print(ascii(outcome), flush=True)
            os._exit(0)
        os.wait()


if __name__ == '__main__':
    main()
