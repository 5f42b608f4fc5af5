"""Starts and stops a small fleet of real processes on loopback for end-to-end cases.

Every process that a Fleet starts is ended by its process id when the Fleet is closed.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

_given_ports = set()


# Below the range that the system gives to outgoing connections: one of those could take a
# port between its choice and its use.
LISTEN_PORTS = range(10_000, 32_000)
_used_ports = set()


def free_port(kind=socket.SOCK_STREAM):
    """Returns a loopback port that is free and that this process did not return before."""
    while True:
        port = random.choice(LISTEN_PORTS)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("0.0.0.0", port))
                return port
            except OSError:
                pass


def http_json(port, method, path, body=None, timeout=10):
    """Sends one request and returns (status, parsed body)."""
    status, _, data = http_call(port, method, path, body, timeout=timeout)
    return status, json.loads(data) if data else None


def http_call(port, method, path, body=None, headers=None, timeout=10):
    """Sends one request and returns (status, headers with lower-case names, body)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = response.read()
        names = {name.lower(): value for name, value in response.getheaders()}
        return response.status, names, data
    finally:
        connection.close()


def wait_until(check, seconds, what):
    """Polls until check() is true; raises AssertionError after the time."""
    end = time.monotonic() + seconds
    while True:
        result = check()
        if result:
            return result
        if time.monotonic() > end:
            raise AssertionError("not within %s s: %s" % (seconds, what))
        time.sleep(0.02)


class Process:
    """One started process with its standard error in a file."""

    def __init__(self, name, command, log_file):
        self.name = name
        self.log_file = log_file
        with open(log_file, "ab") as log:
            self.child = subprocess.Popen(command, stdout=log, stderr=log)

    def alive(self):
        return self.child.poll() is None

    def send(self, number):
        self.child.send_signal(number)

    def stop(self, seconds=10):
        """Asks for a graceful end and returns the exit code."""
        if self.alive():
            self.child.send_signal(signal.SIGTERM)
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            raise AssertionError("%s did not end within %s s" % (self.name, seconds))

    def kill(self):
        if self.alive():
            self.child.kill()
        self.child.wait()

    def log_lines(self):
        with open(self.log_file, "rb") as log:
            return log.read().decode(errors="replace").splitlines()


class Proxy:
    """A fault proxy in front of one address."""

    def __init__(self, fleet, name, address, port, *options):
        self.control_port = free_port()
        self.port = free_port(socket.SOCK_DGRAM if options else socket.SOCK_STREAM)
        self.address = "127.0.0.1:%d" % self.port
        self.blocked = {}
        self.process = fleet.run(
            "proxy-" + name, "fescue_fault_proxy", "--listen", self.address,
            "--target", "%s:%d" % (address, port),
            "--control", "127.0.0.1:%d" % self.control_port, *options)
        wait_until(lambda: _answers(self.control_port), 10, name + " proxy answers")

    def control(self, **changes):
        status, _, body = http_call(self.control_port, "POST", "/control", changes)
        assert status == 200, body

    def block(self, prefix, mode):
        """Blocks one more source; all blocked sources of a proxy share one mode."""
        self.blocked[prefix] = mode
        assert len(set(self.blocked.values())) == 1, self.blocked
        self.control(block_sources=list(self.blocked), block_mode=mode)

    def unblock(self):
        if self.blocked:
            self.blocked = {}
            self.control(block_sources=[])


