#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python programs, so there is nothing to compile:
# the project's own log (platform/testsuite/standin.py) and the servers and clients in machines.py.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'END'
import pathlib
for name in ("machines.py", "../platform/testsuite/standin.py", "../testsuite/fleet.py"):
    compile(pathlib.Path(name).read_text(), name, "exec")
for case in sorted(pathlib.Path(".").glob("[1-5]/case.py")):
    compile(case.read_text(), str(case), "exec")
END
