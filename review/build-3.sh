#!/usr/bin/env bash
# Builds what the cases 11 to 15 start beside the program of the deploy file. All their
# stand-ins are Python programs, so there is nothing to compile: this checks that they can
# be loaded. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/fescueridge_gatewayd
for file in review/harness3.py review/1[1-5]/case.py platform/testsuite/standin.py testsuite/fleet.py; do
    python3 - "$file" <<'CHECK'
import ast
import pathlib
import sys

ast.parse(pathlib.Path(sys.argv[1]).read_text())
CHECK
done
python3 -c 'import sys; sys.path.insert(0, "review"); import harness3'
