"""What the demo and the deployments share: a fleet on loopback that is started from
settings files or from code, driven by the tool, and ended process by process.
"""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "testsuite"))
from fleet import Fleet, Node, http_call, http_json, wait_until  # noqa: E402, F401
import make_deployment  # noqa: E402

STOP_SECONDS = 10


class Interrupts:
    """Raises KeyboardInterrupt on SIGINT and SIGTERM, but not while a process is being
    started: it would be left behind without its id being known."""

    def __init__(self):
        self.held = False
        self.pending = False

    def install(self):
        signal.signal(signal.SIGTERM, self.on_signal)
        signal.signal(signal.SIGINT, self.on_signal)

    def on_signal(self, number, frame):
        if self.held:
            self.pending = True
        else:
            raise KeyboardInterrupt

    def __enter__(self):
        self.held = True

    def __exit__(self, kind, value, trace):
        self.held = False
        if self.pending:
            self.pending = False
            raise KeyboardInterrupt


_interrupts = Interrupts()


def stop_on_signals():
    """Lets SIGTERM end the fleet as Ctrl-C does, and Ctrl-C in a background job too."""
    _interrupts.install()


class LocalFleet(Fleet):
    """A Fleet that ends gracefully and has the tool at hand."""

    def __exit__(self, kind, value, trace):
        # A second Ctrl-C must not leave processes behind.
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        if kind is not None and kind is not KeyboardInterrupt:
            print("logs in %s" % self.folder, file=sys.stderr)
            for process in self.processes:
                if not process.alive():
                    print("--- end of %s" % process.name, file=sys.stderr)
                    print("\n".join(process.log_lines()[-8:]), file=sys.stderr)
        self.stop_all()
        if kind in (None, KeyboardInterrupt):
            shutil.rmtree(self.folder, ignore_errors=True)
        signal.signal(signal.SIGINT, signal.default_int_handler)
        signal.signal(signal.SIGTERM, signal.SIG_DFL)

    def run(self, name, program, *arguments):
        with _interrupts:
            return super().run(name, program, *arguments)

    def stop_all(self):
        """Ends every started process by its id: first the nodes, which finish their calls,
        then the rest."""
        nodes = [node.process for node in self.nodes if node.process]
        others = [process for process in self.processes if process not in nodes]
        for group in (nodes, others):
            for process in group:
                if process.alive():
                    process.send(signal.SIGTERM)
            end = time.monotonic() + STOP_SECONDS
            for process in group:
                try:
                    process.child.wait(max(0.1, end - time.monotonic()))
                except subprocess.TimeoutExpired:
                    print("%s did not stop and is killed" % process.name, file=sys.stderr)
                    process.kill()

    def operators(self, nodes=None):
        """Returns the operator ports for the tool's option --node."""
        return ",".join("127.0.0.1:%d" % node.operator for node in nodes or self.nodes)

    def tool(self, *arguments, nodes=None, timeout=60):
        """Runs the tool against the given nodes and returns the ended process."""
        command = [os.path.join(self.bin, "fescueridge"), "--node", self.operators(nodes)]
        return subprocess.run(command + [str(a) for a in arguments], capture_output=True,
                              text=True, timeout=timeout, check=False)

    def start_load(self, name, plan, seed=1):
        """Starts the load generator; load_report() waits for its report."""
        plan_file = os.path.join(self.folder, name + ".plan.json")
        with open(plan_file, "w", encoding="utf-8") as out:
            json.dump(plan, out, indent=2)
        return self.run(name, "fescue_load", "--plan", plan_file, "--seed", seed, "--out",
                        os.path.join(self.folder, name + ".report.json"))

    def load_report(self, process, seconds):
        code = process.child.wait(seconds)
        assert code == 0, "%s ended with %d" % (process.name, code)
        with open(os.path.join(self.folder, process.name + ".report.json"),
                  encoding="utf-8") as report:
            return json.load(report)


