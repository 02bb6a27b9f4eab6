"""Runs `python -m figdrum`."""

import sys

from figdrum.cli import app

if __name__ == '__main__':
    sys.exit(app.main())
