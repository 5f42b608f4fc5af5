#!/usr/bin/env bash
# Arguments: build folder, seed, names of cases (all without).
exec python3 "$(dirname "$0")/leaving.py" "${1:-build}" "${2:-1}" "${@:3}"
