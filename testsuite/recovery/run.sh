#!/usr/bin/env bash
exec python3 "$(dirname "$0")/recovery.py" "${1:-build}" "${2:-2}"
