"""A call through a chain of three services in two failure domains is answered whole.

Guards against a path that breaks at any hop: entry, link, admission, pool, downstream
call and the way back.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet import Fleet, sheet  # noqa: E402

RULES = sheet("*,front,5", "*,middle,5", "*,deep,5", settings=[("domains", 2)])


def main(build):
    with Fleet(build) as fleet:
        fleet.start_log()
        chain = {"front": "middle", "middle": "deep", "deep": None}
        for domain in ("a", "b"):
            for service in chain:
                fleet.add_node("%s-%s" % (domain, service), domain)
        fleet.start_nodes()
        answer = fleet.submit(RULES)
        assert answer["status"] == "accepted", answer
        fleet.wait_ready()
        for node in fleet.nodes:
            service = node.name.split("-")[1]
            downstream = ["--downstream", chain[service]] if chain[service] else []
            node.start_server("--service", service, "--slots", 10, "--service-ms", 2,
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
        for node in fleet.nodes:
            assert node.process.stop() == 0


if __name__ == "__main__":
    main(sys.argv[1])
