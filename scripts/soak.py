#!/usr/bin/env python3
"""Runs real processes under a seeded mix of faults and judges them by the servers' records.

The schedule of faults is drawn from the seed and printed. The last line is JSON. The exit
code is not 0 if anything was lost, doubled, answered wrongly, falsely told "not run", or if
a sheet version went back within one process.
"""

import argparse
import json
import os
from random import Random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "testsuite"))
from fleet import Fleet, http_json, sheet, wait_until  # noqa: E402
from records import Ledger, judge, send_and_close  # noqa: E402

RULES = ["*,push,5,,,,/plain", "*,push,5,,,yes", "*,front,6"]
SETTINGS = [("retry_allowance", 3)]
POISON = "poison-soak"
RETENTION_MS = 8000
CALLERS = 12

# Name, weight, and shortest and longest time in seconds that the fault lasts.
FAULTS = [("kill node", 2, 0.0, 1.0), ("stop node", 3, 0.05, 2.5),
          ("kill server", 2, 0.0, 1.0), ("stop server", 2, 0.05, 1.5),
          ("drain node", 1, 0.3, 1.0), ("log down", 2, 0.2, 3.0),
          ("log slow", 2, 0.5, 3.0), ("log lost answers", 2, 0.5, 3.0),
          ("log delayed effects", 2, 0.5, 3.0), ("sheet race", 2, 0.0, 0.0),
          ("poison", 1, 0.0, 0.0)]


def draw_schedule(random, seconds, targets):
    """Returns faults as (start, name, target, duration); they may overlap."""
    schedule = []
    at = random.uniform(0.5, 1.5)
    while at < seconds:
        name, _, low, high = random.choices(FAULTS, [f[1] for f in FAULTS])[0]
        schedule.append((round(at, 2), name, random.randrange(targets),
                         round(random.uniform(low, high), 2)))
        at += random.choice([0.0, 0.3, 0.8, 1.5])  # 0: two faults at one moment
    return schedule


