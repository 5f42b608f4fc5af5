#!/usr/bin/env bash
exec python3 "$(dirname "$0")/overload.py" "${1:-build}"
