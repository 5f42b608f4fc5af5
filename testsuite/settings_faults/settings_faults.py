"""Each fault of a settings file gives one line with file and key, and exit code 2.

Guards against a node that starts with a setting it did not understand, and against an
error that leaves the operator searching for the place.
"""

import copy
import json
import os
import socket
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet import free_port  # noqa: E402

LISTEN_KEYS = ["caller", "server", "link", "operator", "gossip"]


def good_settings():
    ports = {key: "127.0.0.1:%d" % free_port() for key in LISTEN_KEYS}
    return {"node": "n1", "failure_domain": "d1", "region": "north", "listen": ports,
            "contacts": [], "log_service": "127.0.0.1:%d" % free_port()}


class Case:
    """Runs the node with settings files of one folder."""

    def __init__(self, build, folder):
        self.program = os.path.join(build, "bin", "fescueridged")
        self.file = os.path.join(folder, "node.json")

    def run(self, text, *options):
        with open(self.file, "w", encoding="utf-8") as out:
            out.write(text)
        return subprocess.run([self.program, self.file, *options], capture_output=True,
                              text=True, timeout=20, check=False)

    def expect_fault(self, name, text, key, part, *options):
        done = self.run(text, *options)
        lines = done.stderr.splitlines()
        assert done.returncode == 2, (name, done)
        assert len(lines) == 1 and not done.stdout, (name, done)
        line = json.loads(lines[0])
        assert line["file"] == self.file and self.file in line["text"], (name, line)
        assert line["key"] == key, (name, line)
        assert not key or '"%s"' % key in line["text"], (name, line)
        assert part in line["text"], (name, line)
        print("ok %s: %s" % (name, line["text"].replace(self.file, "node.json")))


def changed(place, value):
    """Returns good settings with one value changed; None removes the key."""
    settings = copy.deepcopy(good_settings())
    *path, last = place.split(".")
    target = settings
    for key in path:
        target = target[key]
    if value is None:
        del target[last]
    else:
        target[last] = value
    return json.dumps(settings)


def check_files(case):
    faults = [
        ("unknown key", "drain_timeout_s", 30, "is not a known key"),
        ("unknown key within listen", "listen.admin", "127.0.0.1:1", "is not a known key"),
        ("wrong type", "node", 5, "must be a text"),
        ("empty text", "region", "", "must be a text"),
        ("wrong type of a list", "contacts", "127.0.0.1:1", "must be a list"),
        ("wrong type within a list", "contacts", [7], "must be a text"),
        ("wrong type of an object", "listen", 5, "must be an object"),
        ("wrong unit", "drain_timeout_ms", "30 s", "whole number of milliseconds"),
        ("fraction of a unit", "log_retention_ms", 0.5, "whole number of milliseconds"),
        ("out of range", "threads", 0, "from 1 to 64"),
        ("no room for callers", "caller_memory_mb", 0, "from 1 to 65536"),
        ("no port", "listen.caller", "127.0.0.1", "is not an address:port"),
        ("a name in place of an address", "log_service", "localhost:80", "address:port"),
        ("missing key", "failure_domain", None, "is missing"),
        ("missing key within listen", "listen.gossip", None, "is missing"),
        ("missing object", "listen", None, "is missing"),
    ]
    for name, place, value, part in faults:
        for options in ([], ["--check"]):
            case.expect_fault(name, changed(place, value), place, part, *options)
    case.expect_fault("no JSON", '{"node": "n1",\n "region" 5}', "", "line 2")
    case.expect_fault("empty file", "", "", "")
    case.expect_fault("not an object", "[]", "", "must be an object")


def check_ports(case):
    for key in LISTEN_KEYS:
        kind = socket.SOCK_DGRAM if key == "gossip" else socket.SOCK_STREAM
        with socket.socket(socket.AF_INET, kind) as holder:
            holder.bind(("127.0.0.1", 0))
            if kind == socket.SOCK_STREAM:
                holder.listen()
            address = "127.0.0.1:%d" % holder.getsockname()[1]
            text = changed("listen." + key, address)
            case.expect_fault("port in use", text, "listen." + key, address)
            case.expect_fault("port in use", text, "listen." + key, "in use")
            done = case.run(text, "--check")
            assert done.returncode == 0 and not done.stderr, done
    case.expect_fault("address of another machine",
                      changed("listen.caller", "192.0.2.1:9000"), "listen.caller",
                      "192.0.2.1:9000")


def check_missing_file(case):
    missing = case.file + ".missing"
    done = subprocess.run([case.program, missing], capture_output=True, text=True,
                          timeout=20, check=False)
    assert done.returncode == 2 and missing in done.stderr, done
    done = subprocess.run([case.program, os.path.dirname(missing)], capture_output=True,
                          text=True, timeout=20, check=False)
    assert done.returncode == 2 and "cannot be read" in done.stderr, done
    done = subprocess.run([case.program], capture_output=True, text=True, timeout=20,
                          check=False)
    assert done.returncode == 2 and "settings" in done.stderr, done


def main(build):
    with tempfile.TemporaryDirectory(prefix="fescueridge-") as folder:
        case = Case(build, folder)
        done = case.run("// a comment\n" + json.dumps(good_settings()), "--check")
        assert done.returncode == 0 and not done.stderr, done
        check_files(case)
        check_ports(case)
        check_missing_file(case)


if __name__ == "__main__":
    main(sys.argv[1])
