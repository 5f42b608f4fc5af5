#!/usr/bin/env bash
# Checks the commands that need no node: exit codes, fault lines, JSON and explanations.
# The token and the explanation are kept as files: a token that was handed out must give
# the same text with every later build.
set -uo pipefail
tool=$(cd "$1" && pwd)/bin/fescueridge
cd "$(dirname "$0")" || exit 1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

source ../tool_expect.sh

# expect_output FILE: compares what the last run printed.
expect_output() {
    if ! diff "$1" "$work/out"; then
        echo "output differs from $1"
        failures=$((failures + 1))
    fi
}

# expect_error TEXT: looks for a text on standard error and none on standard output.
expect_error() {
    if ! grep -q -- "$1" "$work/err" || [ -s "$work/out" ]; then
        echo "standard error lacks: $1"
        cat "$work/out" "$work/err"
        failures=$((failures + 1))
    fi
}

token=$(cat token.txt)

expect 0 check sheet.csv
expect 0 check ../../examples/lackhuset/sheet.csv
expect 0 check ../../examples/lindenhof/sheet.csv
expect 1 check bad_sheet.csv
expect_output faults.txt
expect 1 --json check bad_sheet.csv
expect_json 'not d["ok"] and len(d["faults"]) == 4'
expect_json 'd["faults"][0] == {"row": 2, "column": "priority", "reason": "out_of_range", "text": d["faults"][0]["text"]}'
expect 0 check sheet.csv --json
expect_json 'd == {"ok": True, "faults": []}'
expect 2 check "$work/missing.csv"
expect_error 'cannot read file'

expect 0 explain "$token"
expect_output explanation.txt
expect 0 explain "$token" --sheet sheet.csv --json
expect_json 'd["verification"] == "confirmed" and d["record"]["row"] == 4'
expect_json 'd["text"] == open("explanation.txt").read()'
expect 1 explain "$token" --sheet ../../examples/lackhuset/sheet.csv
expect 1 explain "$token" --sheet bad_sheet.csv
expect 1 explain "${token/a/b}"
expect_error 'damaged'
expect 1 explain "${token:0:40}"
expect 1 explain 'no token'

expect 0 --help
expect 0 submit --help
expect 2
expect 2 unknown
expect 2 check
expect 2 check sheet.csv --timeout-ms 0
expect 2 status
expect_error 'needs --node'
expect 2 status --node 127.0.0.1
expect 2 drain --node 127.0.0.1:1,127.0.0.1:2
# Port 1 of the loopback address is closed.
expect 3 status --node 127.0.0.1:1
expect_error '127.0.0.1:1 does not answer'
expect 1 submit bad_sheet.csv --author ana --node 127.0.0.1:1
expect 3 submit sheet.csv --author ana --node 127.0.0.1:1

[ "$failures" -eq 0 ] && echo "all expectations met"
exit "$((failures > 0))"
