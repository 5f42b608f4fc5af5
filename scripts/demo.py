#!/usr/bin/env python3
"""Shows fescueridge at work on loopback in about a minute; every process is stopped again.

    scripts/demo.py [--build DIRECTORY]

Two failure domains, a call chain three deep, an overload, a drain, an explanation and a
piece of the time line. Ctrl-C ends it early. Exit code 0 when everything went as said.
"""

import argparse
import collections
import os
import sys
import threading
import time

from local_fleet import LocalFleet, print_load, stop_on_signals

SHEET = """\
kind,caller,service,priority,limit_per_s,timeout_ms,at_most_once,path,note
setting,domains,2,,,,,,
rule,*,treatment-menu,5,20,1000,,,callers without a row of their own
rule,salon-tablet,treatment-menu,0,,1000,,,salon tablets are shed last
rule,booking-app,treatment-menu,4,,1000,,,
rule,*,price-register,5,,1000,,,
rule,*,till-pricing,5,,1000,,,
"""

# Each service calls the next one; the last is the bottleneck: in two failure domains two
# servers each with 4 slots of 40 ms, so 400 calls/s in all.
CHAIN = ["treatment-menu", "price-register", "till-pricing"]
SERVERS = {"treatment-menu": 1, "price-register": 1, "till-pricing": 2}
SLOTS = {"treatment-menu": 100, "price-register": 100, "till-pricing": 4}
SERVICE_MS = {"treatment-menu": 1, "price-register": 1, "till-pricing": 40}
CAPACITY = 400

CALM_S, SURGE_S, AFTER_S = 4, 10, 5


class Failed(Exception):
    """A step of the demo did not show what it says."""


def say(text):
    print("\n== " + text, flush=True)


def require(condition, text):
    if not condition:
        raise Failed(text)


def show_tool(fleet, *arguments, nodes=None, keep=None):
    """Runs the tool, prints the command and its output, and returns the output."""
    done = fleet.tool(*arguments, nodes=nodes)
    shown = [str(a) if len(str(a)) < 60 else str(a)[:24] + "..." for a in arguments]
    print("$ fescueridge %s" % " ".join(shown))
    lines = done.stdout.splitlines()
    for line in (keep(lines) if keep else lines):
        print("  " + line)
    require(done.returncode == 0, "the tool ended with %d: %s" % (done.returncode,
                                                                  done.stderr))
    return done.stdout


def start(fleet):
    fleet.start_log()
    for domain in ("d1", "d2"):
        for service in CHAIN:
            for number in range(SERVERS[service]):
                fleet.add_node("%s-%s-%d" % (domain, service, number + 1), domain)
    fleet.start_nodes()
    for node in fleet.nodes:
        node.service = node.name[3:-2]
        below = CHAIN[CHAIN.index(node.service) + 1:][:1]
        node.start_server("--service", node.service, "--slots", SLOTS[node.service],
                          "--service-ms", SERVICE_MS[node.service],
                          *(["--downstream", below[0]] if below else []))
    print("%d nodes in 2 failure domains, a backend server beside each, and the log" % len(
        fleet.nodes))
    print("chain: caller -> %s" % " -> ".join(CHAIN))


def load_sheet(fleet):
    fleet.wait_members(len(fleet.nodes))
    file = os.path.join(fleet.folder, "sheet.csv")
    with open(file, "w", encoding="utf-8") as out:
        out.write(SHEET)
    show_tool(fleet, "check", file)
    show_tool(fleet, "submit", file, "--author", "demo", "--wait")
    fleet.wait_ready()
    fleet.wait_servers()
    return file


def serve_one(fleet):
    status, headers, data = fleet.nodes[0].call("treatment-menu", "/menu/7",
                                                caller="salon-tablet")
    print("GET /call/treatment-menu/menu/7 as salon-tablet: %d, Fescue-Outcome %s" % (
        status, headers.get("fescue-outcome")))
    print("  " + data.decode().strip())
    require(status == 200, "the first call was not served")


def plan_of(fleet):
    def caller(name, rate):
        return {"name": name, "caller": name, "service": "treatment-menu",
                "path": "/menu/{n}", "rate": rate, "timeout_ms": 1000}
    return {
        "targets": ["127.0.0.1:%d" % node.caller for node in fleet.nodes
                    if node.service == "treatment-menu"],
        "classes": [caller("salon-tablet", CAPACITY * 0.15),
                    caller("booking-app", CAPACITY * 0.3),
                    caller("unknown-crawler", CAPACITY * 0.1)],
        "phases": [{"name": "calm", "duration_ms": CALM_S * 1000},
                   {"name": "surge", "duration_ms": SURGE_S * 1000, "surge": True,
                    "factor": {"booking-app": 9}},
                   {"name": "after", "duration_ms": AFTER_S * 1000}],
    }


