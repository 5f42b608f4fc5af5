"""CONFIG: a version with a route of a low rank is never applied by any node."""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness3 as h  # noqa: E402

HOST, NEW_HOST = "lookup.example", "audit.example"
RANK = 12 if h.TROUBLE else 3  # of the route that the second version adds
CONFIG_APPLY_S = 2.0  # bound of the site
MARGIN_S = 3.0  # beyond the bound, before the first request that counts
REQUESTS = 30


async def send(record, node, host, request_id):
    reader, writer = await asyncio.open_connection("127.0.0.1", node.entry)
    writer.write(h.request_bytes("GET", "/op/", host, request_id, 3000))
    try:
        status, _, _ = await asyncio.wait_for(h.read_response(reader), 4)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as problem:
        status = type(problem).__name__
    writer.close()
    record.add(f"{request_id} to {node.name} for {host}: {status}")
    return status


async def case(record, folder):
    backends = [
        h.Backend(record, "registry", "i-r0"),
        h.Backend(record, "desk", "i-d1"),
        h.Backend(record, "certificates", "i-c2"),
    ]
    for backend in backends:
        backend.start()
    fleet = h.Fleet(folder)
    services = {"registry": 286, "desk": 286, "certificates": 286}
    routes = {"lookup": h.route(HOST, "/op/", "safe", "registry", 6, 1.5, 2)}
    names = (f"q-{n}" for n in itertools.count())
    try:
        await fleet.start(backends, h.config(7, routes, services))
        before = [await send(record, n, HOST, next(names)) for n in fleet.nodes]
        record.say(f"version 7: {before}, run by {backends[0].service}")
        # The second version moves the route to another service and adds one.
        routes = {
            "lookup": h.route(HOST, "/op/", "safe", "desk", 6, 1.5, 2),
            "audit": h.route(NEW_HOST, "/op/", "safe", "certificates", 6, 1.5, RANK),
        }
        fleet.log.put("keyed.op", "config", h.config(12, routes, services))
        record.say(f"version 12 is acknowledged; the new route has priority {RANK}")
        await asyncio.sleep(CONFIG_APPLY_S + MARGIN_S)
        moved_at = record.now()
        answers = {HOST: [], NEW_HOST: []}
        for n, host in itertools.product(range(REQUESTS), answers):
            answers[host].append(await send(record, fleet.nodes[n % 3], host, next(names)))
    finally:
        await fleet.end()
    old = [r for at, r in backends[0].runs if at > moved_at]
    missing = answers[NEW_HOST].count(404)
    for host, statuses in answers.items():
        counts = {status: statuses.count(status) for status in set(statuses)}
        record.say(f"answers for {host}, {CONFIG_APPLY_S + MARGIN_S} s later and on: {counts}")
    record.say(f"{len(old)} requests were run by the service of version 7, {missing} on the new "
               "route were answered 404")
    return not old and missing == 0


sys.exit(h.run_case(pathlib.Path(__file__).resolve().parent, case))
