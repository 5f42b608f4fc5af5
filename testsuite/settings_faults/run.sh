#!/usr/bin/env bash
exec python3 "$(dirname "$0")/settings_faults.py" "${1:-build}"
