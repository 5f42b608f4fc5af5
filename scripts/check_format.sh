#!/usr/bin/env bash
# Fails when a source file differs from what clang-format makes of it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -z -- '*.cpp' '*.hpp' | xargs -0 -r clang-format --dry-run --Werror
