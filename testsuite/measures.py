"""Single measurements of the overload control in real processes.

Each function starts its own fleet (or uses the given chain), runs fescue_load and returns
a dict of figures. The end-to-end cases assert bounds on them, the benchmark prints them.
"""

import collections
import threading
import time

from chain import (Chain, TOP, counts, cpu_busy, factors, light, phase)
from fleet import http_call

# 2 servers x 25 slots of 100 ms: 500 calls a second, so that ten times as many refusals
# do not use up the processors of the machine.
OVERLOAD_CHAIN = {"depth": 3, "width": 2, "slots": 25, "service_ms": 100.0,
                  "record": True}

# The slots are filled by the arrivals of a fraction of a service time ago; the first
# second of an overload holds the reaction to it and counts like the rest.
WARM_SECONDS = 2


def overload(chain, total, seconds, seed=1):
    """Goodput, top-priority share and wasted work at `total` times the capacity."""
    chain.records()
    cpu_busy()
    report = chain.load(chain.classes(),
                        [phase("warm", WARM_SECONDS, light(0.5)),
                         phase("overload", seconds, factors(total))], seed=seed)
    busy = cpu_busy()
    part, top = counts(report, "overload"), counts(report, "overload", TOP)
    executions = executions_of_roots(chain.records())
    # Each answered root ran there at least once; the other roots failed.
    failed = max(0, len(executions) - counts(report, None)["ok"])
    return {"goodput": part["goodput_per_s"] / chain.capacity,
            "top_share": top["ok"] / top["sent"], "top_failed": top["sent"] - top["ok"],
            "top_refused": top["refused"],
            "wasted": failed / max(1, len(executions)),
            "executions_per_root": sum(executions.values()) / max(1, len(executions)),
            "late": part["late"], "refused": part["refused"], "busy": busy,
            "lag_ms": report["max_send_lag_ms"], "seed": seed}


def recovery(chain, surge_seconds, seed=1, total=3, retry_id="fresh", after_seconds=8):
    """Recovery after a surge whose callers send again every 200 ms for 1 s."""
    classes = chain.classes(retry="hard", retry_id=retry_id, retry_every_ms=200,
                            give_up_ms=1000)
    cpu_busy()
    report = chain.load(classes, [phase("before", 5, light(0.7)),
                                  phase("surge", surge_seconds, factors(total), True),
                                  phase("after", after_seconds, light(0.7))], seed=seed)
    never = after_seconds * 1000

    def time_of(name):
        return never if report[name] is None else report[name]

    return {"recovery_ms": time_of("recovery_ms"),
            "recovery_goodput_ms": time_of("recovery_goodput_ms"),
            "goodput": counts(report, "surge")["goodput_per_s"] / chain.capacity,
            "after_share": counts(report, "after")["ok"] / counts(report, "after")["sent"],
            "busy": cpu_busy(), "lag_ms": report["max_send_lag_ms"], "seed": seed,
            "series": report["series"]}


def executions_of_roots(records):
    """Returns the number of executions of each root from the servers' records."""
    return collections.Counter(line["root"] for line in records
                               if line["status"] == "started")


def every_hop_fails(build, depth, resend=False, experiment=None, seconds=3, seed=1):
    """Executions at the deepest service for each root when every server fails."""
    width = 2 if depth <= 3 else 1
    with Chain(build, depth=depth, width=width, slots=50, service_ms=1.0, record=True,
               experiment=experiment, timeout_ms=3000) as chain:
        for node in chain.fleet.nodes:
            node.control_server(fail_percent=100)
        changes = {"retry": "hard", "retry_id": "same", "retry_every_ms": 200,
                   "give_up_ms": 2000} if resend else {}
        # One entry node: the ledger of the roots is local to a node.
        report = chain.load([chain.call_class(TOP, 20, **changes)],
                            [phase("failing", seconds, {})], seed=seed,
                            nodes=chain.entries[:1])
        executions = executions_of_roots(chain.records())
        part = counts(report, "failing")
        assert part["ok"] == 0 and part["sent"] > 10, part
        return {"most": max(executions.values()), "roots": len(executions),
                "mean": sum(executions.values()) / len(executions), "sent": part["sent"],
                "refused": part["refused"], "seed": seed}