class Node:
    """A node with its ports, its settings and, where there is one, its backend server."""

    def __init__(self, fleet, name, domain, region):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self.region = region
        self.address = fleet.domain_address(domain)
        self.caller = free_port()
        self.server_side = free_port()
        self.link = free_port()
        self.operator = free_port()
        self.gossip = free_port(socket.SOCK_DGRAM)
        # What other nodes are told; the proxies' addresses in a proxied fleet.
        self.link_proxy = None
        self.gossip_proxy = None
        if fleet.proxied:
            self.link_proxy = Proxy(fleet, name + "-link", self.address, self.link)
            self.gossip_proxy = Proxy(fleet, name + "-gossip", self.address, self.gossip,
                                      "--udp")
        self.process = None
        self.server = None
        self.server_port = free_port()
        self.server_options = []
        self.record_file = os.path.join(fleet.folder, "record-" + name)

    def start(self, contacts, log_port=None, overrides=None):
        settings = {
            "node": self.name,
            "failure_domain": self.domain,
            "region": self.region,
            "listen": {
                "caller": "127.0.0.1:%d" % self.caller,
                "server": "127.0.0.1:%d" % self.server_side,
                "link": "%s:%d" % (self.address, self.link),
                "operator": "127.0.0.1:%d" % self.operator,
                "gossip": "%s:%d" % (self.address, self.gossip),
            },
            "contacts": list(contacts),
        }
        if self.fleet.proxied:
            settings["advertise"] = {"link": self.link_proxy.address,
                                     "gossip": self.gossip_proxy.address}
        if log_port:
            settings["log_service"] = "127.0.0.1:%d" % log_port
        settings.update(overrides or {})
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(path, "w") as out:
            json.dump(settings, out, indent=2)
        self.process = self.fleet.run(self.name, "fescueridged", path)

    def gossip_address(self):
        """Returns the gossip address that other nodes are told."""
        if self.gossip_proxy:
            return self.gossip_proxy.address
        return "%s:%d" % (self.address, self.gossip)

    def restart(self, overrides=None):
        """Starts the node again with the settings of its fleet."""
        self.start(self.fleet.contacts(), self.fleet.log_port_of(self.domain),
                   overrides or self.fleet.overrides)

    def start_server(self, *options, record=True):
        """Starts the backend server of this node with the options of its stand-in."""
        if options:
            self.server_options = [str(option) for option in options]
        recording = ["--record", self.record_file] if record else []
        self.server = self.fleet.run(
            "server-" + self.name, "fescue_standin_server",
            "--listen", "127.0.0.1:%d" % self.server_port,
            "--node-operator", "127.0.0.1:%d" % self.operator,
            "--node-server", "127.0.0.1:%d" % self.server_side,
            *recording, *self.server_options)

    def executions(self):
        """Returns the execution record of the backend server, oldest first. Its time_ms
        is of the same clock as time.monotonic()."""
        if not os.path.exists(self.record_file):
            return []
        with open(self.record_file, encoding="utf-8") as record:
            # A server that was killed, or that is writing, leaves half a line at the end.
            return [json.loads(line) for line in record if line.endswith("\n")]

    def status(self):
        try:
            return http_json(self.operator, "GET", "/v1/status", timeout=2)[1]
        except OSError:
            return None

    def events(self):
        _, _, data = http_call(self.operator, "GET", "/v1/events")
        return [json.loads(line) for line in data.decode().splitlines()]

    def call(self, service, path="/", method="GET", body=None, caller="anonymous",
             timeout_ms=1000, key=None, headers=None):
        """Makes one call; returns (status, headers, body)."""
        sent = {"Fescue-Caller": caller, "Fescue-Timeout-Ms": str(timeout_ms)}
        if key:
            sent["Idempotency-Key"] = key
        sent.update(headers or {})
        return http_call(self.caller, method, "/call/%s%s" % (service, path), body, sent,
                         timeout=timeout_ms / 1000 + 5)

    def server_stats(self):
        return http_json(self.server_port, "GET", "/control/stats")[1]

    def control_server(self, **changes):
        assert http_json(self.server_port, "POST", "/control", changes)[0] == 200


