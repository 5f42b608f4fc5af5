"""The groups of figures, each from a few runs of the measurements in testsuite/."""

import os
import statistics

import measures
from chain import Chain, TOP, cpu_busy, phase

FACTORS = (1.5, 3, 10)
BASELINES = ({"control": "no_control"}, {"control": "fixed_limit"})
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    """Returns the processor time that a process has used."""
    with open("/proc/%d/stat" % process.child.pid) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


# The rate of the target; the others show how the added time depends on the rate.
ADDED_TIME_RATE = 150
ADDED_TIME_RATES = (ADDED_TIME_RATE, 1000, 5000)


def added_time(build, quick, results):
    """Time of a call through two nodes minus that of the call made directly."""
    runs, seconds = (3, 4) if quick else (7, 8)
    with Chain(build, depth=1, width=1, slots=50, service_ms=2.0) as chain:
        entry = chain.fleet.add_node("entry", "a")
        entry.level = 0
        entry.start(chain.fleet.contacts(), chain.fleet.log_port)
        chain.fleet.wait_ready(nodes=[entry])
        chain.fleet.wait_servers(nodes=[entry])
        for rate in ADDED_TIME_RATES:
            cpu_busy()
            added, plain = added_times(chain, entry, rate, runs, seconds)
            busy = cpu_busy()
            target = "<= 0.4" if rate == ADDED_TIME_RATE else "report"
            suffix = "" if rate == ADDED_TIME_RATE else " at %d calls/s" % rate
            for name, percentile in (("99th percentile", "p99"), ("median", "p50")):
                results.add("added time, %s%s" % (name, suffix), "ms", added[percentile],
                            target, busy=busy,
                            direct_ms=round(statistics.median(plain[percentile]), 4))


def added_times(chain, entry, rate, runs, seconds):
    """Returns the differences and the direct times of each run by percentile."""
    added, direct = {"p50": [], "p99": []}, {"p50": [], "p99": []}
    server = ["127.0.0.1:%d" % chain.deepest[0].server_port]
    for run in range(runs):
        # At the same time, so that other use of the machine meets both alike.
        loads = [chain.start_load([chain.call_class(TOP, rate, service=service)],
                                  [phase("warm", 1, {}), phase("even", seconds, {})],
                                  seed=run + 1, nodes=[entry], targets=targets)
                 for service, targets in (("", server), ("s1", None))]
        plain, through = [
            chain.finish_load(load)["classes"][0]["phases"][1]["latency_ms"]
            for load in loads]
        for name in added:
            added[name].append(through[name] - plain[name])
            direct[name].append(plain[name])
    return added, direct


def one_core(build, quick, results):
    """Calls that a node carries for each second of processor time."""
    runs, seconds = (2, 3) if quick else (5, 5)
    values = []
    with Chain(build, depth=1, width=1, slots=400, service_ms=0.0) as chain:
        node = chain.entries[0]
        cpu_busy()
        for run in range(runs):
            before = cpu_seconds(node.process)
            report = chain.load([chain.call_class(TOP, 1)], [phase("closed", seconds, {})],
                                seed=run + 1, mode="closed", connections=32)
            used = cpu_seconds(node.process) - before
            values.append(report["classes"][0]["phases"][0]["ok"] / used)
        busy = cpu_busy()
    results.add("calls one node carries on one core", "1/s", values, busy=busy)


def overload_runs(build, quick, weigh="goodput", experiment=None):
    """Returns {factor: [result of a run, ...]}."""
    seconds, seeds = (4, (1,)) if quick else (8, (1, 2))
    found = {total: [] for total in FACTORS}
    with Chain(build, weigh=weigh, experiment=experiment,
               **measures.OVERLOAD_CHAIN) as chain:
        for total in FACTORS:
            for seed in seeds:
                found[total].append(measures.overload(chain, total, seconds, seed))
    return found


