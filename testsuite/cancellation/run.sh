#!/usr/bin/env bash
exec python3 "$(dirname "$0")/cancellation.py" "${1:-build}"
