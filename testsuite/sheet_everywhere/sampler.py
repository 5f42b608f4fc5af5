"""Samples the sheet of each node and what its caller port does, through a whole run."""

import http.client
import json
import threading
import time

from fleet import sheet

PERIOD_S = 0.05


def sheet_of(version, mark):
    """Returns the content of a version: it has a rule for "probe-<v>" for each v so far.

    A call to "probe-<v>" tells which sheet a node decides by: no_server from version v on,
    no_rule before.
    """
    rules = ["*,probe-%d,5" % number for number in range(1, version + 1)]
    return sheet(*rules, "*,mark-%s,5" % mark, settings=[("domains", 3)])


class Sampler:
    """One thread for each node; a context manager."""

    def __init__(self, nodes):
        self.samples = {node.name: [] for node in nodes}
        self.problems = []
        self.contents = {}  # of each version, by the first node that showed it
        self.in_force = {}  # highest version seen in force, by failure domain
        self.lock = threading.Lock()
        self.stopping = False
        self.threads = [threading.Thread(target=self._run, args=(node,)) for node in nodes]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, kind, value, trace):
        self.stopping = True
        for thread in self.threads:
            thread.join()

    def check(self):
        with self.lock:
            assert not self.problems, self.problems[:5]

    def _run(self, node):
        process, version, bar = None, 0, 0
        while not self.stopping:
            began = time.monotonic()
            domain_had = self.in_force.get(node.domain, 0)
            current = node.process
            if current is not process:
                # A fresh VM takes no call by an older sheet than this one.
                process, version, bar = current, 0, domain_had
            self._call(node, current, bar)
            seen = _get_sheet(node)
            if seen and current is node.process:
                version = self._note(node, seen["version"], seen["content"], version)
            time.sleep(max(0.0, PERIOD_S - (time.monotonic() - began)))

    def _note(self, node, version, content, before):
        with self.lock:
            self.samples[node.name].append((time.monotonic(), version))
            if version < before:
                self.problems.append("%s went from version %d back to %d" % (
                    node.name, before, version))
            if version and self.contents.setdefault(version, content) != content:
                self.problems.append("%s shows another version %d" % (node.name, version))
        return version

    def _call(self, node, process, bar):
        """Makes calls that tell by which sheet the node decides."""
        if bar and _probe(node, "probe-%d" % bar) == "no_rule" and process is node.process:
            with self.lock:
                self.problems.append("%s decided a call by a sheet older than %d" % (
                    node.name, bar))
        newer = self.in_force.get(node.domain, 0) + 1
        while _probe(node, "probe-%d" % newer) == "no_server":
            with self.lock:
                self.in_force[node.domain] = max(self.in_force.get(node.domain, 0), newer)
            newer += 1


def _get_sheet(node):
    try:
        connection = http.client.HTTPConnection("127.0.0.1", node.operator, timeout=2)
        connection.request("GET", "/v1/sheet")
        answer = json.loads(connection.getresponse().read())
        connection.close()
        return answer
    except (OSError, ValueError, http.client.HTTPException):
        return None


def _probe(node, service):
    try:
        connection = http.client.HTTPConnection("127.0.0.1", node.caller, timeout=2)
        connection.request("GET", "/call/%s/" % service)
        response = connection.getresponse()
        response.read()
        connection.close()
        return response.getheader("Fescue-Reason")
    except (OSError, http.client.HTTPException):
        return None
