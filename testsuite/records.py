"""Judges outcomes by what the stand-in backend servers recorded.

Each call has a path of its own, so an execution can be matched to the answer of its call.
What nodes say about a call is only ever the claim under test.
"""

import json
import os
import socket
import threading
import time

from fleet import Fleet, sheet, wait_until

RULES = sheet("*,push,5,,,,/plain", "*,push,5,,,yes")


class Ledger:
    """The answers that callers got. Safe for use from several threads."""

    def __init__(self):
        self.mutex = threading.Lock()
        self.answers = []
        self.count = 0

    def next_path(self, prefix):
        with self.mutex:
            self.count += 1
            return "/%s/%d" % (prefix, self.count)

    def call(self, node, key=None, method="POST", plain=False, service="push", **options):
        """Makes one call with a path of its own; a lost connection is an unknown outcome."""
        path = self.next_path("plain" if plain else "once")
        started = time.monotonic()
        try:
            status, headers, body = node.call(service, path, method, path, key=key,
                                              **options)
        except (OSError, ValueError, EOFError) as problem:
            status, headers, body = 0, {}, str(problem).encode()
        except Exception as problem:  # http.client has exceptions of its own
            if type(problem).__module__ != "http.client":
                raise
            status, headers, body = 0, {}, str(problem).encode()
        answer = {"path": path, "key": key, "status": status, "node": node.name,
                  "outcome": headers.get("fescue-outcome", "none"),
                  "reason": headers.get("fescue-reason"),
                  "state": headers.get("fescue-key-state"),
                  "root": headers.get("fescue-root"), "body": body,
                  "seconds": time.monotonic() - started}
        with self.mutex:
            self.answers.append(answer)
        return answer


def send_and_close(node, service, path, seconds, key=None, timeout_ms=1000):
    """Sends a call and closes the connection after some seconds without reading."""
    key_line = "Idempotency-Key: %s\r\n" % key if key else ""
    request = ("POST /call/%s%s HTTP/1.1\r\nHost: x\r\nFescue-Timeout-Ms: %d\r\n%s"
               "Content-Length: %d\r\n\r\n%s"
               % (service, path, timeout_ms, key_line, len(path), path))
    try:
        with socket.create_connection(("127.0.0.1", node.caller), 2) as connection:
            connection.sendall(request.encode())
            time.sleep(seconds)
    except OSError:
        pass  # the node is down; the caller knows nothing either way


def executions(folder):
    """Returns the started executions that all backend servers of a fleet recorded."""
    result = []
    for name in sorted(os.listdir(folder)):
        if name.startswith("record-"):
            with open(os.path.join(folder, name)) as lines:
                for line in lines:
                    if line.endswith("\n"):  # a killed server may leave half a line
                        result.append({"server": name, **json.loads(line)})
    return [entry for entry in result if entry["status"] == "started"]


def by_field(entries, field):
    result = {}
    for entry in entries:
        result.setdefault(entry[field], []).append(entry)
    return result


def judge(ledger, folder):
    """Returns the faults of a run as a dict of lists; all lists must be empty."""
    ran = executions(folder)
    paths = by_field(ran, "path")
    # The servers of a service "front" pass their key on and do not run at most once.
    once = [entry for entry in ran if entry["key"] and "front" not in entry["server"]]
    doubled = [entries for entries in by_field(once, "key").values() if len(entries) > 1]
    with ledger.mutex:
        answers = list(ledger.answers)
    false_not_run = [a for a in answers if a["outcome"] == "not_run" and a["path"] in paths]
    lost = [a for a in answers if a["outcome"] == "ok" and a["path"] not in paths]
    wrong = [a for a in answers if a["outcome"] == "ok" and a["status"] == 200
             and json.loads(a["body"])["path"] != a["path"]]
    return {"lost": lost, "doubled": doubled, "wrong": wrong, "false_not_run": false_not_run}


def check(ledger, folder):
    for name, faults in judge(ledger, folder).items():
        assert not faults, "%s: %s" % (name, faults)


class Stage(Fleet):
    """Nodes a and b with backend servers of service push in two failure domains, and e
    without one in a third."""

    def __init__(self, build, log_options=(), overrides=None, server_options=(),
                 proxied=False):
        super().__init__(build, proxied=proxied)
        self.ledger = Ledger()
        self.overrides = overrides
        self.start_log(*log_options)
        self.a = self.add_node("a", "a")
        self.b = self.add_node("b", "b")
        self.e = self.add_node("e", "e")
        self.start_nodes(overrides)
        answer = self.submit(RULES)
        assert answer["status"] == "accepted", answer
        self.wait_ready()
        for node in (self.a, self.b):
            self.start_server(node, *server_options)
        self.wait_servers()
        for node in (self.a, self.b):
            self.wait_claims(node)

    def start_server(self, node, *options):
        options = options or ("--service-ms", 2, "--slots", 20)
        node.start_server("--service", "push", *options)

    def start_node(self, node):
        node.start(self.contacts(), self.log_port, self.overrides)
        wait_until(node.status, 10, node.name + " answers")

    def wait_claims(self, node, seconds=20):
        """Waits until a node that has a backend server runs calls with a key by itself."""
        number = iter(range(10 ** 6))

        def runs_itself():
            # Before the node knows its own server, another node may run the call.
            try:
                before = node.server_stats()["executions"]
            except OSError:
                return False  # the server process does not listen yet
            key = "ready-%s-%s-%d" % (node.name, time.monotonic_ns(), next(number))
            answer = self.ledger.call(node, key)
            return answer["outcome"] == "ok" and node.server_stats()["executions"] > before

        wait_until(runs_itself, seconds, node.name + " claims keys")

    def wait_entry(self, node, seconds=15):
        """Waits until a node without a backend server has a route for its calls."""
        answers = []

        def is_back():
            answers.append(self.ledger.call(node, plain=True))
            return answers[-1]["outcome"] == "ok"
        try:
            wait_until(is_back, seconds, node.name + " routes calls")
        except AssertionError:
            print("last answer", answers[-1], "exit codes",
                  [node.process.child.poll() for node in self.nodes])
            raise

    def finish(self, settle=1.5, ended=()):
        """Ends the run: what runs late has the time to do so before the check. Only the
        nodes in `ended` may have ended."""
        for node in self.nodes:
            if node not in ended:
                code = node.process.child.poll()
                assert code is None, "node %s ended with %s" % (node.name, code)
                assert node.status(), "node %s does not answer" % node.name
        self.control_log(down=False, slow_ms=0, lose_answers=False, delay_effect_ms=0)
        time.sleep(settle)
        check(self.ledger, self.folder)

    def runs(self, key):
        return len(by_field(executions(self.folder), "key").get(key, []))
