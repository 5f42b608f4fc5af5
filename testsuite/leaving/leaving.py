"""Backend servers and nodes that leave, are replaced, are paused or share an id, under load.

Guards against calls in flight that are cut by a planned stop, new work that starts at a
leaving backend server, and two nodes that take calls under one id.
"""

import http.client
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from callers import Callers, count_by  # noqa: E402
from fleet import Fleet, Node, http_json, sheet, wait_until  # noqa: E402

# The bounds of docs/design.md, sections 1.2 (G6) and 6.3.
NO_NEW_WORK_S = 2.0
WHOLE_AGAIN_S = 5.0
IDLE_STOP_S = 1.0

# Longer than the pauses in the stop of a node, so that calls in flight would be cut.
SERVICE_MS = 300
RULES = sheet("*,shop,5", "*,slow,5", "*,only-a,5", settings=[("domains", 2)])


def start(fleet):
    fleet.start_log()
    for name in ("a1", "a2", "a3", "a4", "b1", "b2", "b3"):
        fleet.add_node(name, name[0])
    fleet.start_nodes()
    answer = fleet.submit(RULES)
    assert answer["status"] == "accepted", answer
    fleet.wait_ready()
    by_name = {node.name: node for node in fleet.nodes}
    for name in ("a1", "a2", "b1", "b2"):
        by_name[name].start_server("--service", "shop", "--slots", 20, "--service-ms",
                                   SERVICE_MS)
    for name in ("a3", "a4"):
        by_name[name].start_server("--service", "only-a", "--slots", 20, "--service-ms",
                                   SERVICE_MS)
    fleet.wait_members(len(fleet.nodes))
    fleet.wait_servers()
    return by_name


def started_after(node, moment):
    """Returns the executions that a node's backend server started after a time."""
    return [line for line in node.executions()
            if line["status"] == "started" and line["time_ms"] / 1000 > moment]


def check_record(fleet, results, gaps_allowed=()):
    """Counts the answers against the execution records of all backend servers."""
    states = {}
    for node in fleet.nodes:
        for line in node.executions():
            states.setdefault(line["path"], []).append(line["status"])
    for result in results:
        assert not result.fault, result
        ran = states.get(result.path, [])
        if result.outcome == "ok":
            assert "finished" in ran, (result, ran)
        elif result.outcome in ("not_run", "refused", "cut"):
            # "cut": the port closed; only a request that was not taken may end so.
            assert not ran, (result, ran)
        else:
            assert result.reason in gaps_allowed, (result, ran)


def check_all_ok(results, gaps_allowed=()):
    bad = [result for result in results
           if result.outcome != "ok" and result.reason not in gaps_allowed]
    assert not bad, (len(bad), len(results), count_by(bad), bad[:5])


def under_load(fleet, nodes, act, service="shop", seconds=3.0, per_node=4, before=1.0,
               **options):
    """Runs act() a second into a load; returns (time of act, results)."""
    with Callers(nodes, service, per_node=per_node, seed=fleet.seed, **options) as callers:
        time.sleep(before)
        moment = time.monotonic()
        act()
        time.sleep(max(0.0, seconds - (time.monotonic() - moment)))
    return moment, callers.results


def check_left(fleet, node, moment, results):
    late = started_after(node, moment + NO_NEW_WORK_S)
    assert not late, "%d started at %s too late" % (len(late), node.name)
    before = [line for line in node.executions() if line["time_ms"] / 1000 < moment]
    assert before, "%s had no work before it left" % node.name
    check_record(fleet, results)


def bring_back(fleet, node):
    """Restarts a node's backend server and waits until it runs calls again."""
    if node.server.alive():
        assert node.server.stop() == 0
    node.start_server()
    fleet.wait_servers()
    moment = time.monotonic()
    with Callers([node], node.server_options[1], per_node=2, seed=fleet.seed):
        wait_until(lambda: started_after(node, moment), WHOLE_AGAIN_S,
                   "%s takes calls again" % node.name)


def drain(fleet, by_name):
    """POST /v1/drain under load."""
    node = by_name["a1"]
    moment, results = under_load(
        fleet, fleet.nodes, lambda: http_json(node.operator, "POST", "/v1/drain"))
    check_left(fleet, node, moment, results)
    check_all_ok(results)
    bring_back(fleet, node)
    print("drain: %s" % count_by(results))


def drain_full_queue(fleet, by_name):
    """A drain while calls wait in the queue: they go elsewhere and start nothing here."""
    first, second = by_name["a2"], by_name["b3"]
    for node in (first, second):
        if node.server:
            assert node.server.stop() == 0
        node.start_server("--service", "slow", "--slots", 1, "--service-ms", 900)
    fleet.wait_servers()
    moment, results = under_load(
        fleet, [first], lambda: http_json(first.operator, "POST", "/v1/drain"),
        service="slow", per_node=6, seconds=4.5, timeout_ms=8000)
    check_left(fleet, first, moment, results)
    kept = {result.reason for result in results if result.outcome != "ok"}
    assert kept <= {"overload", "deadline"}, count_by(results)
    for node in (first, second):
        assert node.server.stop() == 0
    second.server = None
    first.start_server("--service", "shop", "--slots", 20, "--service-ms", SERVICE_MS)
    fleet.wait_servers()
    print("drain with a full queue: %s" % count_by(results))


