"""A chain of three services after a surge whose callers retry hard.

Guards against a control loop that stays in overload after the surge has ended.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import measures  # noqa: E402
from chain import Chain  # noqa: E402


def main(build, seed):
    with Chain(build, **measures.OVERLOAD_CHAIN) as chain:
        surge = measures.recovery(chain, 5, seed=seed, after_seconds=5)
        print({key: value for key, value in surge.items() if key != "series"})
    assert surge["recovery_ms"] <= 1000, surge


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
