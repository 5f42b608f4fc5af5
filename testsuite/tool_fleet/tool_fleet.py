"""The tool against real nodes: every command, every exit code, text and JSON.

Guards against a tool and nodes that understand the operator port differently: a submit
that counts twice or loses silently, a drain that interrupts calls, a refusal that cannot
be explained, a time line out of order.
"""

import json
import os
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet import Fleet, http_json, sheet, wait_until  # noqa: E402

FIRST = sheet("*,front,5", "*,deep,5", settings=[("domains", 2)])
SECOND = sheet("*,front,5", "limited,front,6,1", "*,deep,5", settings=[("domains", 2)])
THIRD = sheet("*,front,4", "limited,front,6,1", "*,deep,5", settings=[("domains", 2)])
FAULTY = sheet("*,front,12", "*,deep,5", settings=[("domains", 2)])

OPERATOR_GUIDE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                              "docs", "operators.md")
OK, FAULT, USAGE, UNREACHABLE = 0, 1, 2, 3
DRAIN_SECONDS = 2
CALL_MS = 1500


class Case:
    def __init__(self, fleet):
        self.fleet = fleet
        self.all = fleet.nodes
        self.files = {}
        for name, content in (("first", FIRST), ("second", SECOND), ("third", THIRD),
                              ("faulty", FAULTY)):
            self.files[name] = os.path.join(fleet.folder, name + ".csv")
            with open(self.files[name], "w", encoding="utf-8") as out:
                out.write(content)

    def command(self, *arguments, nodes=None):
        ports = ",".join("127.0.0.1:%d" % node.operator for node in nodes or self.all)
        return [os.path.join(self.fleet.bin, "fescueridge"), "--node", ports,
                *[str(a) for a in arguments]]

    def run(self, expected, *arguments, nodes=None):
        done = subprocess.run(self.command(*arguments, nodes=nodes), capture_output=True,
                              text=True, timeout=40, check=False)
        assert done.returncode == expected, (arguments, done)
        return done

    def tool(self, expected, *arguments, nodes=None):
        """Runs the tool and returns what it printed to both outputs."""
        done = self.run(expected, *arguments, nodes=nodes)
        return done.stdout + done.stderr

    def tool_json(self, expected, *arguments, nodes=None):
        """Runs the tool and returns the JSON of its standard output."""
        return json.loads(self.run(expected, "--json", *arguments, nodes=nodes).stdout)


def check_before_any_sheet(case):
    assert "no faults" in case.tool(OK, "check", case.files["first"])
    assert "row 3, column priority" in case.tool(FAULT, "check", case.files["faulty"])
    case.tool(USAGE, "check", case.files["first"] + ".missing")
    case.tool(USAGE, "no-such-command")
    view = case.tool_json(OK, "status")
    assert len(view["nodes"]) == len(case.all), view
    assert all(domain["lowest_version"] == 0 for domain in view["domains"]), view
    assert "no sheet is in force" in case.tool(FAULT, "show")
    status, headers, _ = case.all[0].call("front")
    assert status == 503 and headers["fescue-reason"] == "no_sheet", headers
    assert "no sheet" in case.tool(OK, "explain", headers["fescue-refusal"]).lower()


def check_submits(case):
    case.tool(FAULT, "submit", case.files["faulty"], "--author", "ana")
    refused = case.fleet.submit(FAULTY, base=0)
    assert refused["status"] == "refused", refused
    assert refused["faults"][0]["column"] == "priority", refused
    text = case.tool(OK, "submit", case.files["first"], "--author", "ana", "--wait")
    assert "accepted as version 1" in text, text
    for domain in ("a", "b"):
        assert "%s: in force on 3 nodes" % domain in text, text
    for node in case.all:
        assert node.status()["version"] == 1, node.name
    text = case.tool(FAULT, "submit", case.files["second"], "--author", "ben", "--base", 0)
    assert "lost the race" in text and '"ana"' in text and "version 1" in text, text
    assert "limited" in text, "the rows that differ are shown: " + text
    lost = case.tool_json(FAULT, "submit", case.files["second"], "--author", "ben",
                          "--base", 0)
    assert lost["status"] == "lost" and lost["winner_author"] == "ana", lost


