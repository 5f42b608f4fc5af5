"""One limit of the sheet, enforced by a domain that is large enough for collectors.

Guards against grants of a collector that do not reach the nodes or pass the limit, and
against a limit that is lost when the domain shrinks below the 64 nodes from which on it
has collectors.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from chain import Chain, counts, phase  # noqa: E402
from fleet import sheet  # noqa: E402

NODES = 70
KILLED = 10
ENTRIES = 8  # each gets 50 calls a second of the limit
LIMIT = 400
SECONDS = 5


def admitted(chain, name, settle, seed):
    """Returns the admitted part of the limit when three times as much is wanted."""
    report = chain.load([chain.call_class("till", 3 * LIMIT)],
                        [phase("settle", settle, {}), phase(name, SECONDS, {})], seed=seed,
                        nodes=chain.entries[:ENTRIES])
    part = counts(report, name)
    share = part["ok"] / SECONDS / LIMIT
    print("%s: %.3f of the limit, refused %s" % (name, share, part["refused"]), flush=True)
    assert set(part["refused"]) == {"limit"}, part
    return share


def main(build, seed):
    print("seed", seed, flush=True)
    rules = sheet("till,s1,0,%d" % LIMIT, "*,s1,5", settings=[("domains", 1)])
    with Chain(build, depth=1, width=NODES, slots=100, service_ms=1.0,
               rules=rules) as chain:
        some = chain.entries[:ENTRIES]
        chain.fleet.wait_members(NODES, 30, some)
        large = admitted(chain, "collectors", 3, seed)
        for node in chain.entries[-KILLED:]:
            node.process.kill()
            node.server.kill()
        chain.fleet.wait_members(NODES - KILLED, 30, some)
        small = admitted(chain, "one share holder", 4, seed)
    for share in (large, small):
        assert 0.9 <= share <= 1.1, (large, small)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
