#!/usr/bin/env bash
# CONFIG: a version with a route of a low rank is never applied by any node.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 review/15/case.py &
case_pid=$!
trap 'kill "$case_pid" 2>/dev/null' TERM INT HUP
wait "$case_pid"
status=$?
if [ "$status" -gt 128 ]; then # a signal came; the case ends its processes first
    wait "$case_pid"
    status=2
fi
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
