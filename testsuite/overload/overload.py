"""A chain of three services under three times the load that its deepest one can carry.

Guards against a control loop that leaves slots empty, refuses the top priority, or works
for roots that fail.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import measures  # noqa: E402
from chain import Chain  # noqa: E402


def main(build):
    with Chain(build, **measures.OVERLOAD_CHAIN) as chain:
        run = measures.overload(chain, 3, 6, seed=1)
        print(run)
    assert run["goodput"] >= 0.95, run
    assert run["top_share"] >= 0.999, run
    assert run["wasted"] <= 0.02, run


if __name__ == "__main__":
    main(sys.argv[1])
