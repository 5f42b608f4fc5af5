#!/usr/bin/env bash
# Checks the Promela models with spin, and that each mutant (a guard left out) is found in
# at least one configuration of its model. Fails if a model has an error, if a search was not
# complete, or if a mutant passes everywhere.
set -uo pipefail
build=${1:-build}
case $build in /*) ;; *) build=$PWD/$build ;; esac
cd "$(dirname "$0")" || exit 1
work=$build/spec
memory_mb=2000
search_depth=100000
failed=0

# One search over everything at once does not end within 2 GB, so each model has
# configurations that leave out one kind of step.
claims_configurations=("-DHOLDERS=2 -DLOG=6 -DFAULTS=2" "-DNO_RETENTION -DHOLDERS=3 -DLOG=6 -DFAULTS=2")
sheet_configurations=("-DNO_RETENTION -DFAULTS=1 -DDAMAGES=1" "-DFAULTS=0 -DCARRIES=1" "-DNO_PEERS -DFAULTS=0 -DCARRIES=2" "-DNO_PEERS -DFAULTS=1 -DCARRIES=1" "-DNO_RETENTION -DFAULTS=2")

# Builds and runs the verifier of a model; the output goes to a file.
verify() {
    local model=$1 options=$2 log=$3 source=$PWD/$1.pml folder
    folder=$(mktemp -d "$work/$model.XXXXXX")
    (
        cd "$folder" || exit 1
        # shellcheck disable=SC2086 # several options
        spin $options -a "$source" &&
            gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb -o pan pan.c &&
            ./pan -E -m$search_depth
    ) >"$log" 2>&1
    rm -rf "$folder"
}

is_complete() {
    ! grep -Eq 'max search depth too small|Search not completed|out of memory|interrupted' "$1"
}

check_model() {
    local model=$1 options=$2 log=$work/$1.$3.log start=$SECONDS
    verify "$model" "$options" "$log"
    if grep -q 'errors: 0' "$log" && is_complete "$log"; then
        echo "ok $model $options:$(grep 'states, stored' "$log" | tr -s ' '), $((SECONDS - start)) s"
    else
        echo "not ok $model $options"
        tail -n 20 "$log"
        failed=1
    fi
}

check_mutant() {
    local model=$1 mutant=$2 log=$work/$1.$2.log options
    shift 2
    for options in "$@"; do
        verify "$model" "-D$mutant $options" "$log"
        if grep -q 'assertion violated' "$log" && grep -q 'errors: 1' "$log"; then
            echo "ok $model $mutant is found: $(grep -m1 -o 'assertion violated.*' "$log")"
            return
        fi
    done
    echo "not ok $model $mutant is not found"
    tail -n 20 "$log"
    failed=1
}

check_all() {
    local model=$1 number=0 options mutant
    shift
    for options in "$@"; do
        check_model "$model" "$options" $((number += 1))
    done
    for mutant in $(grep -o 'MUTANT_[A-Z_]*' "$model.pml" | sort -u); do
        check_mutant "$model" "$mutant" "$@"
    done
}

mkdir -p "$work"
# The models do not depend on each other; the output of the second follows the first's.
(check_all sheet "${sheet_configurations[@]}"; exit "$failed") >"$work/sheet.out" 2>&1 &
sheet=$!
check_all claims "${claims_configurations[@]}"
wait "$sheet" || failed=1
cat "$work/sheet.out"
exit "$failed"
