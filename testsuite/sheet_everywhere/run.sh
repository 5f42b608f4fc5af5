#!/usr/bin/env bash
set -e
python3 "$(dirname "$0")/small_changes.py" "${1:-build}" "${2:-1}"
python3 "$(dirname "$0")/sheet_everywhere.py" "${1:-build}" "${2:-1}"
