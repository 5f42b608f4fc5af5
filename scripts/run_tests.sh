#!/usr/bin/env bash
# Runs every unit test program and every end-to-end case; the last line is the total.
# A test named in KNOWN-RED.txt by a line "red: <test name>" is run and printed, but its
# failure does not count.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
passed=0
failed=0

is_known_red() { grep -qx "red: $1" KNOWN-RED.txt 2>/dev/null; }

count_case() {
    local name=$1 status=$2
    if [ "$status" -eq 0 ]; then
        passed=$((passed + 1))
        echo "ok $name"
    elif is_known_red "$name"; then
        echo "known red: $name"
    else
        failed=$((failed + 1))
        echo "not ok $name"
    fi
}

run_unit_tests() {
    local program=$1 name output status before=$failed
    name=$(basename "$program")
    output=$build/$name.tap
    timeout 120 "$program" --tap -j2 >"$output" 2>&1
    status=$?
    while read -r line; do
        case "$line" in
        "ok "*) count_case "$(sed 's/^ok - //; s/ .*//' <<<"$line")" 0 ;;
        "not ok "*) count_case "$(sed 's/^not ok - //; s/ .*//' <<<"$line")" 1 ;;
        esac
    done <"$output"
    if [ "$failed" -gt "$before" ]; then
        grep -v '^ok ' "$output"
    fi
    # A program that stops without reporting its tests must not pass unseen.
    if ! grep -q '^1\.\.[1-9]' "$output" || { [ "$status" -ne 0 ] && ! grep -q '^not ok ' "$output"; }; then
        tail -n 20 "$output"
        count_case "$name" 1
    fi
}

# Processor time, in ticks, that the host gave to others while this machine wanted it.
stolen_ticks() { awk '/^cpu / { print $9 }' /proc/stat; }

run_script() {
    local script=$1 name log start status stolen
    name=${script%/run.sh}
    log=$build/$(tr '/' '_' <<<"$name").log
    start=$(date +%s)
    stolen=$(stolen_ticks)
    timeout 180 "$script" "$build" >"$log" 2>&1
    status=$?
    [ "$status" -eq 0 ] || tail -n 40 "$log"
    count_case "$name" "$status"
    echo "   $(($(date +%s) - start)) s, $(($(stolen_ticks) - stolen)) ticks stolen"
}

for program in "$build"/bin/*_test; do
    [ -x "$program" ] && run_unit_tests "$program"
done
for script in spec/run.sh testsuite/*/run.sh platform/testsuite/*/run.sh; do
    [ -x "$script" ] && run_script "$script"
done

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
