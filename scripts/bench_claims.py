#!/usr/bin/env python3
"""Measures what at-most-once calls cost, with the stand-in log on loopback.

Prints one JSON line for each figure: figure, unit, value (median of the runs), runs and
spread (lowest and highest run).
"""

import argparse
import json
import os
import statistics
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "testsuite"))
from fleet import http_json  # noqa: E402
from records import Stage  # noqa: E402

RATES = [1, 100, 1000]


def run_load(stage, seed, path, rate, seconds, connections=None):
    """Runs the load generator on node a and returns the report of its one phase."""
    plan = {"targets": ["127.0.0.1:%d" % stage.a.caller],
            "classes": [{"name": "calls", "service": "push", "method": "POST",
                         "path": path, "rate": rate, "timeout_ms": 1000,
                         "idempotency_key": path.startswith("/once")}],
            "phases": [{"name": "steady", "duration_ms": seconds * 1000}]}
    file = os.path.join(stage.folder, "plan-%d.json" % seed)
    with open(file, "w") as out:
        json.dump(plan, out)
    command = [os.path.join(stage.bin, "fescue_load"), "--plan", file, "--seed", str(seed),
               "--out", file + ".out"]
    if connections:
        command += ["--mode", "closed", "--connections", str(connections)]
    subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
    with open(file + ".out") as report:
        return json.load(report)["classes"][0]["phases"][0]


def appends(stage):
    return http_json(stage.log_port, "GET", "/control/stats")[1]["appends"]


def measure(stage, run, seconds, add):
    seed = 1000 * run
    for rate in RATES:
        seed += 2
        duration = max(seconds, 20) if rate == 1 else seconds
        once = run_load(stage, seed, "/once/{n}", rate, duration)
        plain = run_load(stage, seed + 1, "/plain/{n}", rate, duration)
        for part in ("p50", "p99"):
            add("claim_added_%s_at_%d_per_s" % (part, rate), "ms",
                once["latency_ms"][part] - plain["latency_ms"][part])
        add("claim_ok_part_at_%d_per_s" % rate, "1", once["ok"] / max(1, once["sent"]))
    before = appends(stage)
    report = run_load(stage, seed + 2, "/once/{n}", 0, seconds, connections=500)
    add("claims_per_s_of_a_node", "1/s", report["goodput_per_s"])
    add("claim_appends_per_s_of_a_node", "1/s", (appends(stage) - before) / seconds)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=int, default=5)
    options = parser.parse_args()
    figures = {}

    def add(figure, unit, value):
        figures.setdefault((figure, unit), []).append(value)

    for run in range(options.runs):
        with Stage(options.build, server_options=(
                "--service-ms", 1, "--slots", 500, "--connections", 600)) as stage:
            measure(stage, run + 1, options.seconds, add)
    for (figure, unit), values in figures.items():
        print(json.dumps({"figure": figure, "unit": unit,
                          "value": round(statistics.median(values), 3),
                          "runs": len(values),
                          "spread": [round(min(values), 3), round(max(values), 3)]}))


if __name__ == "__main__":
    main()
