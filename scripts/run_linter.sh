#!/usr/bin/env bash
# Runs clang-tidy over every source file of the compilation database, one process a core.
# Files whose preprocessed inputs did not change since a clean run are skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cache=$build/lint
mkdir -p "$cache"

lint_one() {
    local file=$1 stamp
    stamp="$cache/$(printf '%s' "$file" | tr '/' '_').clean"
    local newest
    newest=$(find src testsuite platform -name '*.hpp' -newer "$stamp" 2>/dev/null | head -1 || true)
    if [ -e "$stamp" ] && [ "$stamp" -nt "$file" ] && [ "$stamp" -nt .clang-tidy ] && [ -z "$newest" ]; then
        return 0
    fi
    if clang-tidy --quiet -p "$build" "$file" >"$stamp.log" 2>&1; then
        mv "$stamp.log" "$stamp"
    else
        cat "$stamp.log"
        return 1
    fi
}
export -f lint_one
export build cache

git ls-files -- 'src/*.cpp' 'testsuite/*.cpp' 'platform/*.cpp' | grep -v '_test\.cpp$' |
    xargs -r -P "$(nproc)" -I{} bash -c 'lint_one {}'
