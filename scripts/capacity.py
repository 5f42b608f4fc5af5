#!/usr/bin/env python3
"""Measures the slopes of docs/CAPACITY.md and writes its tables and its plot.

usage: capacity.py BUILD [--quick] [--tables-only | --fleet-only]

--tables-only writes the page from the points of the last run; --fleet-only measures the
real nodes again and keeps the points that the library program measured.
"""

import json
import os
import subprocess
import sys
import time

import capacity_fleet
from capacity_model import MB, derived, flatten, lines_of, over_budget, rows_of

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
PAGE = os.path.join(ROOT, "docs", "CAPACITY.md")
PLOT = os.path.join(ROOT, "docs", "capacity.svg")
SIZE = os.path.join(ROOT, "scripts", "design_size.json")


def read_size():
    with open(SIZE) as source:
        parts = json.load(source)
    return {**parts["from_design_page"], **parts["assumed"]}, parts["assumed"]


def measure_library(build, quick):
    command = [os.path.join(build, "bin", "fescue_capacity")] + (["--quick"] if quick else [])
    return json.loads(subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout)


def measure(build, quick, kept):
    started = time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime())
    load_before = os.getloadavg()
    slopes = kept or measure_library(build, quick)
    slopes["fleet"] = capacity_fleet.measure(build, quick)
    slopes["run"] = {
        "started": started, "quick": quick, "cores": os.cpu_count(),
        "load_before": load_before[0], "load_after": os.getloadavg()[0],
    }
    return slopes


def number(value):
    if value == 0:
        return "-"
    if value >= 1000:
        return "{:,.0f}".format(value)
    if value >= 100:
        return "%.0f" % value
    return "%.3g" % value


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)


def values(row, size):
    return [number(100 * row.core), number(row.memory / MB), number(row.sent),
            number(row.appends)]


def reach_text(reach):
    return "at the size" if reach <= 1.001 else "%.1f times" % reach


def roles_table(rows, size):
    body = []
    for row in rows:
        verdict = over_budget(row, size)
        body.append([row.role, row.grows] + values(row, size) +
                    [row.where, reach_text(row.reach), row.mechanism,
                     "**over: %s**" % ", ".join(verdict) if verdict else "within"])
    body.append(["sum of a node", ""] + [
        number(100 * sum(r.core for r in rows)), number(sum(r.memory for r in rows) / MB),
        number(sum(r.sent for r in rows)), number(sum(r.appends for r in rows)),
        "", "", "", ""])
    body.append(["budget", "", number(100 * size["budget_core"]),
                 number(size["budget_memory_mb"]), number(size["budget_bytes_per_s"]),
                 number(size["budget_appends_per_s"]), "", "", "", ""])
    return table(["role", "grows with", "% of a core", "MB", "bytes/s sent",
                  "appends/s of the log", "measured with", "line drawn beyond the last point",
                  "mechanism", "budget"], body)


def over_table(rows, size):
    body = []
    for row in rows:
        for name in over_budget(row, size):
            value, budget = {
                "processor": (100 * row.core, 100 * size["budget_core"]),
                "memory": (row.memory / MB, size["budget_memory_mb"]),
                "bytes": (row.sent, size["budget_bytes_per_s"]),
                "appends": (row.appends, size["budget_appends_per_s"]),
            }[name]
            unit = {"processor": "% of a core", "memory": "MB", "bytes": "bytes/s",
                    "appends": "appends/s"}[name]
            body.append((value / budget, [row.role, "%s %s" % (number(value), unit),
                                          number(budget), "%.1f times" % (value / budget),
                                          row.change]))
    body.sort(key=lambda item: -item[0])
    return table(["role", "at the design size", "budget", "over by",
                  "change that brings it under"], [cells for _, cells in body])


def fleet_table(slopes):
    body = []
    for point in slopes["fleet"]:
        idle, loaded = point["idle"], point["loaded"]
        body.append([
            point["nodes"], number(100 * idle["core"]), number(idle["resident_bytes"] / MB),
            idle["threads"], number(idle["gossip_sent_per_s"]), number(idle["links"]),
            number(idle["log_reads_per_s"]), number(100 * idle["log_core"]),
            number(100 * loaded["core"]), number(loaded["gossip_sent_per_s"]),
            number(loaded["links"]),
            "%.0f (%d of %d served)" % (loaded["calls_per_s"], loaded["served"],
                                        loaded["calls"])])
    return table(["nodes", "idle: % of a core", "MB", "threads", "gossip bytes/s sent",
                  "links", "reads/s of the log", "log: % of a core", "loaded: % of a core",
                  "gossip bytes/s sent", "links", "calls/s of the fleet"], body)