def overload(build, quick, results):
    """Goodput, top-priority share and wasted work at 1.5, 3 and 10 times the capacity."""
    baselines = {}
    for experiment in BASELINES:
        baselines[experiment["control"]] = overload_runs(build, quick,
                                                         experiment=experiment)
    for weigh in ("goodput", "recovery"):
        found = overload_runs(build, quick, weigh)
        for total in FACTORS:
            runs = found[total]
            busy = max(run["busy"] for run in runs)
            place = "at %g times, weigh %s" % (total, weigh)
            for key, name, target in (
                    ("goodput", "goodput", ">= 0.95"),
                    ("top_share", "top-priority calls in time", ">= 0.999"),
                    ("wasted", "work for roots that failed", "<= 0.02")):
                bases = {control: statistics.median(run[key] for run in of[total])
                         for control, of in baselines.items()}
                results.add("%s %s" % (name, place), "share", [run[key] for run in runs],
                            target, bases["no_control"], "no_control", busy=busy,
                            fixed_limit=round(bases["fixed_limit"], 4))


def recovery(build, quick, results):
    """Recovery time after a surge with callers that retry hard."""
    seconds, seeds = (10, (1,)) if quick else (60, (1, 2))

    def runs(weigh="goodput", experiment=None, wanted=seeds):
        with Chain(build, weigh=weigh, experiment=experiment,
                   **measures.OVERLOAD_CHAIN) as chain:
            return [measures.recovery(chain, seconds, seed) for seed in wanted]

    base = {e["control"]: runs(experiment=e, wanted=seeds[:1])[0]["recovery_ms"]
            for e in BASELINES}
    for weigh in ("goodput", "recovery"):
        found = runs(weigh)
        results.add("recovery after a surge of %d s, weigh %s" % (seconds, weigh), "ms",
                    [run["recovery_ms"] for run in found], "<= 1000", base["no_control"],
                    "no_control", busy=max(run["busy"] for run in found),
                    fixed_limit=base["fixed_limit"],
                    surge_goodput=[round(run["goodput"], 3) for run in found])


def retries(build, quick, results):
    """Executions at the deepest service for each root."""
    seeds = (1,) if quick else (1, 2, 3)
    fixed = {"control": "fixed_limit"}
    for depth in (3, 13):
        found = [measures.every_hop_fails(build, depth, resend, seed=seed)
                 for seed in seeds for resend in (False, True)]
        # Three tries a hop make 3^13 executions at depth 13; measured at depth 3 only.
        base = (measures.every_hop_fails(build, depth, experiment=fixed)["most"]
                if depth == 3 else None)
        results.add("executions of a root, every hop failing, depth %d" % depth, "count",
                    [run["most"] for run in found], "<= 4", base, "fixed_limit",
                    worst=True)
    found = [measures.surge_executions(build, 5 if quick else 20, seed=seed)
             for seed in seeds]
    base = measures.surge_executions(build, 5, experiment=fixed)["mean"]
    results.add("mean executions of a root under a surge", "count",
                [run["mean"] for run in found], "<= 1.1", base, "fixed_limit")


def straggler(build, quick, results):
    """99th percentile at the root with one slow server, relative to none."""
    seconds, seeds = (5, (1,)) if quick else (12, (1, 2, 3))
    found = [measures.straggler(build, seconds, seed=seed) for seed in seeds]
    base = measures.straggler(build, seconds, experiment={"control": "fixed_limit"})
    results.add("99th percentile with a straggler", "ratio",
                [run["ratio"] for run in found], "<= 1.5", base["ratio"], "fixed_limit",
                busy=max(run["busy"] for run in found))


def poison(build, quick, results):
    """Crashes in a failure domain and goodput of the other calls."""
    seconds, seeds = (8, (1,)) if quick else (20, (1, 2, 3))
    found = [measures.poison(build, seconds, seed=seed) for seed in seeds]
    base = measures.poison(build, seconds, experiment={"control": "no_control"})
    busy = max(run["busy"] for run in found)
    results.add("crashes by a request sent again", "count",
                [run["crashes"] for run in found], "<= 2", base["crashes"], "no_control",
                busy=busy, worst=True)
    results.add("goodput of others beside a crashing request", "share",
                [run["goodput"] for run in found], ">= 0.95", base["goodput"],
                "no_control", busy=busy)


GROUPS = (("added_time", added_time), ("one_core", one_core), ("overload", overload),
          ("recovery", recovery), ("retries", retries), ("straggler", straggler),
          ("poison", poison))