def drain_unheard(fleet, by_name):
    """The news of a drain does not reach the other domain, while its links live on."""
    node = by_name["a3"]
    outside = [other for other in fleet.nodes if other.domain == "b"]

    def act():
        for other in fleet.nodes:
            blocked = "a" if other.domain == "b" else "b"
            other.gossip_proxy.block(fleet.domain_address(blocked), "drop")
        http_json(node.operator, "POST", "/v1/drain")

    moment, results = under_load(fleet, outside, act, service="only-a")
    fleet.heal()
    check_left(fleet, node, moment, results)
    check_all_ok([result for result in results if result.started < moment + 1.0])
    # Gossip counts the other domain as dead then, so there is no server to route to.
    check_all_ok(results, gaps_allowed=("no_server", "draining"))
    # The leaving server's own node refuses, and the calls go elsewhere.
    retried = [event for other in outside for event in other.events()
               if event["event"] == "call_retried" and event["reason"] == "draining"]
    assert retried, "no call met the leaving server"
    told = [event for event in node.events() if event["event"] == "server_state"]
    assert told[-1]["state"] == "draining", told[-1]
    fleet.wait_members(len(fleet.nodes), WHOLE_AGAIN_S)
    bring_back(fleet, node)
    print("drain that is not heard: %s" % count_by(results))


def drain_cut_off(fleet, by_name):
    """A drain in a failure domain that is cut off: the news cannot leave it."""
    node = by_name["a1"]

    def act():
        fleet.cut("a", "b", "half_open")
        http_json(node.operator, "POST", "/v1/drain")

    moment, results = under_load(fleet, fleet.nodes, act)
    fleet.heal()
    late = started_after(node, moment + NO_NEW_WORK_S)
    assert not late, late[:3]
    check_record(fleet, results, gaps_allowed=("link_broken", "deadline", "cancelled"))
    fleet.wait_members(len(fleet.nodes), WHOLE_AGAIN_S)
    bring_back(fleet, node)
    print("drain in a domain cut off: %s" % count_by(results))


def stop_server(fleet, by_name):
    """SIGTERM of the backend server under load."""
    node = by_name["b1"]
    moment, results = under_load(fleet, fleet.nodes,
                                 lambda: node.server.send(signal.SIGTERM))
    assert node.server.child.wait(5) == 0
    check_left(fleet, node, moment, results)
    check_all_ok(results)
    node.start_server()
    fleet.wait_servers()
    print("SIGTERM of the backend server: %s" % count_by(results))


def stop_node(fleet, by_name):
    """SIGTERM of a node under load, then a new one under its addresses."""
    node = by_name["a1"]
    old = node.status()["incarnation"]
    moment, results = under_load(fleet, fleet.nodes,
                                 lambda: node.process.send(signal.SIGTERM))
    assert node.process.child.wait(5) == 0
    check_left(fleet, node, moment, results)
    others = [result for result in results if result.node is not node]
    check_all_ok(others)
    node.restart()
    wait_until(lambda: (node.status() or {}).get("ready"), WHOLE_AGAIN_S, "ready again")
    assert node.status()["incarnation"] > old
    fleet.wait_members(len(fleet.nodes), WHOLE_AGAIN_S)
    fleet.wait_servers(WHOLE_AGAIN_S)
    bring_back(fleet, node)
    print("SIGTERM of a node: %s" % count_by(results))


def stop_node_with_open_calls(fleet, by_name):
    """SIGTERM of a node whose calls last longer than its drain timeout: each is answered,
    and none that is told not_run has run."""
    node, server = by_name["b3"], by_name["a2"]
    assert server.server.stop() == 0
    server.start_server("--service", "slow", "--slots", 1, "--service-ms", 2500)
    fleet.wait_servers()
    assert node.process.stop() == 0
    node.restart({"drain_timeout_ms": 500})
    wait_until(lambda: (node.status() or {}).get("ready"), WHOLE_AGAIN_S, "ready again")
    fleet.wait_members(len(fleet.nodes), WHOLE_AGAIN_S)
    with Callers([node], "slow", per_node=3, seed=fleet.seed, timeout_ms=10_000,
                 pause=0.2) as callers:
        time.sleep(1.0)
        callers.stopping = True
        moment = time.monotonic()
        node.process.send(signal.SIGTERM)
    assert node.process.child.wait(5) == 0
    check_record(fleet, callers.results, gaps_allowed=("shutting_down", "cancelled"))
    outcomes = count_by(callers.results)
    assert not any(result.outcome == "cut" for result in callers.results), outcomes
    interrupted = [result for result in callers.results
                   if result.outcome == "unknown" and result.ended > moment + 0.5]
    assert interrupted, outcomes
    node.restart({})
    wait_until(lambda: (node.status() or {}).get("ready"), WHOLE_AGAIN_S, "ready again")
    fleet.wait_members(len(fleet.nodes), WHOLE_AGAIN_S)
    assert server.server.stop() == 0
    server.start_server("--service", "shop", "--slots", 20, "--service-ms", SERVICE_MS)
    fleet.wait_servers()
    print("SIGTERM of a node with open calls: %s" % count_by(callers.results))