def lines_table(lines, size, d):
    places = {
        "idle_core": size["nodes"], "idle_memory": size["nodes"], "idle_gossip": size["nodes"],
        "log_reads": size["nodes"], "log_core": size["nodes"],
        "gossip_core": size["nodes"], "gossip_bytes": size["nodes"],
        "gossip_sheet_bytes": size["nodes"], "gossip_heap": size["nodes"],
        "gossip_changes": size["nodes"], "join_core": size["nodes"], "stale": size["nodes"],
        "peers_update": size["nodes"], "sheet_news": size["nodes"],
        "peers_tick": size["nodes"], "parse": size["sheet_rules"],
        "apply": size["sheet_rules"],
    }
    texts = {
        "idle_core": "core of an idle real node", "idle_memory": "resident bytes of a real node",
        "idle_gossip": "gossip bytes/s sent by a real node",
        "log_reads": "reads/s at the log", "log_core": "core of the log stand-in",
        "gossip_core": "core of gossip, in memory", "gossip_bytes": "gossip bytes/s, quiet",
        "gossip_sheet_bytes": "gossip bytes/s, a sheet change every 6.6 s",
        "gossip_heap": "heap of the gossip core",
        "gossip_changes": "changes/s that a node hears of, from sheet versions",
        "join_core": "core seconds of a join, a member", "stale": "share of stale views",
        "peers_update": "seconds to rebuild the tables",
        "sheet_news": "seconds to apply one sheet version of a member",
        "peers_tick": "seconds of one sheet tick", "parse": "seconds to parse the sheet",
        "apply": "seconds to apply a difference",
    }
    body = []
    for name, place in places.items():
        line = lines[name]
        value = line.at(place)
        if name == "stale":
            value = min(1.0, value)
        body.append([texts[name],
                     "%.3g + %.3g x %s" % (line.start, line.slope,
                                           "log2(n)" if line.logarithmic else "n"),
                     "%.0f to %.0f" % (line.points[0][0], line.last),
                     "%.3g" % value, reach_text(line.reach(place))])
    return table(["figure", "line", "points", "at the design size", "drawn beyond by"], body)


def faults_table(slopes):
    body = []
    for point in slopes["faults"]["deaths"]:
        seen = point["seen"]
        body.append(["%d of %d stop" % (point["stopped"], point["members"]),
                     _time(seen), number(seen["mean_bytes_per_s"]),
                     number(seen["peak_bytes_per_s"])])
    for point in slopes["faults"]["cuts"]:
        seen, whole = point["seen"], point["whole"]
        body.append(["%d cut into halves" % point["members"], _time(seen),
                     number(seen["mean_bytes_per_s"]), number(seen["peak_bytes_per_s"])])
        body.append(["the halves of %d meet again (%s bytes/s while cut)" %
                     (point["members"], number(point["bytes_per_s_during_cut"])),
                     _time(whole), number(whole["mean_bytes_per_s"]),
                     number(whole["peak_bytes_per_s"])])
    return table(["event", "known to all observers after s", "bytes/s of a member until then",
                  "highest second"], body)


def _time(reaction):
    return "%.1f" % (reaction["ms"] / 1000) if reaction["done"] else \
        "not within %.0f" % (reaction["ms"] / 1000)


def days_table(slopes, size, lines, d):
    """What the days of the design size add, from the lines."""
    nodes = size["nodes"]
    servers = nodes / size["services"]
    update = lines["peers_update"].at(nodes)
    reads = lines["log_reads"].slope * nodes
    events = {
        "13 VMs fail in a day": size["vms_fail_per_day"],
        "1,900 are replaced in a day": size["vms_replaced_per_day"],
        "a rack or switch goes": size["nodes_of_a_rack"],
        "a failure domain goes": d["per_domain"],
        "the regions part for an hour": nodes / size["regions"],
    }
    body = []
    for name, lost in events.items():
        rebuilds = 3 * lost  # suspected, dead, and alive again or joined
        body.append([name, number(lost), number(lost / servers), number(rebuilds),
                     number(rebuilds * update),
                     "%.0f%%" % (100 * min(1, rebuilds / size["event_ring"])),
                     number(lost * size["slots_of_a_server"]),
                     number(reads * lost / nodes)])
    return table(["event", "nodes", "as many services' worth of servers",
                  "changes a node hears of", "core seconds of table rebuilds in each node, at "
                  "one rebuild a change", "of the event ring", "calls in flight lost (16 a "
                  "server)", "reads/s at the log that go and come back"], body)


