"""Failure domains that are cut from each other, and links cut in the middle of a frame.

Guards against calls that wait for servers that cannot be reached, a fleet that stays apart
after a cut, and answers that reach a caller truncated or belong to another call. The log
is down all the while.
"""

import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from callers import Callers, count_by  # noqa: E402
from fleet import Fleet, http_json, sheet, wait_until  # noqa: E402

# The bounds of docs/design.md, section 6.3.
ROUTED_AROUND_S = 2.0
WHOLE_AGAIN_S = 5.0

# A link counts as broken after 1.5 s of silence. A call that takes less has not waited for
# a server behind a silent link.
WAITED_S = 1.4

CUT_S = 4.0
DOMAINS = ("a", "b", "c")
RULES = sheet("*,shop,5", "*,only-a,5", "*,only-b,5", settings=[("domains", 3)])


def start(fleet):
    fleet.start_log()
    for domain in DOMAINS:
        for number in (1, 2, 3):
            fleet.add_node("%s%d" % (domain, number), domain)
    fleet.start_nodes()
    answer = fleet.submit(RULES)
    assert answer["status"] == "accepted", answer
    fleet.wait_ready()
    for node in fleet.nodes:
        only = {"a3": "only-a", "b3": "only-b"}
        if node.name in only:
            node.start_server("--service", only[node.name], "--slots", 20,
                              "--service-ms", 5)
        elif not node.name.endswith("3"):
            node.start_server("--service", "shop", "--slots", 20, "--service-ms", 20)
    fleet.wait_members(len(fleet.nodes))
    fleet.wait_servers()


def lost_members(node):
    """Returns the members that a node counts as dead or suspect."""
    members = http_json(node.operator, "GET", "/v1/members")[1]["members"]
    return {member["node"] for member in members if member["liveness"] != "alive"}


def wait_whole(fleet, seconds):
    """Waits until every node sees every other and reaches both single servers."""
    end = time.monotonic() + seconds
    while any(lost_members(node) for node in fleet.nodes):
        assert time.monotonic() < end, {node.name: lost_members(node) for node in fleet.nodes}
        time.sleep(0.02)
    for node in fleet.nodes:
        for service in ("only-a", "only-b"):
            wait_until(lambda: node.call(service, timeout_ms=500)[0] == 200,
                       end - time.monotonic(), "%s reaches %s" % (node.name, service))


def check_no_wrong_answer(callers):
    faults = callers.faults()
    assert not faults, faults[:5]
    cut = [result for result in callers.results if result.status is None]
    assert not cut, cut[:5]


def check_cut(fleet, mode):
    a_nodes = [node for node in fleet.nodes if node.domain == "a"]
    others = [node for node in fleet.nodes if node.domain != "a"]
    with Callers(a_nodes, "shop", per_node=10, seed=fleet.seed) as busy, \
            Callers(others, "shop", per_node=1, seed=fleet.seed) as quiet, \
            Callers(a_nodes[:1], "only-b", per_node=2, seed=fleet.seed, pause=0.02) as far:
        time.sleep(1.0)
        remote = sum(node.server_stats()["executions"] for node in others if node.server)
        before = len(quiet.since(0))
        assert remote > before, "no call crosses the domains: %d <= %d" % (remote, before)
        moment = time.monotonic()
        fleet.cut("a", "b", mode)
        fleet.cut("a", "c", mode)
        time.sleep(ROUTED_AROUND_S)
        settled = time.monotonic()
        time.sleep(CUT_S - ROUTED_AROUND_S)
        healed = time.monotonic()
        fleet.heal()
        wait_whole(fleet, WHOLE_AGAIN_S - (time.monotonic() - healed))
        whole = time.monotonic()
        time.sleep(0.5)
    for callers in (busy, quiet, far):
        check_no_wrong_answer(callers)
    for callers in (busy, quiet):
        during = callers.since(moment, settled)
        assert any(result.outcome == "ok" for result in during), count_by(during)
        later = callers.since(settled, healed)
        assert len(later) > 20, "only %d calls were answered" % len(later)
        bad = [result for result in later
               if result.outcome != "ok" or result.seconds() > WAITED_S]
        assert not bad, (mode, len(bad), len(later), count_by(bad), bad[:5])
    # Calls to a service that lives only behind the cut are refused, not waited for.
    waited = [result for result in far.since(settled, healed)
              if result.seconds() > WAITED_S]
    assert not waited, (mode, waited[:5])
    back = far.since(whole)
    assert any(result.outcome == "ok" for result in back), count_by(back)
    print("%s: %d calls, %s in the first %g s, whole again after %.2f s" % (
        mode, len(busy.results) + len(quiet.results),
        count_by(busy.since(moment, settled)), ROUTED_AROUND_S, whole - healed))


def check_mid_frame(fleet, chance):
    """Resets links in the middle of frames while large calls cross the domains."""
    a_nodes = [node for node in fleet.nodes if node.domain == "a"]
    executions = executions_of(fleet)
    with Callers(a_nodes, "only-b", per_node=4, seed=fleet.seed, size=200_000,
                 timeout_ms=2000) as far, \
            Callers(a_nodes, "shop", per_node=6, seed=fleet.seed, size=50_000) as near:
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            for node in fleet.nodes:
                node.link_proxy.control(reset_after_bytes=chance.randint(30_000, 2_000_000))
            time.sleep(0.5)
        for node in fleet.nodes:
            node.link_proxy.control(reset_after_bytes=0)
    for callers in (far, near):
        check_no_wrong_answer(callers)
    # Links that were not yet reset keep their count of bytes and live on without a limit.
    counts = count_by(far.results)
    assert counts.get("ok", 0) > 20, counts
    assert any("link_broken" in name for name in counts), counts
    ok = sum(1 for callers in (far, near) for result in callers.results
             if result.outcome == "ok")
    ran = executions_of(fleet) - executions
    assert ran >= ok, "%d answers, %d executions" % (ok, ran)
    print("mid-frame: %s, %d executions for %d answers" % (counts, ran, ok))


def executions_of(fleet):
    return sum(node.server_stats()["executions"] for node in fleet.nodes if node.server)


def main(build, seed):
    print("seed %d" % seed)
    with Fleet(build, seed, proxied=True) as fleet:
        start(fleet)
        fleet.control_log(down=True)
        for mode in ("cut", "half_open", "one_way"):
            check_cut(fleet, mode)
        check_mid_frame(fleet, random.Random(seed))
        for node in fleet.nodes:
            assert node.process.alive(), node.name


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