class DeployedNode(Node):
    """A node whose settings file was written by make_deployment."""

    def __init__(self, fleet, entry, folder):
        port_of = {name: int(address.rsplit(":", 1)[1])
                   for name, address in entry["listen"].items()}
        super().__init__(fleet, entry["node"], entry["failure_domain"], entry["region"])
        self.service = entry["service"]
        self.slots = entry["slots"]
        self.connections = entry["connections"]
        self.caller = port_of["caller"]
        self.server_side = port_of["server"]
        self.link = port_of["link"]
        self.operator = port_of["operator"]
        self.gossip = port_of["gossip"]
        self.server_port = int(entry["server_address"].rsplit(":", 1)[1])
        self.settings = os.path.join(folder, entry["settings"])

    def start(self, contacts=None, log_port=None, overrides=None):
        self.process = self.fleet.run(self.name, "fescueridged", self.settings)


def are_free(ports):
    """Returns whether all these ports can be bound on loopback now."""
    for port in ports:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    return False
    return True


def choose_first_port(name, first, last=32000, step=400):
    """Returns the first port from `first` on from which a deployment fits."""
    count = 1 + sum(size[0] for size in make_deployment.DEPLOYMENTS[name]["services"].values())
    for port in range(first, last, step):
        if are_free(range(port, port + count * make_deployment.PORTS_PER_NODE)):
            return port
    raise AssertionError("no free ports from %d to %d" % (first, last))


class Deployment:
    """One deployment of docs/design.md, section 1.1, on loopback: the stand-in log, every
    node and every stand-in server, with the stated slots and connections. The delays
    between failure domains are not reproduced."""

    def __init__(self, fleet, name, first_port=20000):
        self.fleet = fleet
        self.name = name
        self.sheet = ROOT / "examples" / name / "sheet.csv"
        self.services = list(make_deployment.DEPLOYMENTS[name]["services"])
        self.folder = os.path.join(fleet.folder, name)
        first_port = choose_first_port(name, first_port)
        subprocess.run([sys.executable, str(ROOT / "scripts" / "make_deployment.py"), name,
                        self.folder, "--first-port", str(first_port)], check=True,
                       stdout=subprocess.DEVNULL)
        with open(os.path.join(self.folder, "processes.json"), encoding="utf-8") as file:
            self.processes = json.load(file)

    def start(self, service_ms=2):
        """Starts everything and waits until each node knows each server. Each service
        calls the next one of the list, so a call to the first is as deep as the list."""
        self.fleet.log_port = int(self.processes["log_service"].rsplit(":", 1)[1])
        self.fleet.start_log()
        for entry in self.processes["nodes"]:
            self.fleet.nodes.append(DeployedNode(self.fleet, entry, self.folder))
        for node in self.fleet.nodes:
            node.start()
        for node in self.fleet.nodes:
            wait_until(node.status, 15, node.name + " answers")
        for node in self.fleet.nodes:
            below = self.services[self.services.index(node.service) + 1:][:1]
            node.start_server("--service", node.service, "--slots", node.slots,
                              "--connections", node.connections, "--service-ms",
                              service_ms, *(["--downstream", below[0]] if below else []))

    def submit(self):
        """Submits the example sheet and waits until it is in force everywhere."""
        done = self.fleet.tool("--timeout-ms", 30000, "submit", self.sheet, "--author",
                               "run_deployment", "--wait")
        assert done.returncode == 0, (done.returncode, done.stdout, done.stderr)
        self.fleet.wait_ready(20)
        self.fleet.wait_members(len(self.fleet.nodes), 20)
        self.fleet.wait_servers(20)
        return done.stdout


def reason_text(counts):
    """Returns refusals as text, most frequent first."""
    refused = sorted(counts["refused"].items(), key=lambda item: -item[1])
    return ", ".join("%s %d" % item for item in refused) or "-"


def print_load(report):
    """Prints who was served and who was refused, and why, for each class and phase."""
    print("%-34s %-8s %7s %7s %6s %6s %8s  %s" % (
        "callers", "phase", "sent", "served", "late", "wrong", "p99 ms", "refusals"))
    for entry in report["classes"]:
        for counts in entry["phases"]:
            print("%-34s %-8s %7d %7d %6d %6d %8.1f  %s" % (
                entry["name"], counts["name"], counts["sent"], counts["ok"],
                counts["late"], counts["wrong_answers"], counts["latency_ms"]["p99"],
                reason_text(counts)))