class Fleet:
    """Nodes, their backend servers and the stand-in log; a context manager."""

    # Block modes of the proxies of the second domain and of the first one.
    CUT_MODES = {
        "cut": ("cut", "cut"),                # connections are reset, datagrams lost
        "half_open": ("drop", "drop"),        # everything vanishes, connections stay
        "one_way": ("drop_to_target", "drop_to_source"),  # first to second vanishes
    }

    def __init__(self, build, seed=1, proxied=False):
        self.bin = os.path.join(build, "bin")
        self.proxied = proxied
        self.domains = []
        self.log_proxies = {}
        self.overrides = None
        self.lock = threading.Lock()
        self.folder = tempfile.mkdtemp(prefix="fescueridge-")
        self.seed = seed
        self.nodes = []
        self.processes = []
        self.log = None
        self.log_port = None

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            print("logs in %s" % self.folder)
            for process in self.processes:
                print("--- end of %s" % process.name)
                print("\n".join(process.log_lines()[-8:]))
        for process in self.processes:
            if process.alive():
                process.send(signal.SIGCONT)
                process.kill()
        if kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)

    def run(self, name, program, *arguments):
        command = [os.path.join(self.bin, program)] + [str(a) for a in arguments]
        process = Process(name, command, os.path.join(self.folder, name + ".log"))
        with self.lock:
            self.processes.append(process)
        return process

    def domain_address(self, domain):
        """Returns the address of a failure domain: 127.0.k.1 for the k-th in a proxied
        fleet, so that its traffic can be told apart."""
        if not self.proxied:
            return "127.0.0.1"
        if domain not in self.domains:
            self.domains.append(domain)
        return "127.0.%d.1" % (self.domains.index(domain) + 1)

    def log_port_of(self, domain):
        """Returns the port at which a failure domain reaches the log."""
        if not self.proxied or not self.log_port:
            return self.log_port
        if domain not in self.log_proxies:
            self.log_proxies[domain] = Proxy(self, "log-" + domain, "127.0.0.1",
                                             self.log_port)
        return self.log_proxies[domain].port

    def cut(self, first, second, mode="cut"):
        """Cuts two failure domains from each other; see CUT_MODES."""
        at_second, at_first = self.CUT_MODES[mode]
        for node in self.nodes:
            if node.domain == second:
                node.link_proxy.block(self.domain_address(first), at_second)
                node.gossip_proxy.block(self.domain_address(first), at_second)
            elif node.domain == first:
                node.link_proxy.block(self.domain_address(second), at_first)
                node.gossip_proxy.block(self.domain_address(second), at_first)

    def cut_log(self, domain):
        """Cuts a failure domain from the log."""
        self.log_proxies[domain].control(mode="cut")

    def heal(self):
        """Ends every cut."""
        for node in self.nodes:
            node.link_proxy.unblock()
            node.gossip_proxy.unblock()
        for proxy in self.log_proxies.values():
            proxy.control(mode="pass")

    def start_log(self, *options):
        self.log_port = self.log_port or free_port()
        self.log = self.run("log", "fescue_standin_log", "--listen",
                            "127.0.0.1:%d" % self.log_port, *options)
        wait_until(lambda: _answers(self.log_port), 5, "the log answers")

    def control_log(self, **changes):
        assert http_json(self.log_port, "POST", "/control", changes)[0] == 200

    def add_node(self, name, domain, region="north"):
        node = Node(self, name, domain, region)
        self.nodes.append(node)
        return node

    def contacts(self):
        """Returns the gossip addresses of the first two nodes of each failure domain."""
        by_domain = {}
        for node in self.nodes:
            by_domain.setdefault(node.domain, []).append(node.gossip_address())
        return [address for known in by_domain.values() for address in known[:2]]

    def start_nodes(self, overrides=None):
        self.overrides = overrides
        for node in self.nodes:
            node.start(self.contacts(), self.log_port_of(node.domain), overrides)
        for node in self.nodes:
            wait_until(node.status, 5, node.name + " answers")

    def submit(self, content, author="test", base=None, node=None):
        """Submits a sheet through a node and returns the answer."""
        node = node or self.nodes[0]
        if base is None:
            base = http_json(node.operator, "GET", "/v1/sheet")[1]["version"]
        return http_json(node.operator, "POST", "/v1/sheet/submit",
                         {"author": author, "base": base, "content": content}, timeout=20)[1]

    def wait_ready(self, seconds=10, nodes=None):
        for node in nodes or self.nodes:
            wait_until(lambda: (node.status() or {}).get("ready"), seconds,
                       node.name + " is ready")

    def wait_members(self, alive, seconds=10, nodes=None):
        """Waits until each node sees so many live members, itself included."""
        for node in nodes or self.nodes:
            wait_until(lambda: live_members(node) == alive, seconds,
                       "%s sees %d live members" % (node.name, alive))

    def wait_servers(self, seconds=10, nodes=None):
        """Waits until each node knows every started backend server as ready."""
        expected = sum(1 for node in self.nodes if node.server and node.server.alive())
        for node in nodes or self.nodes:
            wait_until(lambda: _ready_servers(node) >= expected, seconds,
                       "%s knows %d ready servers" % (node.name, expected))


def live_members(node):
    members = http_json(node.operator, "GET", "/v1/members")[1]["members"]
    return sum(1 for member in members if member["liveness"] != "dead")


def _ready_servers(node):
    members = http_json(node.operator, "GET", "/v1/members")[1]["members"]
    return sum(1 for member in members
               if member["state"] == "ready" and member["liveness"] != "dead")


def _answers(port):
    try:
        with socket.create_connection(("127.0.0.1", port), 0.2):
            return True
    except OSError:
        return False


SHEET_HEADER = "kind,caller,service,priority,limit_per_s,timeout_ms,at_most_once,path,note\n"


def sheet(*rows, settings=()):
    """Returns a sheet from rows "caller,service,priority[,limit,timeout,once,path]"."""
    lines = ["setting,%s,%s,,,,,," % (name, value) for name, value in settings]
    for row in rows:
        cells = row.split(",")
        cells += [""] * (7 - len(cells))
        lines.append("rule," + ",".join(cells) + ",")
    return SHEET_HEADER + "\n".join(lines) + "\n"
