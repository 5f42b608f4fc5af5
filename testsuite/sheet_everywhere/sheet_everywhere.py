"""An accepted sheet is in force in every failure domain within 10 s and never reverts.

Guards against two winners for one base version, losers that are told the wrong winner, a
version that goes back in a node, and a fresh VM that takes calls by an older sheet than
one that its failure domain had in force. Sampled every 50 ms under faults of the log.
"""

import base64
import concurrent.futures
import json
import os
import random
import struct
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet import Fleet, http_call, http_json, wait_until  # noqa: E402
from sampler import Sampler, sheet_of  # noqa: E402

# The bound of docs/design.md, section 1.2 (G8).
IN_FORCE_S = 10.0

RETENTION_MS = 6000
STREAM = "/v1/streams/config/records"


class Run:
    """The fleet and what was accepted so far."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.version = 0
        self.random = random.Random(fleet.seed)
        self.marks = {}

    def submit(self, node, mark, base):
        try:
            answer = self.fleet.submit(sheet_of(base + 1, mark), author=mark, base=base,
                                       node=node)
        except OSError as problem:
            answer = {"status": "unavailable", "problem": repr(problem)}
        answer["node"] = node.name
        return answer

    def race(self, nodes, label, all_decided=True):
        """Operators on several nodes submit on one base; exactly one wins."""
        base = self.version
        marks = ["%s-%d-%d" % (label, base, i) for i in range(len(nodes))]
        with concurrent.futures.ThreadPoolExecutor(len(nodes)) as pool:
            answers = list(pool.map(lambda pair: self.submit(pair[0], pair[1], base),
                                    zip(nodes, marks)))
        accepted = [(mark, answer) for mark, answer in zip(marks, answers)
                    if answer["status"] == "accepted"]
        lost = [answer for answer in answers if answer["status"] == "lost"]
        assert len(accepted) == 1, answers
        winner, answer = accepted[0]
        assert answer["version"] == base + 1, answer
        for loser in lost:
            assert loser["winner_author"] == winner, (winner, loser)
        if all_decided:
            assert len(lost) == len(nodes) - 1, answers
        self.version = base + 1
        self.marks[self.version] = winner
        return time.monotonic()

    def in_force(self, nodes=None, since=None):
        """Waits until the accepted version is in force on the nodes, within the bound."""
        since = since or time.monotonic()
        for node in nodes or self.fleet.nodes:
            wait_until(lambda: _view(node)["version"] == self.version,
                       since + IN_FORCE_S - time.monotonic(),
                       "%s has version %d in force" % (node.name, self.version))
            assert "mark-%s," % self.marks[self.version] in _view(node)["content"], node.name
        return time.monotonic() - since


def _view(node):
    try:
        return http_json(node.operator, "GET", "/v1/sheet", timeout=2)[1]
    except OSError:
        return {"version": None, "content": ""}


def pick(run, count):
    return run.random.sample(run.fleet.nodes, count)


def race_operators(run):
    for _ in range(3):
        accepted = run.race(pick(run, 4), "race")
        print("race for version %d: in force everywhere after %.2f s" % (
            run.version, run.in_force(since=accepted)))


def race_with_log_faults(run):
    fleet = run.fleet
    fleet.control_log(slow_ms=400)
    run.in_force(since=run.race(pick(run, 3), "slow"))
    fleet.control_log(slow_ms=0)
    # Each append takes effect and its answer is lost: the operator must still be told.
    fleet.control_log(lose_answers=True)
    run.in_force(since=run.race(pick(run, 3), "lost-answer"))
    fleet.control_log(lose_answers=False)
    print("slow log and lost answers: version %d" % run.version)


def outage(run):
    """A submit in an outage is refused; the fleet keeps its sheet and takes the next."""
    fleet = run.fleet
    fleet.control_log(down=True)
    node = run.random.choice(fleet.nodes)
    answer = run.submit(node, "outage", run.version)
    assert answer["status"] == "unavailable", answer
    # A fresh VM gets the sheet from its peers while the log is down.
    node.process.kill()
    node.restart()
    wait_until(lambda: (node.status() or {}).get("ready"), IN_FORCE_S, "ready by its peers")
    assert _view(node)["version"] == run.version
    fleet.control_log(down=False)
    accepted = run.race(pick(run, 2), "after-outage")
    print("after the outage: in force everywhere after %.2f s" % run.in_force(since=accepted))


def cut_domain(run):
    """A domain without peers and log misses versions and comes back with an older one."""
    fleet = run.fleet
    inside = [node for node in fleet.nodes if node.domain == "c"]
    outside = [node for node in fleet.nodes if node.domain != "c"]
    fleet.cut("c", "a", "half_open")
    fleet.cut("c", "b", "half_open")
    fleet.cut_log("c")
    old = run.version
    for _ in range(2):
        run.in_force(outside, run.race(run.random.sample(outside, 3), "cut"))
    for node in inside:
        assert _view(node)["version"] == old, node.name
    # A VM that is replaced inside the cut has only its neighbour to ask.
    inside[0].process.kill()
    inside[0].restart()
    wait_until(lambda: (inside[0].status() or {}).get("ready"), IN_FORCE_S,
               "ready in the domain cut off")
    assert _view(inside[0])["version"] == old
    healed = time.monotonic()
    fleet.heal()
    print("domain that was cut off: in force after %.2f s" % run.in_force(since=healed))


def cut_log_only(run):
    """A domain that does not reach the log gets the sheet from its peers."""
    fleet = run.fleet
    fleet.cut_log("b")
    outside = [node for node in fleet.nodes if node.domain != "b"]
    accepted = run.race(run.random.sample(outside, 2), "peers")
    print("domain without the log: in force after %.2f s" % run.in_force(since=accepted))
    fleet.heal()


def read_log(fleet, start):
    status, _, body = http_call(fleet.log_port, "GET", STREAM + "?from=%d&max=1000" % start)
    return status, body


def oldest_offset(fleet):
    status, body = read_log(fleet, 0)
    return json.loads(body)["oldest"] if status in (200, 410) else 0


def wait_for_retention(run):
    """Waits until every submit is dropped, so that only carried-forward state is left."""
    end = next_offset(run.fleet)
    wait_until(lambda: oldest_offset(run.fleet) >= end, 3 * RETENTION_MS / 1000,
               "retention drops the submits")
    records = json.loads(read_log(run.fleet, oldest_offset(run.fleet))[1])["records"]
    kinds = {base64.b64decode(record["data"])[1] for record in records}
    assert kinds == {2}, kinds  # carries only


def next_offset(fleet):
    return json.loads(read_log(fleet, oldest_offset(fleet))[1])["next"]


def restart_one_by_one(run):
    wait_for_retention(run)
    for node in run.fleet.nodes:
        node.process.kill()
        node.restart()
        wait_until(lambda: (node.status() or {}).get("ready"), IN_FORCE_S,
                   node.name + " is ready")
        assert _view(node)["version"] == run.version, node.name
    print("every VM restarted in turn: version %d" % run.version)


def restart_all(run):
    for node in run.fleet.nodes:
        node.process.kill()
    for node in run.fleet.nodes:
        node.restart()
    seconds = run.in_force()
    run.fleet.wait_ready(IN_FORCE_S)
    print("every VM restarted at once: in force after %.2f s" % seconds)
    run.in_force(since=run.race(pick(run, 2), "after-restart"))


def is_carried_after(fleet, offset):
    status, body = read_log(fleet, offset + 1)
    assert status == 200, body
    return any(base64.b64decode(record["data"])[1] == 2
               for record in json.loads(body)["records"])


def cbor_head(kind, number):
    if number < 24:
        return bytes([kind << 5 | number])
    if number < 256:
        return bytes([kind << 5 | 24, number])
    return bytes([kind << 5 | 25]) + struct.pack(">H", number)


def stale_carry(run):
    """A carry of an older version, as a node writes it that was paused before the append."""
    version = run.version - 1
    as_of = next_offset(run.fleet) - 1
    run.in_force(since=run.race(pick(run, 2), "before-stale"))
    content = sheet_of(version, "stale").encode()
    record = (cbor_head(4, 4) + cbor_head(0, 2) + cbor_head(0, version) +
              cbor_head(0, as_of) + cbor_head(2, len(content)) + content)
    status, _, body = http_call(run.fleet.log_port, "POST", STREAM, record)
    assert status == 200, body
    stale = json.loads(body)["offset"]
    # Once the nodes have carried the sheet again, a fresh VM finds the stale carry first.
    wait_until(lambda: is_carried_after(run.fleet, stale), RETENTION_MS / 1000,
               "the sheet is carried again")
    run.fleet.control_log(drop_before={"stream": "config", "offset": stale})
    run.in_force()
    for node in pick(run, 2):
        node.process.kill()
        node.restart()
        wait_until(lambda: (node.status() or {}).get("ready"), IN_FORCE_S,
                   node.name + " is ready")
        assert _view(node)["version"] == run.version, node.name
    run.in_force(since=run.race(pick(run, 2), "after-stale"))
    print("stale carry: version %d" % run.version)


def main(build, seed):
    print("seed %d" % seed)
    with Fleet(build, seed, proxied=True) as fleet:
        fleet.start_log("--retention-ms", RETENTION_MS)
        for domain in ("a", "b", "c"):
            for number in (1, 2):
                fleet.add_node("%s%d" % (domain, number), domain)
        fleet.start_nodes({"log_retention_ms": RETENTION_MS})
        fleet.wait_members(len(fleet.nodes))
        run = Run(fleet)
        with Sampler(fleet.nodes) as sampler:
            for step in (race_operators, race_with_log_faults, outage, cut_log_only, cut_domain,
                         restart_one_by_one, restart_all, stale_carry, restart_all):
                step(run)
                sampler.check()
        sampler.check()
        counts = {name: len(found) for name, found in sampler.samples.items()}
        assert min(counts.values()) > 200, counts
        print("samples: %s" % counts)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
