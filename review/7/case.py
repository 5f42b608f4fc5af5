"""DRAIN: all processes are killed right after one of them has acknowledged a departure."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness2 import (  # noqa: E402
    CONTACT_S,
    DRAIN_S,
    TROUBLE,
    Deployment,
    route,
    run,
    send,
)

RESTART_S = 0.6  # the platform starts a killed process again after a short delay
HEARTBEAT_DELAY_S = 2.7  # "A heartbeat may arrive seconds late"
SERVES_ON_S = 10.0  # the server serves on "at times many seconds" and then exits
WORK_S = 0.09


async def work(request, writer, echo):
    """Runs a request of a client at a server."""
    from standin import response

    await asyncio.sleep(WORK_S)
    writer.write(response(200, "whole", echo))
    return True


async def case(record):
    routes = {
        "lookup": route("/lookup/", "safe", "tills"),
        "publish": route("/publish/", "unsafe", "tills"),
        "menu": route("/menu/", "safe", "menu"),
    }
    fleet = Deployment(record, routes, ["tills", "tills", "menu"])
    await fleet.start()
    first = fleet.machines[0]
    leaving = first.server
    sent_at = {}
    for machine in fleet.machines:
        machine.server.script["/"] = work
    clients = []

    async def ask(machine, number):
        request_id = fleet.new_id()
        unsafe = number % 3 == 0
        sent_at[request_id] = record.now()
        status, _, _ = await send(
            machine,
            f"/publish/{number}" if unsafe else f"/lookup/{number}",
            "POST" if unsafe else "GET",
            b"change" if unsafe else b"",
            5000,
            request_id,
        )
        record.add(
            f"request {request_id} ({'unsafe' if unsafe else 'safe'}) of {machine.name}, "
            f"sent at {sent_at[request_id]:.3f}: {status or 'no answer'}"
        )

    async def traffic():
        number = 0
        while True:
            number += 1
            machine = fleet.machines[number % len(fleet.machines)]
            clients.append(asyncio.create_task(ask(machine, number)))
            await asyncio.sleep(0.04)

    try:
        sending = asyncio.create_task(traffic())
        await asyncio.sleep(1)
        # A heartbeat leaves the server and is delayed on its way.
        first.beating.cancel()
        late = leaving.heartbeat("ready")
        record.add("server 0: heartbeat (ready) sent; it will be late")

        async def deliver():
            await asyncio.sleep(HEARTBEAT_DELAY_S)
            acked = await first.tell("instances.heartbeat", late)
            record.add(f"server 0: the late heartbeat arrives; acknowledged: {acked}")

        delivery = asyncio.create_task(deliver())
        await asyncio.sleep(0.1)
        # The server leaves without ever having said draining, and its health check says so.
        leaving.healthy = False
        departure = f'{{"born": {leaving.born}}}'
        acked = await first.tell("instances.deregister", departure)
        acked_at = record.now()
        record.add(f"server 0: deregister acknowledged: {acked}")
        if not acked:
            raise RuntimeError("the departure was not acknowledged")
        calm_from = acked_at
        if TROUBLE:
            for machine in fleet.machines:
                machine.signal(signal.SIGKILL)
            for machine in fleet.machines:
                await machine.process.wait()
            await asyncio.sleep(RESTART_S)
            for machine in fleet.machines:
                await machine.start()
            calm_from = max(machine.started_at for machine in fleet.machines) + CONTACT_S
        # The server serves on for a while. Only requests count that were sent later than
        # drain_s after the acknowledgement, at a time when every machine is in touch.
        counted_from = max(acked_at + DRAIN_S, calm_from)
        await asyncio.sleep(acked_at + SERVES_ON_S - record.now())
        await delivery
        await leaving.crash()
        record.add("server 0: exits")
        await asyncio.sleep(0.5)
        sending.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        reached = [request.field("Request-Id") for request in leaving.seen]
        late_ones = [r for r in reached if sent_at.get(r, 0) > counted_from]
        others = [
            r
            for machine in fleet.machines[1:]
            for r in machine.server.runs
            if sent_at.get(r, 0) > counted_from
        ]
        record.add(
            f"acknowledged at {acked_at:.3f}, counted from {counted_from:.3f}: "
            f"{len(late_ones)} requests reached the server that has left, "
            f"{len(others)} ran at the others"
        )
        for request_id in late_ones[:20]:
            record.add(f"reached server 0: {request_id}, sent at {sent_at[request_id]:.3f}")
        if not others:
            raise RuntimeError("no request was served after the restart")
        return not late_ones
    finally:
        await fleet.end()


if __name__ == "__main__":
    run(FOLDER, case)
