"""Measures the figures of docs/design.md section 1.3 in real processes on loopback.

Usage: python3 scripts/bench <build folder> [--quick] [--only WORD[,WORD...]]

Writes one JSON object a line to <build folder>/bench/results.jsonl and prints a table.
"""

import argparse
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)
sys.path.insert(0, os.path.join(HERE, "..", "..", "testsuite"))
import figures  # noqa: E402
from results import Results  # noqa: E402


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--only", default="", help="names of groups, separated by commas")
    options = parser.parse_args()
    results = Results(os.path.join(options.build, "bench", "results.jsonl"))
    wanted = [word for word in options.only.split(",") if word]
    started = time.monotonic()
    for name, measure in figures.GROUPS:
        if wanted and name not in wanted:
            continue
        print("== %s (%.0f s)" % (name, time.monotonic() - started), flush=True)
        try:
            measure(options.build, options.quick, results)
        except Exception as problem:  # one broken group must not hide the other figures
            results.fail(name, problem)
    results.print_table()
    print("%.0f s" % (time.monotonic() - started))
    return 1 if results.broken else 0


if __name__ == "__main__":
    sys.exit(main())
