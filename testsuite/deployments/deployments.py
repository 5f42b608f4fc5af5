"""Both deployments of section 1.1 answer every caller class whole under their own sheets.

Guards against example sheets that the node does not apply as written: at-most-once rows
that run without or twice with a key, limits that do not hold, refusals that cannot be
explained, and answers that are cut or mixed up.
"""

import csv
import json
import os
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "scripts"))
from local_fleet import ROOT, Deployment, LocalFleet, http_call  # noqa: E402

# (caller, service, path) of the rows that run at most once, and a row with a small limit
# that runs at most once.
AT_MOST_ONCE = {
    "lackhuset": [("head-office", "treatment-menu", "/publish"),
                  ("head-office", "campaign-scheduling", "/push")],
    "lindenhof": [("mediator", "certificates", "/issue")],
}
LIMITED = {
    "lackhuset": ("stranger", "treatment-menu", "/publish", 1),
    "lindenhof": ("stranger", "certificates", "/issue", 5),
}
BIG_BODY_BYTES = 200_000
LOG_DOWN_SECONDS = 1.5  # 1 s of section 6.2 and room for a busy machine


class Checks:
    def __init__(self, fleet, deployment):
        self.fleet = fleet
        self.deployment = deployment
        self.number = 0

    def node(self):
        """Returns the next entry node in turn."""
        self.number += 1
        return self.fleet.nodes[self.number % len(self.fleet.nodes)]

    def call(self, *arguments, node=None, **options):
        return (node or self.node()).call(*arguments, timeout_ms=3000, **options)

    def check_whole_answer(self, caller, service, path, method, body, key=None):
        status, headers, data = self.call(service, path, method, body, caller, key=key)
        assert status == 200, (caller, service, path, status, headers, data[:300])
        assert headers["fescue-outcome"] == "ok" and headers["fescue-root"], headers
        answer = json.loads(data)
        assert answer["service"] == service and answer["path"] == path, answer
        assert answer["method"] == method and answer["body"] == (body or ""), path
        return headers

    def check_every_caller(self):
        with open(self.deployment.sheet, encoding="utf-8") as file:
            rows = [row for row in csv.DictReader(file) if row["kind"] == "rule"]
        classes = sorted({(row["service"], row["caller"]) for row in rows})
        for service, caller in classes:
            caller = "stranger" if caller == "*" else caller
            for number in range(3):
                path = "/item/%d-%s" % (number, caller)
                self.check_whole_answer(caller, service, path, "GET", None)
            body = "%s %s " % (caller, service) * (BIG_BODY_BYTES // 30)
            self.check_whole_answer(caller, service, "/item", "POST", body)
        print("%s: %d caller classes answered whole" % (self.deployment.name, len(classes)))

    def check_at_most_once(self, caller, service, path):
        executions = self.executions(service)
        status, headers, data = self.call(service, path, "POST", "no key", caller)
        assert status == 400 and headers["fescue-reason"] == "key_missing", (status, data)
        assert headers["fescue-outcome"] == "not_run", headers
        key = "%s-%d" % (service, time.time_ns())
        self.check_whole_answer(caller, service, path, "POST", "first", key)
        for _ in range(4):  # through other entry nodes and failure domains
            status, headers, data = self.call(service, path, "POST", "first", caller,
                                              key=key)
            assert status == 409, (status, headers, data)
            assert headers["fescue-reason"] == "key_in_use", headers
            assert headers["fescue-outcome"] == "unknown", headers
            assert headers["fescue-key-state"] in ("done", "in_doubt"), headers
        assert self.executions(service) == executions + 1, "the key ran once"
        self.check_explanation(headers["fescue-refusal"], "key_in_use")
        print("%s: %s%s runs at most once" % (self.deployment.name, service, path))

    def executions(self, service):
        return sum(node.server_stats()["executions"] for node in self.fleet.nodes
                   if node.service == service)

    def check_limit(self, caller, service, path, limit):
        refused = []
        start = time.monotonic()
        served = 0
        while not refused or time.monotonic() - start < 2:
            status, headers, data = self.call(
                service, path, "POST", "limited", caller, node=self.fleet.nodes[0],
                key="limit-%d" % time.time_ns())
            if status == 429:
                refused.append(headers)
                assert headers["fescue-reason"] == "limit", (headers, data)
                assert headers["fescue-outcome"] == "not_run", headers
                assert json.loads(data)["refusal"] == headers["fescue-refusal"], data
            else:
                assert status == 200, (status, headers, data)
                served += 1
            assert time.monotonic() - start < 15, "the limit never refuses"
        seconds = time.monotonic() - start
        allowed = limit * (seconds + 1) + 1
        assert 1 <= served <= allowed, (served, allowed)
        self.check_explanation(refused[-1]["fescue-refusal"], "limit")
        print("%s: %s%s limited: %d served and %d refused in %.1f s" % (
            self.deployment.name, service, path, served, len(refused), seconds))

    def check_log_down(self, caller, service, path):
        """Only calls that run at most once depend on the log, and they fail in time."""
        self.fleet.control_log(down=True)
        executions = self.executions(service)
        start = time.monotonic()
        status, headers, data = self.call(service, path, "POST", "x", caller,
                                          key="down-%d" % time.time_ns())
        seconds = time.monotonic() - start
        assert status == 503, (status, headers, data)
        assert headers["fescue-reason"] == "log_unavailable", headers
        assert headers["fescue-outcome"] == "not_run", headers
        assert seconds < LOG_DOWN_SECONDS, seconds
        assert self.executions(service) == executions, "a call that was not run ran"
        self.check_whole_answer(caller, service, "/item", "GET", None)
        self.fleet.control_log(down=False)
        print("%s: refused after %.2f s without the log" % (self.deployment.name, seconds))

    def check_explanation(self, token, reason):
        tool = os.path.join(self.fleet.bin, "fescueridge")

        def explain(*options):
            done = subprocess.run([tool, "--json", "explain", token, *options],
                                  capture_output=True, text=True, timeout=10, check=False)
            return done.returncode, json.loads(done.stdout)

        code, alone = explain()
        assert code == 0 and alone["record"]["reason"] == reason, alone
        assert alone["text"], alone
        code, verified = explain("--sheet", str(self.deployment.sheet))
        assert code == 0 and verified["verification"] == "confirmed", verified
        assert verified["text"] == alone["text"], verified
        other = "lindenhof" if self.deployment.name == "lackhuset" else "lackhuset"
        code, wrong = explain("--sheet", str(ROOT / "examples" / other / "sheet.csv"))
        assert code == 1 and wrong["verification"] == "row_differs", wrong
        status, _, data = http_call(self.node().operator, "GET", "/v1/explain/" + token)
        assert status == 200 and json.loads(data)["text"] == alone["text"], data


def check_status(fleet, deployment):
    done = fleet.tool("--json", "status")
    assert done.returncode == 0, done
    view = json.loads(done.stdout)
    assert len(view["nodes"]) == len(fleet.nodes), view
    for entry, node in zip(view["nodes"], fleet.nodes):
        server = entry["status"]["server"]
        assert server["service"] == node.service and server["slots"] == node.slots, server
    assert all(domain["reachable"] and domain["lowest_version"] == 1
               for domain in view["domains"]), view["domains"]


def check(build, name):
    start = time.monotonic()
    with LocalFleet(build) as fleet:
        deployment = Deployment(fleet, name, 21000)
        deployment.start()
        deployment.submit()
        print("%s: %d nodes ready after %.1f s" % (
            name, len(fleet.nodes), time.monotonic() - start))
        check_status(fleet, deployment)
        checks = Checks(fleet, deployment)
        checks.check_every_caller()
        for row in AT_MOST_ONCE[name]:
            checks.check_at_most_once(*row)
        checks.check_limit(*LIMITED[name])
        checks.check_log_down(*AT_MOST_ONCE[name][0])
        for node in fleet.nodes:
            assert node.process.alive() and node.server.alive(), node.name
    for node in fleet.nodes:
        assert node.process.child.returncode == 0, (node.name, "did not stop cleanly")
    print("%s: %.1f s" % (name, time.monotonic() - start))


if __name__ == "__main__":
    for deployment_name in ("lackhuset", "lindenhof"):
        check(sys.argv[1], deployment_name)
