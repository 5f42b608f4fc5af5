# Checks on runs of the tool; sourced by a case that sets tool, work and failures.

# expect CODE ARGUMENT...: runs the tool and compares its exit code.
expect() {
    local expected=$1 status
    shift
    "$tool" "$@" >"$work/out" 2>"$work/err"
    status=$?
    if [ "$status" -ne "$expected" ]; then
        echo "exit code $status instead of $expected: fescueridge $*"
        cat "$work/out" "$work/err"
        failures=$((failures + 1))
    fi
}

# expect_json EXPRESSION: evaluates it over the JSON that the last run printed.
expect_json() {
    if ! python3 -c "import json,sys; d=json.load(sys.stdin); sys.exit(not ($1))" <"$work/out"; then
        echo "JSON does not satisfy: $1"
        cat "$work/out"
        failures=$((failures + 1))
    fi
}
