"""Callers that close their connection cancel their calls and nothing else.

Guards against a node that stops answering because a cancelled call ends while the node
holds the lock under which it was cancelled.
"""

import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet import Fleet, sheet, wait_until  # noqa: E402

CALLS = 20


def open_call(node):
    """Sends a request and returns its connection without reading the answer."""
    connection = socket.create_connection(("127.0.0.1", node.caller), 5)
    connection.sendall(b"GET /call/front/slow HTTP/1.1\r\nHost: node\r\n"
                       b"Fescue-Timeout-Ms: 20000\r\n\r\n")
    return connection


def check_cancelled(node, servers):
    """Cancels calls that run at the first of the servers, the entry node's own or not."""
    for server in servers:
        server.control_server(service_ms=10000)
    cancelled = sum(server.server_stats()["cancelled"] for server in servers)
    connections = [open_call(node) for _ in range(CALLS)]
    wait_until(lambda: sum(s.server_stats()["running"] for s in servers) == CALLS, 10,
               "all calls run")
    for connection in connections:
        connection.close()
    wait_until(lambda: sum(s.server_stats()["cancelled"] for s in servers)
               == cancelled + CALLS, 10, "the server sees every cancelled call")
    for server in servers:
        server.control_server(service_ms=1)
    for number in range(10):
        status, headers, _ = node.call("front", "/after/%d" % number)
        assert status == 200, (status, headers)


def main(build):
    with Fleet(build) as fleet:
        fleet.start_log()
        entry = fleet.add_node("entry", "a")
        serving = fleet.add_node("serving", "a")
        fleet.start_nodes()
        assert fleet.submit(sheet("*,front,5"))["status"] == "accepted"
        fleet.wait_ready()
        serving.start_server("--service", "front", "--slots", 50, "--service-ms", 1)
        fleet.wait_servers()
        check_cancelled(serving, [serving])
        print("ok calls at the entry node's own server")
        check_cancelled(entry, [serving])
        print("ok calls at the server of another node")
        for node in fleet.nodes:
            assert node.process.stop() == 0


if __name__ == "__main__":
    main(sys.argv[1])
