#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the softswitch: stand-ins of their own in Python, which need
# nothing but the interpreter that the build of the deploy file has made. No stand-in of the project's own is used.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review/standins_2 review/6 review/7 review/8 review/9 review/10
