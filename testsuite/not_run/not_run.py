"""An answer "not run" to a call without a key is true at every hop of its chain.

Guards against an execution, at any service of the chain and at any later time, of a call
that was told "not run": under overload refusals at each hop, deadlines that end in queues,
callers that close their connections, stopped and killed nodes and killed backend servers.
Arguments: build folder, then optionally a seed.
"""

import os
from random import Random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet import Fleet, sheet  # noqa: E402
from records import Ledger, by_field, check, executions, send_and_close  # noqa: E402

RULES = sheet("*,front,5", "*,deep,5")
SECONDS = 14


def start_server(node):
    service = node.name.split("-")[1]
    options = ["--service", service]
    if service == "front":
        options += ["--slots", 12, "--service-ms", 3, "--downstream", "deep"]
    else:
        options += ["--slots", 2, "--service-ms", 12, "--service-dist", "exp"]
    node.start_server(*options)


def send_calls(ledger, nodes, seed, over):
    random = Random(seed)
    while not over.is_set():
        node = random.choice(nodes)
        method = random.choice(["GET", "POST", "POST"])
        service = random.choice(["front", "front", "deep"])
        timeout = random.choice([15, 30, 60, 200, 800])
        if random.random() < 0.25:
            send_and_close(node, service, ledger.next_path("closed"),
                           random.uniform(0, 0.05), timeout_ms=timeout)
        else:
            ledger.call(node, service=service, method=method, timeout_ms=timeout)


def disturb(fleet, seed, over):
    random = Random(seed)
    while not over.wait(random.uniform(0.1, 0.6)):
        node = random.choice(fleet.nodes[:4])
        fault = random.choice(["stop node", "stop node", "stop server", "kill server",
                               "kill node"])
        if fault.startswith("stop"):
            process = node.process if fault == "stop node" else node.server
            process.send(signal.SIGSTOP)
            time.sleep(random.uniform(0.05, 0.9))
            process.send(signal.SIGCONT)
        elif fault == "kill server":
            node.server.kill()
            start_server(node)
        else:
            node.process.kill()
            node.start(fleet.contacts(), fleet.log_port)
        print(fault, node.name)


def main(build, seed):
    print("seed", seed)
    ledger = Ledger()
    with Fleet(build) as fleet:
        fleet.start_log()
        for name in ("a-front", "b-front", "a-deep", "b-deep", "e-none"):
            fleet.add_node(name, name[0])
        fleet.start_nodes()
        answer = fleet.submit(RULES)
        assert answer["status"] == "accepted", answer
        fleet.wait_ready()
        for node in fleet.nodes[:4]:
            start_server(node)
        fleet.wait_servers()
        over = threading.Event()
        threads = [threading.Thread(target=send_calls,
                                    args=(ledger, fleet.nodes, seed + number, over))
                   for number in range(20)]
        threads.append(threading.Thread(target=disturb, args=(fleet, seed, over)))
        for thread in threads:
            thread.start()
        time.sleep(SECONDS)
        over.set()
        for thread in threads:
            thread.join()
        time.sleep(1.5)  # what runs late has the time to do so before the check
        check(ledger, fleet.folder)
        outcomes = by_field(ledger.answers, "outcome")
        reasons = by_field(outcomes.get("not_run", []), "reason")
        print({name: len(answers) for name, answers in outcomes.items()})
        print({str(name): len(answers) for name, answers in reasons.items()})
        assert executions(fleet.folder) and len(outcomes["ok"]) > 100, "too few calls ran"
        assert {"overload", "deadline"} <= set(reasons), "no refusals to judge"


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 11)
