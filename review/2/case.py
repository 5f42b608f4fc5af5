"""LOST: a server is taken away and its machine's node stopped while requests have to wait."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from machines import BROKEN, DRAIN_S, GRACE_S, HELD, NOT_RUN  # noqa: E402
from machines import Fleet, route, run_case, trouble  # noqa: E402

WORK_S = 0.2
SLOTS = 8
RATE_PER_S = 65  # of all clients; two servers take 70 a second
WARM_S = 6.0
STAY_S = DRAIN_S + 0.5  # for which the leaving server serves on
STOP_AFTER_S = 4.4  # from the acknowledgement of the leaving to the SIGTERM, as on the bench
READY_S = 1.0  # between two questions of the platform
LOSS_SLACK_S = 0.2
DEADLINE_MS = 6000


class Machine:
    """The clients of one machine; they get new work as long as its node counts as ready."""

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node
        self.working = True
        self.sent = []  # (time of sending, time of the end, id, status or None)
        self.tasks = set()

    async def clients(self, rate_per_s):
        while self.working:
            self.tasks.add(asyncio.create_task(self.one()))
            await asyncio.sleep(1 / rate_per_s)

    async def one(self):
        sent_at = self.fleet.record.now()
        number, status = await self.fleet.ask(
            self.node, "/registry/lookup", deadline_ms=DEADLINE_MS
        )
        self.sent.append((sent_at, self.fleet.record.now(), number, status))

    async def ask_readiness(self):
        misses = 0
        while misses < 2:
            await asyncio.sleep(READY_S)
            misses = 0 if await self.node.is_ready() else misses + 1
        self.working = False
        self.fleet.record.line(f"the clients of {self.node.name} get no new work")


async def case():
    routes = {"registry": route("/registry/", "safe", "registry", 6, 1.5)}
    services = ["registry", "registry", "desk", "desk"]
    fleet = Fleet(FOLDER, services, routes, slots=SLOTS)
    try:
        await fleet.start()
        return await play(fleet)
    finally:
        await fleet.end()


async def leave(fleet, server):
    """Takes a server away as planned; returns whether the node has acknowledged that."""
    server.state = "draining"
    if not await server.heartbeat():
        return False
    fleet.record.line(f"server {server.instance} is draining: acknowledged")
    await asyncio.sleep(STAY_S)
    await server.deregister()
    await server.stop("has left")
    return True


async def play(fleet):
    record, node = fleet.record, fleet.nodes[1]
    for server in fleet.servers:
        server.work_s = lambda request: WORK_S
    machines = [Machine(fleet, each) for each in fleet.nodes[:2]]
    tasks = [asyncio.create_task(m.clients(RATE_PER_S / len(machines))) for m in machines]
    await asyncio.sleep(WARM_S)
    if trouble():
        acknowledged_at = record.now()
        if not await leave(fleet, fleet.servers[1]):
            return NOT_RUN
        await asyncio.sleep(max(0, acknowledged_at + STOP_AFTER_S - record.now()))
        if not await node.is_ready():
            return NOT_RUN
        tasks.append(asyncio.create_task(machines[1].ask_readiness()))
        stopped_at = record.now()
        node.signal(signal.SIGTERM)
        await asyncio.wait_for(node.process.wait(), GRACE_S)
        record.line(f"node {node.name} has ended {record.now() - stopped_at:.2f} s after SIGTERM")
    else:
        stopped_at = record.now()
        await asyncio.sleep(GRACE_S)
    await asyncio.sleep(0.5)
    for machine in machines:
        machine.working = False
    ran = {number for server in fleet.servers for number in server.runs}
    cut = [
        (sent_at, ended_at, number)
        for sent_at, ended_at, number, status in machines[1].sent
        if status is None
        and number not in ran
        and ended_at - sent_at > LOSS_SLACK_S
        and ended_at - sent_at < DEADLINE_MS / 1000
    ]
    for sent_at, ended_at, number in cut:
        record.line(
            f"{number}, sent at {sent_at:.3f}: the connection ended after "
            f"{ended_at - sent_at:.3f} s without an answer; no server ran it"
        )
    statuses = [status for *_, status in machines[1].sent]
    print(
        f"of {len(statuses)} requests at the machine {statuses.count(200)} got 200, "
        f"{statuses.count(503)} 503; {len(cut)} that no server ran ended without an answer"
    )
    return BROKEN if cut else HELD


run_case(case)
