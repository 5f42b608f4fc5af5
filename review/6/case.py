"""LOST: a planned stop breaks off calls that the node took late in its grace."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness2 import GRACE_S, TROUBLE, Deployment, route, run, send  # noqa: E402
from standin import response  # noqa: E402

CALLS = 7  # of one request, one after the other
CALL_WORK_S = 0.8
DEADLINE_MS = 6000
WARM_UP_S = 14.0
REQUEST_INTERVAL_S = 0.06
EXCUSED_S = 3.0  # requests that are sent later than this after the SIGTERM are not excused
READY_CHECK_S = 1.0
MISSES = 2


class Call:
    """A call of a running request, as its server sees it."""

    def __init__(self, request_id, sent, deadline_ms):
        self.request_id = request_id
        self.sent = sent
        self.deadline = sent + deadline_ms / 1000
        self.began = None  # a server began to work on it
        self.ended = None  # that server came to the end of its work
        self.status = "waiting"
        self.answered = None
        self.from_server = False  # the answer bears the mark of a server


async def case(record):
    routes = {
        "order": route("/order/", "unsafe", "front", 6),
        "ledger": route("/ledger/", "safe", "ledger", 2.5, 1.2),
    }
    fleet = Deployment(record, routes, ["front", "ledger", "ledger"])
    await fleet.start()
    front = fleet.machines[0]
    calls = {}

    async def ledger_work(request, writer, echo):
        call = calls[request.field("Request-Id")]
        call.began = record.now()
        await asyncio.sleep(CALL_WORK_S)
        call.ended = record.now()
        writer.write(response(200, "entry", echo))
        return True

    async def front_work(request, writer, echo):
        end = time.monotonic() + int(request.field("Deadline-Ms")) / 1000
        for _ in range(CALLS):
            left_ms = int((end - time.monotonic()) * 1000)
            if left_ms <= 0:
                writer.write(response(504, "", echo))
                return True
            call = Call(fleet.new_id(), record.now(), left_ms)
            calls[call.request_id] = call
            status, fields, _ = await send(
                front, "/ledger/entry", "GET", b"", left_ms, call.request_id
            )
            call.status, call.answered = status, record.now()
            call.from_server = "server-stamp" in fields
            if status != 200:
                writer.write(response(500, "", echo))
                return True
        writer.write(response(200, "ordered", echo))
        return True

    front.server.script["/order/"] = front_work
    for machine in fleet.machines[1:]:
        machine.server.script["/ledger/"] = ledger_work
    admitted = True  # the platform sends clients to the machine
    requests = []

    async def ask():
        request_id = fleet.new_id()
        sent = record.now()
        status, _, _ = await send(front, "/order/1", "POST", b"order", DEADLINE_MS, request_id)
        record.add(f"request {request_id} sent at {sent:.3f}: {status or 'no answer'}")

    async def traffic():
        while True:
            if admitted:
                requests.append(asyncio.create_task(ask()))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def watch_readiness():
        nonlocal admitted
        misses = 0
        while True:
            misses = 0 if await front.is_ready() else misses + 1
            if admitted and misses >= MISSES:
                admitted = False
                record.add("vm-0: two misses, no new clients")
            await asyncio.sleep(READY_CHECK_S)

    try:
        background = [asyncio.create_task(traffic()), asyncio.create_task(watch_readiness())]
        await asyncio.sleep(WARM_UP_S)
        term_at = record.now()
        if TROUBLE:
            front.signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(front.process.wait(), GRACE_S)
                record.add(f"vm-0: exited, code {front.process.returncode}")
            except asyncio.TimeoutError:
                front.signal(signal.SIGKILL)
        else:
            await asyncio.sleep(GRACE_S)
        await asyncio.sleep(1.0)
        for task in background:
            task.cancel()
        await asyncio.gather(*requests, return_exceptions=True)
        late = [
            c for c in calls.values() if term_at + EXCUSED_S < c.sent < term_at + GRACE_S
        ]
        broken = [
            c
            for c in late
            if c.began is not None  # passed on: a server is at work
            and not c.from_server  # the answer, if there is one, is the node's own
            and c.answered < c.deadline  # the time that the caller gave was not over
            and c.answered < c.sent + 2.5  # nor that of the route
        ]
        before = [c for c in calls.values() if c.sent < term_at]
        record.add(
            f"SIGTERM at {term_at:.3f}; {len(before)} calls sent before it, "
            f"{sum(c.from_server for c in before)} of them answered by a server"
        )
        record.add(
            f"{len(late)} calls sent later than {EXCUSED_S:g} s after it, "
            f"{len(broken)} of them broken off while a server was at work"
        )
        for c in late:
            record.add(
                f"call {c.request_id} sent {c.sent - term_at:.3f} s after SIGTERM, "
                f"began {c.began and round(c.began - term_at, 3)}, "
                f"work over {c.ended and round(c.ended - term_at, 3)}, "
                f"answer {c.status} at {c.answered - term_at:.3f}, "
                f"{'of a server' if c.from_server else 'of the node'}, "
                f"{c.deadline - c.answered:.3f} s before its deadline"
            )
        if not any(c.from_server for c in before):
            raise RuntimeError("no call was answered before the stop")
        return not broken
    finally:
        await fleet.end()


if __name__ == "__main__":
    run(FOLDER, case)
