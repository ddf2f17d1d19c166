#!/bin/sh
# Compiles the stand-ins of the cases. They need the standard library alone, and the .venv of the deploy file's build.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -m compileall -q standins.py 1 2 3
