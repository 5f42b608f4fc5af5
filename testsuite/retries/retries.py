"""Every hop of a chain fails; the executions of a root at its end stay bounded.

Guards against retries that multiply from hop to hop, and against resends of the caller
that start with a new allowance.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import measures  # noqa: E402


def main(build):
    found = []
    for depth in (3, 13):
        for resend in (False, True):
            run = measures.every_hop_fails(build, depth, resend, seconds=2)
            print(depth, "resend" if resend else "once", run, flush=True)
            found.append(run)
    for run in found:
        assert run["most"] <= 4, run


if __name__ == "__main__":
    main(sys.argv[1])
