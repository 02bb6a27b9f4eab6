#!/bin/sh
# The stand-ins are Python without dependencies; this checks that they compile.
# PYTHONPYCACHEPREFIX keeps compiled files out of the repository.
set -eu
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile standins.py [0-9]*/case.py