def surge_executions(build, seconds, experiment=None, seed=1):
    """Mean executions of a root at the deepest service under a surge with resends."""
    with Chain(build, experiment=experiment, **OVERLOAD_CHAIN) as chain:
        classes = chain.classes(retry="hard", retry_id="same", retry_every_ms=200,
                                give_up_ms=1000)
        chain.load(classes, [phase("surge", seconds, factors(3), True)], seed=seed,
                   nodes=chain.entries[:1])
        executions = executions_of_roots(chain.records())
        return {"mean": sum(executions.values()) / max(1, len(executions)),
                "most": max(executions.values(), default=0), "seed": seed}


def straggler(build, seconds, experiment=None, seed=1, slowdown=20):
    """99th percentile at the root with one of four deepest servers slow, and without."""
    with Chain(build, width=4, slots=10, service_ms=20.0, experiment=experiment) as chain:
        rate = chain.capacity * 0.2
        classes = [chain.call_class(TOP, rate)]
        cpu_busy()
        first = chain.load(classes, [phase("warm", 2, {}), phase("even", seconds, {})],
                           seed=seed)
        chain.deepest[0].control_server(service_ms=20.0 * slowdown)
        second = chain.load(classes, [phase("settle", 2, {}), phase("slow", seconds, {})],
                            seed=seed)

        def percentile(report, index):
            return report["classes"][0]["phases"][index]["latency_ms"]["p99"]

        def latencies(report):
            """Quantiles of both phases, to tell a stall of the machine from slow calls."""
            return [part["latency_ms"] for part in report["classes"][0]["phases"]]

        even, slow = percentile(first, 1), percentile(second, 1)
        return {"even_p99": even, "slow_p99": slow, "ratio": slow / even,
                "settle_p99": percentile(second, 0), "busy": cpu_busy(),
                "ok_share": counts(second, "slow")["ok"] / counts(second, "slow")["sent"],
                "slow_executions": chain.deepest[0].server_stats()["executions"],
                "lag_ms": [first["max_send_lag_ms"], second["max_send_lag_ms"]],
                "latencies": latencies(first) + latencies(second), "seed": seed}


class Supervisor:
    """Restarts the deepest servers when they die and counts their crashes by domain."""

    def __init__(self, chain, delay=0.5):
        self.chain = chain
        self.delay = delay
        self.crashes = collections.Counter()
        self.by_node = collections.Counter()
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, kind, value, trace):
        self.stopped.set()
        self.thread.join()

    def _run(self):
        restart = {}
        while not self.stopped.wait(0.02):
            now = time.monotonic()
            for node in self.chain.deepest:
                if not node.server.alive() and node.name not in restart:
                    self.crashes[node.domain] += 1
                    self.by_node[node.name] += 1
                    restart[node.name] = now + self.delay
                if node.name in restart and now >= restart[node.name]:
                    del restart[node.name]
                    self.chain.start_server(node)


def send_poison(entries, seconds, results, every=0.2):
    """Sends the crashing request again and again under a new id."""
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        started = time.monotonic()
        entry = entries[number % len(entries)]
        number += 1
        try:
            _, headers, _ = http_call(entry.caller, "POST", "/call/s1/publish", "poison",
                                      {"Fescue-Caller": "booking",
                                       "Fescue-Timeout-Ms": "1000"}, timeout=3)
            results[headers.get("fescue-reason", "ok")] += 1
        except OSError:
            results["connection"] += 1
        time.sleep(max(0.0, every - (time.monotonic() - started)))


POISON_OPTIONS = ("--poison", "poison")


def poison(build, seconds, experiment=None, seed=1, domains=("a",), width=4, depth=2):
    """Crashes by failure domain and goodput of the other calls."""
    with Chain(build, depth=depth, width=width, slots=10, service_ms=20.0,
               experiment=experiment, domains=domains,
               deep_options=POISON_OPTIONS) as chain:
        answers = collections.Counter()
        cpu_busy()
        process = chain.start_load(chain.classes(),
                                   [phase("load", seconds, light(0.15))], seed=seed)
        with Supervisor(chain) as supervisor:
            send_poison(chain.entries, seconds, answers)
            report = chain.finish_load(process)
            part = counts(report, "load")
            return {"crashes": max(supervisor.crashes.values(), default=0),
                    "by_domain": dict(supervisor.crashes),
                    "goodput": part["ok"] / part["sent"], "answers": dict(answers),
                    "refused": part["refused"], "wire": part["wire_failures"],
                    "busy": cpu_busy(), "seed": seed}
