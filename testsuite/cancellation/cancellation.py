"""Work that nobody waits for any more stops at every depth, queued or running.

Guards against calls that run on, or start later, after their caller has closed its
connection or their deadline has ended.
"""

import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from chain import Chain, TOP  # noqa: E402
from fleet import wait_until  # noqa: E402

SERVICE_MS = 1500.0
SLOTS = 2
CALLS = 5

# Longer than the service time that the node knows, or it refuses the calls at once.
DEADLINE_MS = 1700

# The news of an ended call passes six processes; a busy machine may delay each.
STOP_SECONDS = 1.0


def send(node, number, timeout_ms):
    """Sends one call and returns its open connection."""
    caller = socket.create_connection(("127.0.0.1", node.caller), 5)
    caller.sendall(("GET /call/s1/item/%d HTTP/1.1\r\nHost: test\r\nFescue-Caller: %s\r\n"
                    "Fescue-Timeout-Ms: %d\r\n\r\n" % (number, TOP, timeout_ms)).encode())
    return caller


# Either the entry node gives up, or the first server, which knows its time left. The call
# has run in both cases, so it is never told to be not run.
ENDINGS = (("504", "unknown", "deadline"), ("502", "failed", "server_failed"))


def ending(answer):
    """Returns the status, outcome and reason of an answer."""
    lines = answer.split("\r\n\r\n")[0].split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:])
    return (lines[0].split()[1], fields.get("Fescue-Outcome"), fields.get("Fescue-Reason"))


def running(chain, level):
    stats = [node.server_stats() for node in chain.nodes_at(level)]
    return sum(each["running"] + each["queued"] for each in stats)


def all_stopped(chain):
    return all(running(chain, level) == 0 for level in range(1, chain.depth + 1))


def fill(chain, timeout_ms):
    """Sends more calls than the deepest server has slots; the rest waits in its node."""
    entry = chain.entries[0]
    callers = [send(entry, number, timeout_ms) for number in range(SLOTS)]
    wait_until(lambda: running(chain, chain.depth) == SLOTS, 1, "the slots are taken")
    callers += [send(entry, number, timeout_ms) for number in range(SLOTS, CALLS)]
    wait_until(lambda: running(chain, 1) == CALLS, 1, "calls run at every depth")
    return callers


def close_all(callers):
    """Closes the callers of waiting calls first: a freed slot is rightly given to a call
    whose caller still waits."""
    for caller in callers[SLOTS:]:
        caller.close()
    time.sleep(0.1)
    for caller in callers[:SLOTS]:
        caller.close()


def check_stopped(chain, executions, what):
    started = time.monotonic()
    wait_until(lambda: all_stopped(chain), STOP_SECONDS, what)
    print("%s after %.0f ms" % (what, (time.monotonic() - started) * 1000), flush=True)
    time.sleep(SERVICE_MS / 1000)
    # A queued call that was forgotten would have started by now.
    assert chain.executions() == executions, (what, chain.executions(), executions)
    assert all_stopped(chain), what


def main(build):
    with Chain(build, depth=4, width=1, slots=SLOTS, service_ms=SERVICE_MS) as chain:
        # The first call tells the node the service time, without which calls wait only
        # a short time in the queue.
        status, _, _ = chain.entries[0].call("s1", caller=TOP, timeout_ms=5000)
        assert status == 200, status
        callers = fill(chain, 10_000)
        close_all(callers)
        check_stopped(chain, 1 + SLOTS, "calls of closed connections stopped")
        # Now calls take longer than their time, which the node cannot know before.
        chain.deepest[0].control_server(service_ms=10 * SERVICE_MS)
        callers = fill(chain, DEADLINE_MS)
        time.sleep(DEADLINE_MS / 1000)
        check_stopped(chain, 1 + 2 * SLOTS, "calls past their deadline stopped")
        for caller in callers:
            caller.settimeout(1)
            answer = caller.recv(65536).decode()
            assert ending(answer) in ENDINGS, answer


if __name__ == "__main__":
    main(sys.argv[1])
