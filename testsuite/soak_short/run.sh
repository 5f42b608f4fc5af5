#!/usr/bin/env bash
exec python3 "$(dirname "$0")/../../scripts/soak.py" "${1:-build}" --seconds 20 --seed 1
