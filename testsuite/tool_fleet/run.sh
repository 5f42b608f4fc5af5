#!/usr/bin/env bash
exec python3 "$(dirname "$0")/tool_fleet.py" "${1:-build}"