class Soak:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.seed = seed
        self.ledger = Ledger()
        self.over = threading.Event()
        self.reversions = []
        self.submits = 0
        self.log_mutex = threading.Lock()
        self.log_faults = {}
        self.busy = {}

    def start_server(self, node):
        service = node.name.split("-")[1]
        options = ["--service", service, "--slots", 8, "--service-ms", 4,
                   "--service-dist", "exp", "--poison", POISON]
        node.start_server(*options, *(["--downstream", "push"] if service == "front" else []))

    def start_node(self, node):
        node.start(self.fleet.contacts(), self.fleet.log_port,
                   {"log_retention_ms": RETENTION_MS})

    def start(self):
        self.fleet.start_log("--retention-ms", RETENTION_MS)
        for domain in ("a", "b", "c"):
            for service in ("push", "front"):
                self.fleet.add_node("%s-%s" % (domain, service), domain)
        for node in self.fleet.nodes:
            self.start_node(node)
            self.busy[node.name] = threading.Lock()
        for node in self.fleet.nodes:
            wait_until(node.status, 10, node.name + " answers")
        answer = self.fleet.submit(sheet(*RULES, settings=SETTINGS))
        assert answer["status"] == "accepted", answer
        self.fleet.wait_ready()
        for node in self.fleet.nodes:
            self.start_server(node)
        self.fleet.wait_servers()

    def set_log(self, name, on):
        """Faults of the log overlap; the last one to end clears the setting."""
        with self.log_mutex:
            self.log_faults[name] = self.log_faults.get(name, 0) + (1 if on else -1)
            active = {key for key, count in self.log_faults.items() if count > 0}
            self.fleet.control_log(down="log down" in active,
                                   slow_ms=300 if "log slow" in active else 0,
                                   lose_answers="log lost answers" in active,
                                   delay_effect_ms=700 if "log delayed effects" in active
                                   else 0)

    def apply(self, name, node, duration):
        if name.startswith("log"):
            self.set_log(name, True)
            time.sleep(duration)
            self.set_log(name, False)
        elif name == "sheet race":
            self.race_sheets()
        elif name == "poison":
            for number in range(3):
                self.call_safely(node, number)
        else:
            with self.busy[node.name]:  # the faults of one node follow one another
                self.disturb_node(name, node, duration)

    def call_safely(self, node, number):
        try:
            node.call("push", "/plain/%s-%d" % (POISON, time.monotonic_ns()), "POST",
                      POISON, headers={"Fescue-Attempt": str(number + 1)})
        except Exception:  # the caller of a poison request learns nothing; none is judged
            pass

    def disturb_node(self, name, node, duration):
        if name.startswith("stop"):
            process = node.process if name == "stop node" else node.server
            process.send(signal.SIGSTOP)
            time.sleep(duration)
            process.send(signal.SIGCONT)
        elif name == "kill server":
            node.server.kill()
            time.sleep(duration)
            self.start_server(node)
        else:
            if name == "drain node":
                try:
                    http_json(node.operator, "POST", "/v1/drain", timeout=2)
                except OSError:
                    pass  # the operator port may be down for another fault
                time.sleep(duration)
            node.process.kill()
            time.sleep(duration)
            self.start_node(node)

    def restart_crashed(self):
        """Starts backend servers again that a poison request ended, as a platform does."""
        while not self.over.wait(0.3):
            for node in self.fleet.nodes:
                with self.busy[node.name]:
                    if not node.server.alive():
                        self.start_server(node)

    def race_sheets(self):
        """Two operators submit on one base; the settings tell the sheets apart."""
        random = Random(time.monotonic_ns())
        nodes = random.sample(self.fleet.nodes, 2)

        def submit(node, priority):
            rules = RULES[:2] + ["*,front,%d" % priority]
            try:
                self.fleet.submit(sheet(*rules, settings=SETTINGS), node=node)
            except (OSError, KeyError, TypeError, ValueError, EOFError):
                pass  # the node or the log is down
            except Exception as problem:
                if type(problem).__module__ != "http.client":
                    raise

        threads = [threading.Thread(target=submit, args=(node, number + 4))
                   for number, node in enumerate(nodes)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.submits += 1

    def send_calls(self, number):
        random = Random(self.seed * 1000 + number)
        recent = []
        while not self.over.is_set():
            node = random.choice(self.fleet.nodes)
            draw = random.random()
            timeout = random.choice([100, 400, 1000])
            if draw < 0.1:
                key = "k%d-%d" % (number, random.randrange(10 ** 9))
                send_and_close(node, "push", self.ledger.next_path("once"),
                               random.uniform(0, 0.05), key, timeout)
                self.ledger.call(random.choice(self.fleet.nodes), key)
            elif draw < 0.4:
                self.ledger.call(node, plain=True, timeout_ms=timeout,
                                 method=random.choice(["GET", "POST"]))
            elif draw < 0.75 or not recent:
                key = "k%d-%d" % (random.randrange(CALLERS), random.randrange(10 ** 5))
                root = "root-%s-%d" % (key, time.monotonic_ns())
                service = random.choice(["push", "push", "front"])
                self.ledger.call(node, key, timeout_ms=timeout, service=service,
                                 headers={"Fescue-Root": root})
                recent = (recent + [(key, root, service)])[-20:]
            else:
                key, root, service = random.choice(recent)
                self.ledger.call(node, key, timeout_ms=timeout, service=service,
                                 headers={"Fescue-Root": root, "Fescue-Attempt": "2"})
            time.sleep(random.uniform(0, 0.02))

    def sample_sheets(self):
        highest = {}
        while not self.over.wait(0.1):
            for node in self.fleet.nodes:
                process = node.process
                try:
                    version = http_json(node.operator, "GET", "/v1/sheet",
                                        timeout=0.5)[1]["version"]
                except Exception:
                    continue  # stopped or killed: there is no version to compare
                if process is not node.process or not process.alive():
                    continue
                before = highest.get(process.child.pid, 0)
                if version < before:
                    self.reversions.append((node.name, before, version))
                highest[process.child.pid] = max(before, version)

    def run(self, schedule, seconds):
        threads = [threading.Thread(target=self.send_calls, args=(number,))
                   for number in range(CALLERS)]
        threads.append(threading.Thread(target=self.sample_sheets))
        threads.append(threading.Thread(target=self.restart_crashed))
        for thread in threads:
            thread.start()
        start = time.monotonic()
        faults = []
        for at, name, target, duration in schedule:
            time.sleep(max(0.0, start + at - time.monotonic()))
            fault = threading.Thread(target=self.apply,
                                     args=(name, self.fleet.nodes[target], duration))
            fault.start()
            faults.append(fault)
        for fault in faults:
            fault.join()
        time.sleep(max(0.0, start + seconds - time.monotonic()))
        self.over.set()
        for thread in threads:
            thread.join()
        time.sleep(2.0)  # what runs late has the time to do so before the check


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    schedule = draw_schedule(Random(options.seed), options.seconds, 6)
    print("seed", options.seed)
    for fault in schedule:
        print("%7.2f s  %-20s node %d  %.2f s" % fault)
    sys.stdout.flush()
    with Fleet(options.build, options.seed) as fleet:
        soak = Soak(fleet, options.seed)
        soak.start()
        soak.run(schedule, options.seconds)
        faults = judge(soak.ledger, fleet.folder)
        answers = soak.ledger.answers
    outcomes = {}
    for answer in answers:
        outcomes[answer["outcome"]] = outcomes.get(answer["outcome"], 0) + 1
    reasons = {}
    for answer in answers:
        if answer["reason"]:
            reasons[answer["reason"]] = reasons.get(answer["reason"], 0) + 1
    bad = {name: len(found) for name, found in faults.items()}
    bad["sheet_reversions"] = len(soak.reversions)
    for name, found in list(faults.items()) + [("sheet_reversions", soak.reversions)]:
        for one in found[:5]:
            print(name, one)
    result = {"seconds": options.seconds, "seed": options.seed, "calls": len(answers),
              "faults": len(schedule), "sheet_races": soak.submits, **bad,
              "outcomes": outcomes, "reasons": reasons}
    print("calls %(calls)d, faults %(faults)d, lost %(lost)d, doubled %(doubled)d, "
          "wrong answers %(wrong)d, false \"not run\" %(false_not_run)d, "
          "sheet reversions %(sheet_reversions)d" % result)
    print(json.dumps(result))
    if outcomes.get("ok", 0) < options.seconds:
        print("too few calls were answered for a verdict")
        return 1
    return 1 if any(bad.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
