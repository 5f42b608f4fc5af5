#!/usr/bin/env bash
# Checks that what the scripts of the second review start is there: the program of the deploy
# file, and the stand-ins, which are in Python and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/fescueridge_gatewayd
PYTHONDONTWRITEBYTECODE=1 python3 - <<'EOF'
import ast
import pathlib

for pattern in ("review/harness2.py", "review/[6-9]/*.py", "review/10/*.py",
                "platform/testsuite/standin.py", "testsuite/fleet.py"):
    for path in pathlib.Path(".").glob(pattern):
        ast.parse(path.read_text(encoding="utf-8"), str(path))
EOF