def replace_killed_node(fleet, by_name):
    """A node that died is replaced under its addresses at once."""
    node = by_name["b2"]

    def act():
        node.process.kill()
        node.restart()

    _, results = under_load(fleet, [n for n in fleet.nodes if n is not node], act)
    check_record(fleet, results, gaps_allowed=("link_broken", "cancelled"))
    fleet.wait_members(len(fleet.nodes), WHOLE_AGAIN_S)
    fleet.wait_servers(WHOLE_AGAIN_S)
    bring_back(fleet, node)
    print("node killed and replaced: %s" % count_by(results))


def pause_node(fleet, by_name):
    """A node is stopped by SIGSTOP for 5 s and goes on."""
    node = by_name["a2"]
    others = [other for other in fleet.nodes if other is not node]

    def act():
        node.process.send(signal.SIGSTOP)
        time.sleep(5.0)
        node.process.send(signal.SIGCONT)

    moment, results = under_load(fleet, others, act, seconds=6.0, timeout_ms=2500)
    check_record(fleet, results, gaps_allowed=("link_broken", "deadline", "cancelled"))
    paused = [result for result in results
              if moment + NO_NEW_WORK_S < result.started < moment + 5.0]
    check_all_ok(paused)
    resumed = moment + 5.0
    late = {line["path"] for line in started_after(node, resumed)}
    expired = {result.path for result in results if result.ended < resumed}
    assert not late & expired, "expired calls were run: %s" % (late & expired)
    fleet.wait_members(len(fleet.nodes), WHOLE_AGAIN_S)
    bring_back(fleet, node)
    print("SIGSTOP for 5 s: %s" % count_by(results))


def share_id(fleet, by_name):
    """A second node starts with the id of a live one: the older one steps back."""
    older = by_name["a2"]
    newer = Node(fleet, "a2", "a", "north")
    newer.record_file += "-newer"
    newer.start(fleet.contacts(), fleet.log_port_of("a"))
    others = [node for node in fleet.nodes if node is not older]
    with Callers(others, "shop", per_node=4, seed=fleet.seed) as callers:
        wait_until(lambda: any(event["event"] == "member_duplicate_id"
                               for event in older.events()), WHOLE_AGAIN_S,
                   "the older node records the duplicate id")
        moment = time.monotonic()
        newer.start_server("--service", "shop", "--slots", 20, "--service-ms", SERVICE_MS)
        time.sleep(3.0)
    late = started_after(older, moment + NO_NEW_WORK_S)
    assert not late, "the older node ran %d more calls" % len(late)
    status, headers, _ = older.call("shop")
    assert headers["fescue-reason"] == "shutting_down", (status, headers)
    status, headers, _ = newer.call("shop")
    assert status == 200, (status, headers)
    assert newer.executions(), "the newer node ran no call"
    check_record(_with(fleet, newer), callers.results)
    check_all_ok(callers.results)
    for process in (newer.server, newer.process, older.server):
        assert process.stop() == 0
    print("two nodes with one id: %s" % count_by(callers.results))


class _with:
    """A fleet with one more node, for check_record()."""

    def __init__(self, fleet, node):
        self.nodes = fleet.nodes + [node]


def stop_idle(fleet):
    """A graceful stop of idle nodes; the backend servers beside some of them live on."""
    for node in fleet.nodes:
        # A tool that keeps its connection must not hold up the stop.
        idle = http.client.HTTPConnection("127.0.0.1", node.operator, timeout=5)
        idle.request("GET", "/v1/status")
        idle.getresponse().read()
        began = time.monotonic()
        assert node.process.stop() == 0
        seconds = time.monotonic() - began
        idle.close()
        print("idle %s stopped in %.2f s" % (node.name, seconds))
        assert seconds < IDLE_STOP_S, (node.name, seconds)


def main(build, seed, only):
    print("seed %d" % seed)
    with Fleet(build, seed, proxied=True) as fleet:
        by_name = start(fleet)
        for case in (drain, drain_full_queue, drain_unheard, drain_cut_off, stop_server,
                     stop_node, stop_node_with_open_calls, replace_killed_node, pause_node, share_id):
            if not only or case.__name__ in only:
                case(fleet, by_name)
        stop_idle(fleet)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), sys.argv[3:])
