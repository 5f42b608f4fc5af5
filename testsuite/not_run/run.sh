#!/usr/bin/env bash
exec python3 "$(dirname "$0")/not_run.py" "${@:-build}"
