"""A chain of services in real processes and runs of fescue_load against it.

Used by the end-to-end cases on overload and by the benchmark program.
"""

import json
import os
import time

from fleet import Fleet, sheet

TOP, NORMAL, LOW = "till", "booking", "report"


class Chain:
    """Services s1 -> s2 -> ... -> s<depth> with `width` backend servers each.

    The deepest service has few slots and a long service time; the others have room.
    """

    def __init__(self, build, depth=3, width=2, slots=25, service_ms=50.0, shallow_ms=1.0,
                 weigh="goodput", experiment=None, domains=("a",), record=False,
                 deep_options=(), rules=None, timeout_ms=1000):
        self.fleet = Fleet(build)
        self.depth = depth
        self.width = width
        self.slots = slots
        self.service_ms = service_ms
        self.shallow_ms = shallow_ms
        self.weigh = weigh
        self.experiment = experiment
        self.domains = domains
        self.record = record
        self.deep_options = deep_options
        self.rules = rules
        self.timeout_ms = timeout_ms
        self.read_to = {}

    @property
    def capacity(self):
        """Calls per second that the slots of the deepest service allow."""
        return self.width * self.slots * 1000.0 / self.service_ms

    def nodes_at(self, level):
        return [node for node in self.fleet.nodes if node.level == level]

    @property
    def entries(self):
        return self.nodes_at(1)

    @property
    def deepest(self):
        return self.nodes_at(self.depth)

    def __enter__(self):
        self.fleet.__enter__()
        try:
            self._start()
        except BaseException as problem:
            self.fleet.__exit__(type(problem), problem, None)
            raise
        return self

    def __exit__(self, kind, value, trace):
        self.fleet.__exit__(kind, value, trace)

    def _start(self):
        self.fleet.start_log()
        for level in range(1, self.depth + 1):
            for number in range(self.width):
                domain = self.domains[number % len(self.domains)]
                node = self.fleet.add_node("n%d-%d" % (level, number), domain)
                node.level = level
        self.overrides = {"experiment": self.experiment} if self.experiment else {}
        self.fleet.start_nodes(self.overrides)
        answer = self.fleet.submit(self._sheet())
        assert answer["status"] == "accepted", answer
        self.fleet.wait_ready()
        for node in self.fleet.nodes:
            self.start_server(node)
        self.fleet.wait_servers()

    def _sheet(self):
        if self.rules:
            return self.rules
        rows = []
        for level in range(1, self.depth + 1):
            for caller, priority in ((TOP, 0), (NORMAL, 4), (LOW, 8), ("*", 6)):
                rows.append("%s,s%d,%d" % (caller, level, priority))
        settings = [("domains", len(self.domains)), ("weigh", self.weigh)]
        return sheet(*rows, settings=settings)

    def start_server(self, node):
        deep = node.level == self.depth
        options = ["--service", "s%d" % node.level, "--slots", self.slots if deep else 400,
                   "--connections", 1000,
                   "--service-ms", self.service_ms if deep else self.shallow_ms]
        if not deep:
            options += ["--downstream", "s%d" % (node.level + 1)]
        else:
            options += list(self.deep_options)
        node.start_server(*options, record=deep and self.record)

    def records(self):
        """Returns what the deepest servers recorded since the previous use."""
        result = []
        for node in self.deepest:
            with open(node.record_file) as lines:
                lines.seek(self.read_to.get(node.name, 0))
                text = lines.read()
                whole = text.rfind("\n") + 1
                self.read_to[node.name] = self.read_to.get(node.name, 0) + whole
                result += [json.loads(line) for line in text[:whole].splitlines()]
        return result

    def executions(self):
        return sum(node.server_stats()["executions"] for node in self.deepest)

    def call_class(self, name, rate, service="s1", **changes):
        result = {"name": name, "caller": name, "service": service, "path": "/item/{n}",
                  "rate": rate, "timeout_ms": self.timeout_ms}
        result.update(changes)
        return result

    def classes(self, top=0.3, **changes):
        """Returns classes of three priorities with rates at the capacity in total."""
        rest = (1 - top) / 2
        return [self.call_class(TOP, self.capacity * top, **changes),
                self.call_class(NORMAL, self.capacity * rest, **changes),
                self.call_class(LOW, self.capacity * rest, **changes)]

    def start_load(self, classes, phases, seed=1, nodes=None, mode="open", connections=1,
                   targets=None):
        """Starts fescue_load; finish_load waits for it and returns its report."""
        if targets is None:
            targets = ["127.0.0.1:%d" % node.caller for node in nodes or self.entries]
        name = os.path.join(self.fleet.folder, "load-%d-%d" % (seed, time.monotonic_ns()))
        with open(name + ".json", "w") as out:
            json.dump({"targets": targets, "classes": classes, "phases": phases}, out)
        process = self.fleet.run(os.path.basename(name), "fescue_load", "--plan",
                                 name + ".json", "--out", name + ".out", "--seed", seed,
                                 "--mode", mode, "--connections", connections)
        process.out = name + ".out"
        return process

    def finish_load(self, process, seconds=200):
        assert process.child.wait(seconds) == 0, process.log_lines()
        with open(process.out) as report:
            return json.load(report)

    def load(self, classes, phases, **options):
        return self.finish_load(self.start_load(classes, phases, **options))


def factors(total, top=0.3):
    """Returns class factors for a load of `total` times the capacity.

    The rate of the top priority stays at `top` of the capacity.
    """
    rest = (total - top) / (1 - top)
    return {TOP: 1.0, NORMAL: rest, LOW: rest}


def light(share):
    return {TOP: share, NORMAL: share, LOW: share}


def phase(name, seconds, factor, surge=False):
    return {"name": name, "duration_ms": int(seconds * 1000), "factor": factor,
            "surge": surge}


def counts(report, phase_name, class_name=None):
    """Returns the summed counts of a phase, of all classes or one."""
    total = {"sent": 0, "ok": 0, "goodput_per_s": 0.0, "attempts": 0, "late": 0,
             "refused_requests": 0, "lost": 0, "refused": {}, "wire_failures": {}}
    for entry in report["classes"]:
        if class_name and entry["name"] != class_name:
            continue
        for part in entry["phases"]:
            if phase_name and part["name"] != phase_name:
                continue
            for key, value in total.items():
                if isinstance(value, dict):
                    for reason, number in part[key].items():
                        value[reason] = value.get(reason, 0) + number
                else:
                    total[key] += part[key]
    return total


_previous = {}


def cpu_busy():
    """Returns the busy share of all processors since the previous call."""
    with open("/proc/stat") as stat:
        numbers = [int(text) for text in stat.readline().split()[1:9]]
    idle, total = numbers[3] + numbers[4], sum(numbers)
    before = _previous.get("at")
    _previous["at"] = (idle, total)
    if before is None or total == before[1]:
        return 0.0
    return 1 - (idle - before[0]) / (total - before[1])
