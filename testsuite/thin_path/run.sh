#!/usr/bin/env bash
exec python3 "$(dirname "$0")/thin_path.py" "${1:-build}"
