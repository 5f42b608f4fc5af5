#!/usr/bin/env bash
exec python3 "$(dirname "$0")/limits.py" "${1:-build}" "${2:-1}"
