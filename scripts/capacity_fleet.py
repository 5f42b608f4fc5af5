"""Measures what real nodes cost on loopback: processor time, memory, control traffic."""

import os
import random
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "testsuite"))
from fleet import Fleet, http_json, sheet, wait_until  # noqa: E402

TICK = os.sysconf("SC_CLK_TCK")
SERVERS_AT_MOST = 20
CALLS_PER_S = 40


# Below the ports that the system gives out, so that no other fleet on the machine takes
# one of these between the choice and the start of the node.
PORTS = list(range(12000, 31000))
random.shuffle(PORTS)


def take_port():
    """Returns a loopback port that is free for TCP and UDP and is not given out twice."""
    while True:
        port = PORTS.pop()
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue


def give_ports(node):
    node.caller, node.server_side, node.link, node.operator, node.gossip, node.server_port = (
        take_port() for _ in range(6))


def process_figures(pid):
    """Returns (processor seconds, resident bytes, threads) of a process."""
    with open("/proc/%d/stat" % pid) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    resident = 0
    with open("/proc/%d/status" % pid) as status:
        for line in status:
            if line.startswith("VmRSS:"):
                resident = int(line.split()[1]) * 1024
    return (int(fields[11]) + int(fields[12])) / TICK, resident, int(fields[17])


class CountingRelay:
    """Passes TCP connections on to a port and counts the bytes of both directions."""

    def __init__(self, target):
        self.target = target
        self.bytes = 0
        self.port = take_port()
        self.listener = socket.create_server(("127.0.0.1", self.port))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                return
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._copy, args=(source, sink), daemon=True).start()

    def _copy(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                self.bytes += len(data)
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def snapshot(fleet):
    metrics = [http_json(node.operator, "GET", "/v1/metrics")[1] for node in fleet.nodes]
    figures = [process_figures(node.process.child.pid) for node in fleet.nodes]
    log = process_figures(fleet.log.child.pid)
    return {
        "time": time.monotonic(),
        "core_s": sum(f[0] for f in figures),
        "resident": sum(f[1] for f in figures),
        "resident_max": max(f[1] for f in figures),
        "threads": max(f[2] for f in figures),
        "gossip_sent": sum(m["gossip_bytes_sent"] for m in metrics),
        "gossip_received": sum(m["gossip_bytes_received"] for m in metrics),
        "links": sum(m["links"] for m in metrics),
        "log_core_s": log[0],
        "log_resident": log[1],
        "log": http_json(fleet.log_port, "GET", "/control/stats")[1],
    }


def difference(before, after, nodes):
    seconds = after["time"] - before["time"]

    def rate(key):
        return (after[key] - before[key]) / seconds / nodes

    return {
        "core": rate("core_s"),
        "resident_bytes": after["resident"] / nodes,
        "resident_max_bytes": after["resident_max"],
        "threads": after["threads"],
        "gossip_sent_per_s": rate("gossip_sent"),
        "gossip_received_per_s": rate("gossip_received"),
        "links": after["links"] / nodes,
        "log_core": (after["log_core_s"] - before["log_core_s"]) / seconds,
        "log_resident_bytes": after["log_resident"],
        "log_reads_per_s": (after["log"]["reads"] - before["log"]["reads"]) / seconds,
        "log_appends_per_s": (after["log"]["appends"] - before["log"]["appends"]) / seconds,
        "seconds": seconds,
    }


def call_for(fleet, seconds):
    """Makes calls at a steady rate from all nodes; returns the numbers made and served."""
    end = time.monotonic() + seconds
    made = served = 0
    while time.monotonic() < end:
        start = time.monotonic()
        node = fleet.nodes[made % len(fleet.nodes)]
        try:
            served += node.call("till", "/item")[0] == 200
        except OSError:
            pass
        made += 1
        time.sleep(max(0, 1 / CALLS_PER_S - (time.monotonic() - start)))
    return made, served


def live_share(fleet):
    """Returns the lowest share of live members that any of a few nodes sees."""
    lowest = 1.0
    for node in fleet.nodes[:3] + fleet.nodes[-3:]:
        members = http_json(node.operator, "GET", "/v1/members")[1]["members"]
        alive = sum(1 for member in members if member["liveness"] == "alive")
        lowest = min(lowest, alive / len(fleet.nodes))
    return lowest


def measure_fleet(build, count, seconds):
    """Measures `count` nodes: idle, then with a light load."""
    with Fleet(build) as fleet:
        fleet.start_log()
        relay = None
        if count <= 5:
            relay = CountingRelay(fleet.log_port)
        for number in range(count):
            give_ports(fleet.add_node("n%d" % number, "domain-%d" % (number % 5)))
        log_port = fleet.log_port
        if relay:
            fleet.log_port = relay.port
        fleet.start_nodes()
        fleet.log_port = log_port
        fleet.submit(sheet("*,till,1"))
        fleet.wait_ready(60)
        wait_until(lambda: live_share(fleet) == 1.0, 60, "all nodes see all")
        time.sleep(5)
        relayed = relay.bytes if relay else 0
        before = snapshot(fleet)
        time.sleep(seconds)
        after = snapshot(fleet)
        point = {"nodes": count, "idle": difference(before, after, count)}
        if relay:
            reads = after["log"]["reads"] - before["log"]["reads"]
            point["bytes_per_log_read"] = (relay.bytes - relayed) / max(1, reads)
        servers = min((count + 1) // 2, SERVERS_AT_MOST)
        for node in fleet.nodes[:servers]:
            node.start_server("--service", "till", "--slots", "8", "--service-ms", "1")
        wait_until(lambda: _ready(fleet.nodes[-1]) == servers, 60, "servers are known")
        call_for(fleet, 2)
        before = snapshot(fleet)
        made, served = call_for(fleet, seconds)
        loaded = difference(before, snapshot(fleet), count)
        loaded["calls"] = made
        loaded["served"] = served
        loaded["calls_per_s"] = made / loaded["seconds"]
        point["loaded"] = loaded
        return point


def _ready(node):
    members = http_json(node.operator, "GET", "/v1/members")[1]["members"]
    return sum(1 for member in members if member["state"] == "ready")


def measure(build, quick):
    sizes, seconds = ((5, 20, 60), 8) if quick else ((5, 20, 60, 100), 15)
    return [measure_fleet(build, count, seconds) for count in sizes]
