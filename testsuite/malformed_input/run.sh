#!/usr/bin/env bash
exec "${1:-build}/bin/fescue_malformed_input" --seed "${2:-1}" --inputs "${3:-20000}"
