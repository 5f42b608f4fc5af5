"""DRAIN: a heartbeat arrives late, after the departure that a restarted node acknowledged."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from machines import BROKEN, CONTACT_S, DRAIN_S, HEARTBEAT_S, HELD, NOT_RUN  # noqa: E402
from machines import Fleet, route, run_case, trouble  # noqa: E402

RESTART_S = 0.5  # from the kill to the start of the next process
LEAVE_S = 0.9  # from that start to the departure
BEAT_S = 0.4  # from that start to the last heartbeat
DELAY_S = 2.0  # for which this heartbeat is on its way
STAY_S = 8.0  # for which the server serves on after the acknowledgement
MARGIN_S = 0.1  # for the way of a request and the times of the record


async def clients(fleet, node):
    while True:
        asyncio.create_task(fleet.ask(node, "/till/lookup", deadline_ms=1000))
        await asyncio.sleep(0.05)


async def case():
    routes = {"till": route("/till/", "safe", "till", 1, 0.15)}
    fleet = Fleet(FOLDER, ["till", "till", "menu"], routes)
    try:
        await fleet.start()
        return await play(fleet)
    finally:
        await fleet.end()


async def play(fleet):
    record, node, server = fleet.record, fleet.nodes[0], fleet.servers[0]
    traffic = [asyncio.create_task(clients(fleet, other)) for other in fleet.nodes]
    await asyncio.sleep(2)
    sequence = server.sequence
    while server.sequence == sequence:  # the next heartbeat has just been sent
        await asyncio.sleep(0.01)
    # The heartbeat that follows fails, as the process is down.
    await asyncio.sleep(HEARTBEAT_S - RESTART_S / 2)
    if trouble():
        node.signal(signal.SIGKILL)
        await node.process.wait()
        await asyncio.sleep(RESTART_S)
        await node.start()
    else:
        await asyncio.sleep(RESTART_S)
    touched_at = record.now() + CONTACT_S
    await asyncio.sleep(BEAT_S)
    late_beat = asyncio.create_task(server.heartbeat(delay_s=DELAY_S))
    await asyncio.sleep(LEAVE_S - BEAT_S)
    if not await server.deregister(names_start=False):
        return NOT_RUN
    acknowledged_at = record.now()
    await asyncio.sleep(STAY_S)
    await late_beat
    for task in traffic:
        task.cancel()
    await server.stop("has served on and ends")
    bound = max(acknowledged_at + DRAIN_S, touched_at) + MARGIN_S
    late = [entry for entry in server.seen if entry[0] > bound]
    others = [entry for entry in fleet.servers[1].seen if entry[0] > bound]
    record.line(f"later than {bound:.3f}: {len(late)} requests reached {server.instance}")
    print(
        f"acknowledged at {acknowledged_at:.2f} s; {len(late)} requests reached the server "
        f"later than drain_s after it, {len(others)} the other one"
    )
    return BROKEN if late else HELD


run_case(case)