def check_race(case):
    """Two operators submit at the same time on one base through different nodes."""
    running = {
        author: subprocess.Popen(
            case.command("submit", case.files["second"], "--author", author, "--base", 1,
                         nodes=[node]),
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        for author, node in (("cleo", case.all[0]), ("dov", case.all[-1]))}
    texts = {author: child.communicate(timeout=40)[0] for author, child in running.items()}
    codes = {author: child.returncode for author, child in running.items()}
    assert sorted(codes.values()) == [OK, FAULT], (codes, texts)
    winner = next(author for author, code in codes.items() if code == OK)
    loser = next(author for author, code in codes.items() if code == FAULT)
    assert "accepted as version 2" in texts[winner], texts
    assert "lost the race" in texts[loser] and '"%s"' % winner in texts[loser], texts


def check_repeated_submit(case):
    """A submit that is sent again under its id is accepted once, through any node."""
    request = {"author": "eve", "base": 2, "content": THIRD, "submit_id": "submit-of-eve"}
    for node in (case.all[0], case.all[0], case.all[-1]):
        answer = http_json(node.operator, "POST", "/v1/sheet/submit", request, 20)[1]
        assert answer["status"] == "accepted" and answer["version"] == 3, answer
    request["submit_id"] = "another"
    answer = http_json(case.all[0].operator, "POST", "/v1/sheet/submit", request, 20)[1]
    assert answer["status"] == "lost", answer
    assert answer["winner_submit"] == "submit-of-eve", answer
    request["submit_id"] = "x" * 1000
    status, answer = http_json(case.all[0].operator, "POST", "/v1/sheet/submit", request)
    assert status == 400 and "submit_id" in answer["error"], answer


def check_lost_answer(case):
    """The log takes the submit but loses its answer: accepted once all the same."""
    case.fleet.control_log(lose_answers=True)
    text = case.tool(OK, "submit", case.files["second"], "--author", "fay", "--base", 3)
    case.fleet.control_log(lose_answers=False)
    assert "accepted as version 4" in text, text


def shows_log(case, reachable):
    return all(node.status()["log"]["reachable"] == reachable for node in case.all)


def check_log_down(case):
    case.fleet.control_log(down=True)
    wait_until(lambda: shows_log(case, False), 8, "status shows the log as unreachable")
    text = case.tool(UNREACHABLE, "submit", case.files["third"], "--author", "gil")
    assert "log cannot be reached" in text, text
    assert case.all[0].call("front", "/while-the-log-is-down")[0] == 200
    case.fleet.control_log(down=False)
    wait_until(lambda: shows_log(case, True), 8, "status shows the log as reachable")
    assert case.all[0].status()["version"] == 4


def check_views(case):
    assert case.tool(OK, "show") == SECOND + "version 4 by fay\n"
    assert case.tool_json(OK, "show")["content"] == SECOND
    assert "0 rows differ" in case.tool(OK, "show", "--against", case.files["second"])
    assert "rows differ" in case.tool(OK, "show", "--against", case.files["third"])
    text = case.tool(OK, "status")
    for node in case.all:
        assert "node %s (127.0.0.1:%d)" % (node.name, node.operator) in text, text
    assert "failure domain" in text and "reachable" in text, text
    members = case.tool_json(OK, "members")["members"]
    assert {member["node"] for member in members} == {n.name for n in case.all}, members
    assert all(member["liveness"] == "alive" for member in members), members
    assert "liveness" in case.tool(OK, "members")
    services = case.tool_json(OK, "pressure")["services"]
    assert any(entry["service"] == "front" for entry in services), services
    assert "cut priority" in case.tool(OK, "pressure")
    case.tool(UNREACHABLE, "status", nodes=[Closed()])
    case.tool(UNREACHABLE, "drain", nodes=[Closed()])


class Closed:
    """A node that nobody started; port 1 of loopback is closed."""

    operator = 1


def check_explanation(case):
    for _ in range(50):
        status, headers, _ = case.all[0].call("front", "/x", caller="limited")
        if status == 429:
            break
    assert status == 429 and headers["fescue-reason"] == "limit", (status, headers)
    token = headers["fescue-refusal"]
    text = case.tool(OK, "explain", token)
    assert "limited" in text and "front" in text and "did not run" in text, text
    assert text in case.tool(OK, "explain", token, "--sheet", case.files["second"])
    view = case.tool_json(OK, "explain", token, "--sheet", case.files["second"])
    assert view["verification"] == "confirmed" and view["record"]["row"] == 4, view
    case.tool(FAULT, "explain", token, "--sheet", case.files["first"])
    case.tool(FAULT, "explain", token[:-6] + "AAAAAA")


class Callers:
    """Calls the deep service all the time through one node after the other."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.results = []
        self.stopping = False
        self.threads = [threading.Thread(target=self.run, args=(i,)) for i in range(6)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        while not self.stopping:
            node = self.nodes[number % len(self.nodes)]
            status, headers, _ = node.call("deep", "/drain", "POST", "x", timeout_ms=8000)
            self.results.append((status, headers.get("fescue-reason")))
            number += 1

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()
        return self.results


def check_drain(case):
    """A drained server gets no new work within 2 s and finishes what it has."""
    drained = next(node for node in case.all if node.name == "a-deep-1")
    others = [node for node in case.all if node is not drained]
    for node in case.all:
        if "deep" in node.name:
            node.control_server(service_ms=CALL_MS)
    callers = Callers(case.all)
    wait_until(lambda: drained.server_stats()["running"] > 0, 10, "calls are running")
    view = case.tool_json(OK, "drain", nodes=[drained])
    assert view["state"] == "draining" and view["in_flight"] > 0, view
    time.sleep(DRAIN_SECONDS)
    at_deadline = drained.server_stats()["executions"]
    time.sleep(3)
    after = drained.server_stats()
    results = callers.stop()
    assert after["executions"] == at_deadline, "new work reached the drained server"
    assert after["cancelled"] == 0 and after["failed"] == 0 and after["running"] == 0, after
    assert after["finished"] == after["executions"], after
    bad = [result for result in results if result[0] != 200]
    assert results and not bad, bad
    print("drain: %d calls, none failed" % len(results))
    assert drained.status()["server"]["state"] == "draining"
    states = {m["node"]: m["state"] for m in case.tool_json(OK, "members", nodes=others)
              ["members"]}
    assert states[drained.name] == "draining", states
    case.tool(USAGE, "drain", nodes=case.all[:2])


def check_timeline(case):
    lines = case.tool(OK, "--json", "timeline").splitlines()
    events = [json.loads(line) for line in lines]
    nodes = {event["node"] for event in events}
    assert nodes == {node.name for node in case.all}, nodes
    order = [event["lamport"] for event in events]
    assert order == sorted(order), "events are not in causal order"
    for node in nodes:
        own = [event["seq"] for event in events if event["node"] == node]
        assert own == list(range(own[0], own[0] + len(own))), (node, own)
    with open(OPERATOR_GUIDE, encoding="utf-8") as guide:
        documented = guide.read()
    for name in {event["event"] for event in events}:
        assert "`%s`" % name in documented, "%s is not in docs/operators.md" % name
    versions = {}
    for event in events:
        if event["event"] == "sheet_in_force":
            assert event["version"] > versions.get(event["node"], 0), event
            versions[event["node"]] = event["version"]
    assert set(versions.values()) == {4}, versions
    draining = [e for e in events if e["event"] == "server_state"
                and e["state"] == "draining"]
    assert [event["node"] for event in draining] == ["a-deep-1"], draining
    text = case.tool(OK, "timeline", "--name", "sheet_in_force", "--since",
                     draining[0]["time_ms"])
    assert len(text.splitlines()) == 1, "only the head line: " + text
    text = case.tool(OK, "timeline", "--name", "server_state")
    assert "a-deep-1" in text and "b-front" in text, text


def start(fleet):
    fleet.start_log()
    for domain in ("a", "b"):
        for name in ("front", "deep-1", "deep-2"):
            fleet.add_node("%s-%s" % (domain, name), domain)
    fleet.start_nodes()
    fleet.wait_members(len(fleet.nodes))
    for node in fleet.nodes:
        service = node.name.split("-")[1]
        below = ["--downstream", "deep"] if service == "front" else []
        node.start_server("--service", service, "--slots", 20, "--service-ms", 2, *below)
    fleet.wait_servers()


def main(build):
    with Fleet(build) as fleet:
        start(fleet)
        case = Case(fleet)
        for check in (check_before_any_sheet, check_submits, check_race,
                      check_repeated_submit, check_lost_answer, check_log_down,
                      check_views, check_explanation, check_drain, check_timeline):
            begin = time.monotonic()
            check(case)
            print("ok %s (%.1f s)" % (check.__name__, time.monotonic() - begin), flush=True)
        for node in fleet.nodes:
            assert node.process.stop(40) == 0, node.name


if __name__ == "__main__":
    main(sys.argv[1])