def find_refusal(fleet, seconds):
    """Calls as the booking app until a call is refused for overload."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        status, headers, data = fleet.nodes[0].call("treatment-menu", "/menu/1",
                                                    caller="booking-app")
        if headers.get("fescue-reason", "").startswith("overload"):
            return status, headers, data
    raise Failed("no call was refused during the surge")


def overload(fleet, sheet_file):
    print("load: salon-tablet %d/s, booking-app %d/s, unknown-crawler %d/s for %d s;" % (
        CAPACITY * 0.15, CAPACITY * 0.3, CAPACITY * 0.1, CALM_S))
    print("then the booking app surges to %d/s for %d s; till-pricing can serve %d/s" % (
        CAPACITY * 2.7, SURGE_S, CAPACITY))
    load = fleet.start_load("load", plan_of(fleet))
    time.sleep(CALM_S + 3)
    status, headers, _ = find_refusal(fleet, SURGE_S - 4)
    print("one refusal during the surge: %d, Fescue-Outcome %s, Fescue-Reason %s" % (
        status, headers["fescue-outcome"], headers["fescue-reason"]))
    show_tool(fleet, "pressure", nodes=fleet.nodes[:1])
    show_tool(fleet, "explain", headers["fescue-refusal"], "--sheet", sheet_file)
    report = fleet.load_report(load, CALM_S + SURGE_S + AFTER_S + 20)
    say("Who was served and who was refused, and why")
    print_load(report)
    check_report(report)


def check_report(report):
    phases = {(entry["name"], counts["name"]): counts for entry in report["classes"]
              for counts in entry["phases"]}
    share = {key: counts["ok"] / max(1, counts["sent"]) for key, counts in phases.items()}
    require(all(counts["wrong_answers"] == 0 for counts in phases.values()),
            "an answer was not whole")
    require(share["booking-app", "surge"] < 0.9, "the surge was no overload")
    require(share["salon-tablet", "surge"] > share["booking-app", "surge"],
            "the salon tablets were not served before the booking app")
    require(phases["unknown-crawler", "calm"]["refused"].get("limit"),
            "the limit of the unknown caller did not hold")


def drain(fleet):
    drained = next(node for node in fleet.nodes if node.service == "till-pricing")
    results = collections.Counter()
    stop = threading.Event()

    def call_on(number):
        while not stop.is_set():
            node = fleet.nodes[number % 2]
            status, headers, _ = node.call("treatment-menu", "/menu/%d" % number,
                                           caller="salon-tablet", timeout_ms=3000)
            results[headers.get("fescue-outcome"), status] += 1
            number += 1
    threads = [threading.Thread(target=call_on, args=(i,), daemon=True) for i in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    show_tool(fleet, "drain", nodes=[drained])
    time.sleep(2)
    before = drained.server_stats()["executions"]
    served = sum(results.values())
    time.sleep(2)
    after = drained.server_stats()["executions"]
    more = sum(results.values()) - served
    stop.set()
    for thread in threads:
        thread.join()
    print("beside %s, 2 s after the drain: %d new calls reach its server, %d calls are "
          "answered by the fleet" % (drained.name, after - before, more))
    print("outcomes during the drain: %s" % ", ".join(
        "%s (%d): %d" % (outcome, status, count)
        for (outcome, status), count in sorted(results.items())))
    require(after == before and more > 0, "the drained server got new work")
    require(set(results) == {("ok", 200)}, "the drain disturbed calls")


def show_timeline(fleet):
    def shorten(lines):
        wanted = ("sheet_in_force", "node_ready", "server_state")
        rows = [line for line in lines[1:] if any(word in line for word in wanted)]
        return lines[:1] + rows[-8:]
    text = show_tool(fleet, "timeline", keep=shorten)
    require("draining" in text, "the time line lacks the drain")
    show_tool(fleet, "status", keep=lambda lines: lines[-3:])


def run(options):
    begin = time.monotonic()
    with LocalFleet(options.build) as fleet:
        say("Starting")
        start(fleet)
        say("Loading the sheet with the tool")
        sheet_file = load_sheet(fleet)
        say("Serving a call through the chain")
        serve_one(fleet)
        say("Overloading till-pricing")
        overload(fleet, sheet_file)
        say("Draining one backend server under load")
        drain(fleet)
        say("A piece of the time line")
        show_timeline(fleet)
        say("Stopping")
    print("%d processes stopped, %.0f s in all" % (len(fleet.processes),
                                                  time.monotonic() - begin))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default="build", help="build directory")
    options = parser.parse_args()
    stop_on_signals()
    try:
        run(options)
        return 0
    except KeyboardInterrupt:
        print("interrupted; every process was stopped", file=sys.stderr)
        return 130
    except (Failed, AssertionError) as problem:
        print("demo: %s" % problem, file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
