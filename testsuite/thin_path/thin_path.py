"""A call through a chain of three services in two failure domains is answered whole.

Guards against a path that breaks at any hop: entry, link, admission, pool, downstream
call and the way back.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet import Fleet, http_json, sheet  # noqa: E402

RULES = sheet("*,front,5", "*,middle,5", "*,deep,5", settings=[("domains", 2)])

CHAIN = {"front": "middle", "middle": "deep", "deep": None}
SERVICE_MS = 2


def check_times(fleet):
    """The metrics show the times of the calls where they were made and served."""
    for node in fleet.nodes:
        _, metrics = http_json(node.operator, "GET", "/v1/metrics")
        # The calls may lie in two windows, of which the metrics show one.
        assert 0 < metrics["call_time"]["count"] <= 50, metrics
        assert metrics["call_time"]["p50_ms"] >= (SERVICE_MS - 1) * len(CHAIN), metrics
        # A timer of the stand-in server may end up to 1 ms early by its own clock.
        assert metrics["server_time"]["p50_ms"] >= SERVICE_MS - 1, metrics
        assert metrics["queue_time"]["max_ms"] < metrics["call_time"]["max_ms"], metrics


def main(build):
    with Fleet(build) as fleet:
        fleet.start_log()
        for domain in ("a", "b"):
            for service in CHAIN:
                fleet.add_node("%s-%s" % (domain, service), domain)
        fleet.start_nodes()
        answer = fleet.submit(RULES)
        assert answer["status"] == "accepted", answer
        fleet.wait_ready()
        for node in fleet.nodes:
            service = node.name.split("-")[1]
            downstream = ["--downstream", CHAIN[service]] if CHAIN[service] else []
            node.start_server("--service", service, "--slots", 10, "--service-ms", SERVICE_MS,
                              *downstream)
        fleet.wait_servers()
        for number in range(50):
            node = fleet.nodes[number % len(fleet.nodes)]
            body = "request %d" % number
            status, headers, data = node.call("front", "/price", "POST", body)
            assert status == 200, (status, headers, data)
            assert headers["fescue-outcome"] == "ok", headers
            assert body in data.decode(), data
        executions = sum(node.server_stats()["executions"] for node in fleet.nodes
                         if node.name.endswith("deep"))
        assert executions == 50, executions
        check_times(fleet)
        for node in fleet.nodes:
            assert node.process.stop() == 0


if __name__ == "__main__":
    main(sys.argv[1])
