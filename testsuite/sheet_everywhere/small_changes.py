"""Small changes of a large sheet reach all nodes with few bytes on the links.

Guards against a change that goes whole to every node, and against a node that missed some
changes and does not catch up, or only by the whole sheet, and against a difference that is
applied to another sheet than its base. One failure domain of 8 nodes: 3
follow the log, the others get the changes over links.
"""

import base64
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet import Fleet, http_call, http_json, sheet, wait_until  # noqa: E402
from sheet_everywhere import STREAM, cbor_head  # noqa: E402

RULES = 5000
SERVICES = 350
CHANGES = 10
IN_FORCE_S = 10.0


def large_sheet(limits):
    """Returns a sheet of RULES rules for callers, some of them with another limit."""
    rows = ["*,service-%d,5" % i for i in range(SERVICES)]
    rows += ["caller-%d,service-%d,%d,%d,,,/part-%d" % (
        i, i % SERVICES, i % 10, limits.get(i, 100), i) for i in range(RULES)]
    return sheet(*rows)


def metric(nodes, name):
    return sum(http_json(node.operator, "GET", "/v1/metrics")[1][name] for node in nodes)


def view(node):
    try:
        return http_json(node.operator, "GET", "/v1/sheet")[1]
    except OSError:
        return {"version": None}  # the process starts


def log_bytes(fleet, first):
    status, _, body = http_call(fleet.log_port, "GET",
                                "/v1/streams/config/records?from=%d&max=1000" % first)
    assert status == 200, body
    page = json.loads(body)
    return sum(len(base64.b64decode(record["data"])) for record in page["records"]), page["next"]


class Run:
    def __init__(self, fleet):
        self.fleet = fleet
        self.limits = {}
        self.version = 0

    def content(self):
        return large_sheet(self.limits)

    def change(self, node, author):
        """One operator changes one row."""
        self.limits[(self.version * 37) % RULES] = 200 + self.version
        answer = self.fleet.submit(self.content(), author=author, base=self.version, node=node)
        assert answer["status"] == "accepted", str(answer)[:500]
        self.version = answer["version"]

    def in_force(self, nodes, author):
        end = time.monotonic() + IN_FORCE_S
        for node in nodes:
            wait_until(lambda: view(node)["version"] == self.version, end - time.monotonic(),
                       "%s has version %d in force" % (node.name, self.version))
            shown = view(node)
            assert shown["content"] == self.content(), node.name
            assert shown["author"] == author, (node.name, shown["author"])


def refused(nodes):
    return [event for node in nodes for event in node.events()
            if event["event"] == "sheet_difference_refused"]


def small_changes(run):
    nodes = run.fleet.nodes
    size = len(run.content())
    run.change(nodes[0], "first")
    run.in_force(nodes, "first")
    _, first = log_bytes(run.fleet, 0)
    before = metric(nodes, "link_bytes_sent")
    began = time.monotonic()
    for number in range(CHANGES):
        author = "author-%d" % number
        run.change(nodes[number % len(nodes)], author)
        run.in_force(nodes, author)
    sent = metric(nodes, "link_bytes_sent") - before
    logged, _ = log_bytes(run.fleet, first)
    print("%d changes of a sheet of %d bytes in %.1f s: %d bytes on links, %d in the log" % (
        CHANGES, size, time.monotonic() - began, sent, logged))
    # Heartbeats of the links are counted too.
    assert sent < size, (sent, size)
    assert logged < CHANGES * 1000, logged


def paused_node(run):
    """A node that is paused through some changes catches up by the differences."""
    nodes = run.fleet.nodes
    for paused in (nodes[2], nodes[-1]):
        others = [node for node in nodes if node is not paused]
        before = metric([paused], "link_bytes_received")
        paused.process.send(signal.SIGSTOP)
        for _ in range(5):
            run.change(others[0], "meanwhile")
            run.in_force(others, "meanwhile")
        paused.process.send(signal.SIGCONT)
        began = time.monotonic()
        run.in_force([paused], "meanwhile")
        received = metric([paused], "link_bytes_received") - before
        print("%s: in force %.2f s after the pause, %d bytes received on links" % (
            paused.name, time.monotonic() - began, received))
        assert received < len(run.content()) / 2, received


def replaced_node(run):
    """A fresh VM takes the whole sheet, and differences after that."""
    node = run.fleet.nodes[4]
    node.process.kill()
    node.restart()
    run.in_force([node], "meanwhile")
    run.change(run.fleet.nodes[0], "last")
    run.in_force(run.fleet.nodes, "last")


def foreign_difference(base):
    """Encodes a submit_delta whose difference has another base than the sheet."""
    difference = (cbor_head(4, 4) + cbor_head(0, 1) + cbor_head(4, 0) + cbor_head(4, 2) +
                  cbor_head(0, 0) + cbor_head(2, 2) + b"x\n" + cbor_head(0, 2))
    return (cbor_head(4, 5) + cbor_head(0, 3) + cbor_head(2, 2) + b"id" + cbor_head(0, base) +
            cbor_head(2, 3) + b"eve" + cbor_head(2, len(difference)) + difference)


def refused_difference(run):
    """Nobody applies a foreign difference, and the next operator gets past it."""
    nodes = run.fleet.nodes
    status, _, body = http_call(run.fleet.log_port, "POST", STREAM,
                                foreign_difference(run.version))
    assert status == 200, body
    wait_until(lambda: len({event["node"] for event in refused(nodes)}) >= 3, IN_FORCE_S,
               "the readers report the difference")
    run.in_force(nodes, "last")
    lost = run.fleet.submit(run.content() + "setting,domains,2,,,,,,\n", author="fay",
                            base=run.version)
    assert lost["status"] == "lost" and lost["winner_author"] == "eve", lost
    assert lost["version"] == run.version + 1, lost
    run.version = lost["version"]
    run.change(nodes[5], "fay")
    run.in_force(nodes, "fay")


def main(build, seed):
    print("seed %d" % seed)
    with Fleet(build, seed) as fleet:
        fleet.start_log()
        for number in range(8):
            fleet.add_node("a%d" % number, "a")
        fleet.start_nodes()
        fleet.wait_members(len(fleet.nodes))
        run = Run(fleet)
        for step in (small_changes, paused_node, replaced_node):
            step(run)
        assert not refused(fleet.nodes), refused(fleet.nodes)
        refused_difference(run)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
