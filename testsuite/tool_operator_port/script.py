"""Prints the script of operator_stub.py: two nodes in two failure domains."""

import json
import sys

SHEET = open(sys.argv[1], encoding="utf-8").read()


def status(node, domain, versions, incarnation=1):
    return {
        "node": node,
        "incarnation": incarnation,
        "domain": domain,
        "region": "r",
        "version": versions[domain],
        "ready": True,
        "domains": [
            {"name": name, "nodes": 3, "lowest_version": version or 0, "reachable": version is not None}
            for name, version in versions.items()
        ],
        "server": {"service": "till-pricing", "state": "ready", "slots": 25, "limit": 20, "running": 3, "queued": 0},
        "log": {"reachable": True, "offset": 12},
    }


def submit(status_name, **members):
    return {
        "status": status_name,
        "version": 0,
        "winner_author": "",
        "winner_submit": "",
        "current_version": 7,
        "faults": [],
        **members,
    }


def event(time_ms, node, sequence, lamport, name, **fields):
    return json.dumps(
        {"time_ms": time_ms, "node": node, "incarnation": 1, "seq": sequence, "lamport": lamport, "event": name, **fields}
    )


LOST = submit("lost", version=8, winner_author="ben", winner_submit="77", current_version=8)
SHEET_VIEW = {"version": 8, "content": SHEET.replace(",2000,", ",1000,"), "author": "ben"}

print(
    json.dumps(
        {
            # Its versions rise while the tool waits.
            "a1": {
                "GET /v1/status": [
                    status("a1", "a", {"a": 7, "b": 7}),
                    status("a1", "a", {"a": 7, "b": 7}),
                    status("a1", "a", {"a": 8, "b": 7}),
                    status("a1", "a", {"a": 8, "b": 8}),
                ],
                "POST /v1/sheet/submit": [submit("pending"), submit("accepted", version=8)],
                "GET /v1/events": [
                    "\n".join(
                        [
                            event(1000, "a1", 1, 4, "sheet_accepted", version=8),
                            event(1005, "a1", 2, 9, "sheet_in_force", version=8),
                        ]
                    )
                ],
                "GET /v1/members": [{"members": []}],
                "GET /v1/pressure": [{"services": [{"service": "till-pricing", "cut_priority": 4, "cut_fraction": 512, "cut_resends": False, "age_ms": 30}]}],
                "POST /v1/drain": [{"state": "draining", "in_flight": 3}],
            },
            # Sees the other failure domain as unreachable.
            "b1": {
                "GET /v1/status": [status("b1", "b", {"a": None, "b": 7})],
                "GET /v1/events": [event(900, "b1", 1, 6, "sheet_in_force", version=8)],
                "POST /v1/sheet/submit": [LOST],
                "GET /v1/sheet": [SHEET_VIEW],
            },
            "log_down": {"GET /v1/status": [status("c1", "b", {"a": 7, "b": 7})], "POST /v1/sheet/submit": [submit("unavailable")]},
            "malformed": {"GET /v1/status": ["<html>"], "GET /v1/sheet": [{"version": -1}]},
            "slow_domain": {
                "GET /v1/status": [status("b2", "b", {"a": None, "b": 7})],
                "POST /v1/sheet/submit": [submit("accepted", version=8)],
            },
        }
    )
)
