#!/usr/bin/env bash
exec python3 "$(dirname "$0")/retries.py" "${1:-build}"
