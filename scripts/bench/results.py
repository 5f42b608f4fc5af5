"""Collects figures, writes them as JSON lines and prints the table of targets."""

import json
import os
import statistics
import traceback

# Over this share of busy processor time a figure says more about the machine.
BUSY_MACHINE = 0.7


def meets(value, target):
    """Returns whether a value meets a target such as ">= 0.95"; None without a target."""
    if target == "report":
        return None
    direction, bound = target.split()
    return value >= float(bound) if direction == ">=" else value <= float(bound)


class Results:
    def __init__(self, file):
        os.makedirs(os.path.dirname(file), exist_ok=True)
        self.out = open(file, "w")
        self.rows = []
        self.broken = []

    def add(self, figure, unit, values, target="report", baseline=None, baseline_name=None,
            busy=0.0, worst=False, **details):
        """Adds a figure from the values of several runs.

        The value is the median, or the worst run when `worst` is set (counts that must
        never be exceeded).
        """
        if worst:
            value = min(values) if target.startswith(">=") else max(values)
        else:
            value = statistics.median(values)
        row = {"figure": figure, "unit": unit, "value": round(value, 4), "target": target,
               "runs": len(values), "spread": round(max(values) - min(values), 4)}
        if baseline is not None:
            row["baseline"] = round(baseline, 4)
            row["baseline_name"] = baseline_name
        row["busy"] = round(busy, 2)
        row["load_average"] = round(os.getloadavg()[0], 1)
        if busy > BUSY_MACHINE:
            row["trial"] = True
        row.update(details)
        self.rows.append(row)
        self.out.write(json.dumps(row) + "\n")
        self.out.flush()
        print("  %s: %s %s (target %s)" % (figure, row["value"], unit, target), flush=True)

    def fail(self, group, problem):
        traceback.print_exception(type(problem), problem, problem.__traceback__)
        self.broken.append(group)
        self.out.write(json.dumps({"group": group, "broken": repr(problem)}) + "\n")
        self.out.flush()

    def print_table(self):
        print("\n| figure | value | unit | target | met | baseline | runs | spread |")
        print("| --- | --- | --- | --- | --- | --- | --- | --- |")
        for row in self.rows:
            verdict = meets(row["value"], row["target"])
            met = {None: "", True: "yes", False: "NO"}[verdict]
            if row.get("trial"):
                met += " (trial)"
            base = ""
            if "baseline" in row:
                base = "%s (%s)" % (row["baseline"], row["baseline_name"])
            print("| %s | %s | %s | %s | %s | %s | %s | %s |" % (
                row["figure"], row["value"], row["unit"], row["target"], met, base,
                row["runs"], row["spread"]))
        for group in self.broken:
            print("| %s | not measured: broken | | | NO | | | |" % group)
