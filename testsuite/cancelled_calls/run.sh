#!/usr/bin/env bash
exec python3 "$(dirname "$0")/cancelled_calls.py" "${1:-build}"
