#!/usr/bin/env bash
exec python3 "$(dirname "$0")/deployments.py" "${1:-build}"
