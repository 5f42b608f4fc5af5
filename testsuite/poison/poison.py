"""A request that crashes every server that runs it is sent again every 200 ms.

Guards against a quarantine that starts too late, that costs the other calls, that does not
hold in another failure domain, or that is lost when the nodes are replaced.
"""

import collections
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import measures  # noqa: E402
from chain import Chain, counts, light, phase  # noqa: E402

SECONDS = 8


def replace_nodes(chain):
    """Ends the deepest nodes with their servers and starts new ones on the same ports."""
    for node in chain.deepest:
        node.process.kill()
        node.server.kill()
    for node in chain.deepest:
        node.start(chain.fleet.contacts(), chain.fleet.log_port, chain.overrides)
    chain.fleet.wait_ready(nodes=chain.deepest)
    for node in chain.deepest:
        chain.start_server(node)
    chain.fleet.wait_servers()


def main(build):
    with Chain(build, depth=2, width=4, slots=10, service_ms=20.0, domains=("a", "b"),
               deep_options=measures.POISON_OPTIONS) as chain:
        answers = collections.Counter()
        load = chain.start_load(chain.classes(), [phase("load", SECONDS, light(0.15))])
        with measures.Supervisor(chain, delay=0.5) as supervisor:
            measures.send_poison(chain.entries, SECONDS, answers)
            part = counts(chain.finish_load(load), "load")
        first = dict(supervisor.crashes)
        print(first, dict(answers), part)
        replace_nodes(chain)
        again = collections.Counter()
        with measures.Supervisor(chain) as supervisor:
            measures.send_poison(chain.entries, 3, again)
        print("after the replacement", dict(supervisor.crashes), dict(again))
    assert first, "the request never crashed a server"
    for domain, crashes in first.items():
        assert crashes <= 2, (domain, first)
    assert part["ok"] / part["sent"] >= 0.95, part
    assert not supervisor.crashes, dict(supervisor.crashes)
    assert set(again) == {"quarantined"}, again


if __name__ == "__main__":
    main(sys.argv[1])
