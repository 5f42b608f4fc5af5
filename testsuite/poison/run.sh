#!/usr/bin/env bash
exec python3 "$(dirname "$0")/poison.py" "${1:-build}"
