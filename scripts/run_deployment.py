#!/usr/bin/env python3
"""Runs one of the two deployments on loopback with its example sheet and a light load.

    scripts/run_deployment.py lackhuset|lindenhof [--seconds N] [--build DIRECTORY]

Starts the stand-in log, every node and every stand-in backend server at the stated slots
and connections, submits examples/<name>/sheet.csv, sends a light mixed load, prints the
status and who was served, and stops every process. Ctrl-C ends it early.
"""

import argparse
import sys

from local_fleet import Deployment, LocalFleet, print_load, stop_on_signals


def call_class(caller, service, path, rate, method="GET", key=False, timeout_ms=1000):
    name = "%s %s%s" % (caller, service, "" if method == "GET" else " " + path)
    entry = {"name": name, "caller": caller, "service": service, "path": path,
             "method": method, "rate": rate, "timeout_ms": timeout_ms,
             "idempotency_key": key}
    if method == "POST":
        entry["body"] = "request {n} of " + caller
    else:
        entry["path"] = path + "/{n}"
    return entry


# The callers of section 1.1 with rates far under the capacity.
LOADS = {
    "lackhuset": [
        call_class("salon-tablet", "till-pricing", "/price", 40),
        call_class("salon-tablet", "treatment-menu", "/menu", 10),
        call_class("salon-tablet", "campaign-scheduling", "/today", 5),
        call_class("booking-app", "treatment-menu", "/menu", 20),
        call_class("booking-app", "price-register", "/price", 20),
        call_class("head-office", "treatment-menu", "/publish", 1, "POST", True, 2000),
        call_class("head-office", "campaign-scheduling", "/push", 1, "POST", True, 3000),
        call_class("head-office", "price-register", "/publish", 2, "POST", False, 3000),
        call_class("unknown", "till-pricing", "/price", 2),
    ],
    "lindenhof": [
        call_class("court", "court-verification", "/verify", 40),
        call_class("court", "public-registry", "/mediator", 10),
        call_class("mediator", "public-registry", "/mediator", 10),
        call_class("client", "public-registry", "/mediator", 20),
        call_class("mediator", "renewals", "/renew", 2, "POST", False, 3000),
        call_class("mediator", "certificates", "/issue", 1, "POST", True, 3000),
        call_class("court", "certificates", "/certificate", 5),
        call_class("unknown", "public-registry", "/mediator", 2),
    ],
}


def run(options):
    with LocalFleet(options.build) as fleet:
        deployment = Deployment(fleet, options.name, options.first_port)
        print("starting the log, %d nodes and %d backend servers" % (
            len(deployment.processes["nodes"]), len(deployment.processes["nodes"])))
        deployment.start()
        print("submitting %s" % deployment.sheet)
        print(deployment.submit(), end="")
        print("operator ports: %s" % fleet.operators())
        print("caller port of the first node: 127.0.0.1:%d" % fleet.nodes[0].caller)
        plan = {
            "targets": ["127.0.0.1:%d" % node.caller for node in fleet.nodes],
            "classes": LOADS[options.name],
            "phases": [{"name": "light", "duration_ms": options.seconds * 1000}],
        }
        print("sending a light mixed load for %d s" % options.seconds)
        load = fleet.start_load("load", plan)
        report = fleet.load_report(load, options.seconds + 30)
        print(fleet.tool("status").stdout, end="")
        print_load(report)
        print("stopping every process")
        served = all(counts["ok"] > 0 and counts["wrong_answers"] == 0
                     for entry in report["classes"] for counts in entry["phases"])
        return 0 if served else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("name", choices=sorted(LOADS))
    parser.add_argument("--seconds", type=int, default=10, help="length of the load")
    parser.add_argument("--build", default="build", help="build directory")
    parser.add_argument("--first-port", type=int, default=20000)
    options = parser.parse_args()
    if options.seconds < 1:
        parser.error("--seconds must be at least 1")
    stop_on_signals()
    try:
        return run(options)
    except KeyboardInterrupt:
        print("interrupted; every process was stopped", file=sys.stderr)
        return 130


if __name__ == "__main__":
    sys.exit(main())
