#!/usr/bin/env bash
exec python3 "$(dirname "$0")/at_most_once.py" "${@:-build}"
