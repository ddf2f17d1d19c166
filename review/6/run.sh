#!/bin/sh
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
../../.venv/bin/python -B case.py &
case=$!
trap 'kill "$case" 2>/dev/null' INT TERM HUP
wait "$case"
code=$?
while kill -0 "$case" 2>/dev/null; do wait "$case"; code=$?; done
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