def distribution_table(slopes, size, d):
    change = slopes["sheet"][-1]["difference_bytes"]
    own = (1 + size["services_called_by_a_service"]) / size["services"]
    rows = [
        ["whole sheet to each node (before)", number(size["sheet_bytes"] * d["changes"]),
         number(size["sheet_bytes"] * d["changes"] * 4 / 3 * 3 * size["failure_domains"]),
         number(size["sheet_bytes"] * size["sheet_changes_per_day"] / 1e9) + " GB"],
        ["differences to each node (now)", number(change * d["changes"]),
         number(change * d["changes"] * 4 / 3 * 3 * size["failure_domains"]),
         number(change * size["sheet_changes_per_day"] / 1e9) + " GB"],
        ["differences, rows of own and called services only",
         number(change * d["changes"] * own + 40 * d["changes"]),
         number(change * d["changes"] * 4 / 3 * 3 * size["failure_domains"]),
         number(change * size["sheet_changes_per_day"] / 1e9) + " GB"],
    ]
    return table(["distribution", "bytes/s received by a node",
                  "bytes/s sent by the log to 15 readers", "appended in a day"], rows)


def run_text(slopes):
    run = slopes["run"]
    quiet = max(run["load_before"], run["load_after"]) < run["cores"] / 4
    return ("Run of %s%s on %d cores; load average %.1f before and %.1f after: the times are "
            "%s." % (run["started"], " (QUICK)" if run["quick"] else "", run["cores"],
                     run["load_before"], run["load_after"],
                     "of a quiet machine" if quiet else "trials on a shared, busy machine"))


def assumed_table(assumed):
    return table(["assumed figure", "value"],
                 [[key.replace("_", " "), "{:,}".format(value)] for key, value in
                  assumed.items()])


def write_between(text, name, content):
    start, end = "<!-- capacity: %s -->" % name, "<!-- end: %s -->" % name
    if text.count(start) != 1 or text.count(end) != 1:
        raise SystemExit("docs/CAPACITY.md lacks the markers of %s" % name)
    head, rest = text.split(start)
    return head + start + "\n" + content + "\n" + end + rest.split(end)[1]


def write_page(slopes, size, assumed):
    rows, lines, d = rows_of(size, slopes)
    tables = {
        "run": run_text(slopes), "over": over_table(rows, size),
        "roles": roles_table(rows, size), "fleet": fleet_table(slopes),
        "lines": lines_table(lines, size, d), "faults": faults_table(slopes),
        "days": days_table(slopes, size, lines, d),
        "distribution": distribution_table(slopes, size, d), "assumed": assumed_table(assumed),
    }
    with open(PAGE) as source:
        text = source.read()
    for name, content in tables.items():
        text = write_between(text, name, content)
    with open(PAGE, "w") as out:
        out.write(text)
    return rows, lines


def plot(lines, size, folder):
    panels = [("idle_core", "core of an idle real node"),
              ("idle_memory", "resident bytes of a real node"),
              ("log_reads", "reads/s at the log"), ("gossip_core", "core of gossip in memory"),
              ("gossip_sheet_bytes", "gossip bytes/s, sheet changes"),
              ("gossip_heap", "heap bytes of the gossip core")]
    script = ["set terminal svg size 1200,700 font 'sans,11'",
              "set output '%s'" % os.path.relpath(PLOT, ROOT),
              "set multiplot layout 2,3", "set logscale x", "set xlabel 'nodes'",
              "set key off", "set yrange [0:*]", "set xrange [4:8000]"]
    for number_, (name, title) in enumerate(panels):
        line = lines[name]
        file = os.path.join(folder, "panel%d.dat" % number_)
        with open(file, "w") as out:
            for x, y in line.points:
                out.write("%g %g\n" % (x, y))
        formula = "log(x)/log(2)" if line.logarithmic else "x"
        script += ["set title '%s'" % title,
                   "set arrow 1 from %g, graph 0 to %g, graph 1 nohead dt 2 lc 'gray'" %
                   (size["nodes"], size["nodes"]),
                   "plot '%s' with points pt 7, %.8g + %.8g * %s with lines" %
                   (os.path.relpath(file, ROOT), line.start, line.slope, formula)]
    subprocess.run(["gnuplot"], input="\n".join(script) + "\n", text=True, check=True, cwd=ROOT)


def main():
    if len(sys.argv) < 2:
        raise SystemExit(__doc__)
    build = os.path.abspath(sys.argv[1])
    folder = os.path.join(build, "capacity")
    os.makedirs(folder, exist_ok=True)
    file = os.path.join(folder, "slopes.json")
    if "--tables-only" not in sys.argv:
        kept = None
        if "--fleet-only" in sys.argv:
            with open(file) as source:
                kept = json.load(source)
        slopes = measure(build, "--quick" in sys.argv, kept)
        with open(file, "w") as out:
            json.dump(slopes, out, indent=1)
    with open(file) as source:
        slopes = json.load(source)
    size, assumed = read_size()
    rows, lines = write_page(slopes, size, assumed)
    plot(lines, size, folder)
    for row in rows:
        if over_budget(row, size):
            print("over budget: %s (%s)" % (row.role, ", ".join(over_budget(row, size))))


if __name__ == "__main__":
    main()
