#!/usr/bin/env python3
"""Writes node settings and a list of processes for a deployment on loopback.

    scripts/make_deployment.py lackhuset DIRECTORY [--first-port 20000] [--nodes N]

DIRECTORY receives one settings file for each node and processes.json, which lists each
node with its settings file and the slots and connections of its backend server. No
process is started.
"""

import argparse
import json
import pathlib
import sys

# Service: (backend servers, slots, connections); the sizes of docs/design.md, section 1.1.
DEPLOYMENTS = {
    "lackhuset": {
        "region": "north",
        "domains": ["d1", "d2", "d3", "d4"],
        "services": {
            "treatment-menu": (5, 150, 1000),
            "campaign-scheduling": (4, 180, 1200),
            "price-register": (4, 180, 1200),
            "till-pricing": (4, 25, 250),
        },
    },
    "lindenhof": {
        "region": "south",
        "domains": ["d1", "d2", "d3"],
        "services": {
            "public-registry": (4, 120, 800),
            "certificates": (3, 160, 1100),
            "renewals": (3, 160, 1100),
            "court-verification": (3, 30, 250),
        },
    },
}

LISTEN = ["caller", "server", "link", "operator", "gossip"]
# Ports of one node: the ones it listens on, then the one of its backend server.
PORTS_PER_NODE = 10
SERVER_PORT_OFFSET = len(LISTEN)
CONTACTS = 3


def address(port):
    return f"127.0.0.1:{port}"


def list_servers(deployment):
    """Yields (service, number, domain): the servers of a service in turn over the domains."""
    domains = deployment["domains"]
    for service, (count, _, _) in deployment["services"].items():
        for number in range(count):
            yield service, number, domains[number % len(domains)]


def make_nodes(deployment, first_port, limit):
    nodes = []
    for index, (service, number, domain) in enumerate(list_servers(deployment)):
        if limit is not None and index >= limit:
            break
        port = first_port + index * PORTS_PER_NODE
        _, slots, connections = deployment["services"][service]
        nodes.append(
            {
                "node": f"{service}-{number + 1}",
                "failure_domain": domain,
                "region": deployment["region"],
                "service": service,
                "slots": slots,
                "connections": connections,
                "server_address": address(port + SERVER_PORT_OFFSET),
                "listen": {name: address(port + i) for i, name in enumerate(LISTEN)},
            }
        )
    return nodes


def to_settings(node, nodes, log_port):
    contacts = [other["listen"]["gossip"] for other in nodes if other is not node]
    return {
        "node": node["node"],
        "failure_domain": node["failure_domain"],
        "region": node["region"],
        "listen": node["listen"],
        "contacts": contacts[:CONTACTS],
        "log_service": address(log_port),
        "threads": 1,
        "drain_timeout_ms": 30000,
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("deployment", choices=sorted(DEPLOYMENTS))
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--first-port", type=int, default=20000)
    parser.add_argument("--nodes", type=int, help="write only the first N nodes")
    options = parser.parse_args()

    deployment = DEPLOYMENTS[options.deployment]
    log_port = options.first_port
    nodes = make_nodes(deployment, options.first_port + PORTS_PER_NODE, options.nodes)
    last_port = options.first_port + (len(nodes) + 1) * PORTS_PER_NODE - 1
    if options.first_port < 1024 or last_port > 65535:
        parser.error(f"ports {options.first_port} to {last_port} are not from 1024 to 65535")

    options.directory.mkdir(parents=True, exist_ok=True)
    for node in nodes:
        settings = to_settings(node, nodes, log_port)
        node["settings"] = f"{node['node']}.json"
        file = options.directory / node["settings"]
        comment = f"// {node['service']} in failure domain {node['failure_domain']}\n"
        file.write_text(comment + json.dumps(settings, indent=4) + "\n", encoding="utf-8")
    processes = {"log_service": address(log_port), "nodes": nodes}
    file = options.directory / "processes.json"
    file.write_text(json.dumps(processes, indent=4) + "\n", encoding="utf-8")
    print(f"{len(nodes)} nodes, ports {options.first_port} to {last_port}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
