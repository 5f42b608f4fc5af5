#!/usr/bin/env bash
exec python3 "$(dirname "$0")/straggler.py" "${1:-build}"
