"""LOST: a node is stopped while clients read their answers slowly."""

import asyncio
import pathlib
import signal
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from machines import BROKEN, GRACE_S, HELD, NOT_RUN  # noqa: E402
from machines import Fleet, fields, request_bytes, route, run_case, trouble  # noqa: E402

ANSWER_BYTES = 8_000_000
READ_BYTES_PER_S = 1_600_000
CLIENTS = 3
DEADLINE_MS = 6000
READY_S = 1.0  # between two questions of the platform
ASK_AFTER_S = 1.2  # from the SIGTERM to the requests: after the first miss, before the second


def slow_socket(port):
    """Returns a connection whose window doesn't grow with what the client leaves unread."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 262_144)
    connection.connect(("127.0.0.1", port))
    connection.setblocking(False)
    return connection


class Answer:
    """The bytes of an answer; tells when it is whole."""

    def __init__(self):
        self.bytes = bytearray()
        self.size = None

    def add(self, part):
        self.bytes += part
        if self.size is None and b"\r\n\r\n" in self.bytes:
            head = bytes(self.bytes).partition(b"\r\n\r\n")[0]
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"content-length:"):
                    self.size = len(head) + 4 + int(line.split(b":")[1])

    def whole(self):
        return self.size is not None and len(self.bytes) == self.size


async def slow_client(fleet, node, place):
    """Sends a request and reads the answer at its rate; returns (id, whole)."""
    record, loop = fleet.record, asyncio.get_running_loop()
    number = fleet.new_id()
    connection = slow_socket(node.entry)
    record.line(f"client {place} sends {number} GET /list/all")
    await loop.sock_sendall(
        connection, request_bytes("GET", "/list/all", b"", fields(number, DEADLINE_MS))
    )
    answer, end, started = Answer(), "", time.monotonic()
    try:
        while not answer.whole():
            allowed = int((time.monotonic() - started) * READ_BYTES_PER_S) - len(answer.bytes)
            if allowed <= 0:
                await asyncio.sleep(0.005)
                continue
            part = await loop.sock_recv(connection, allowed)
            if not part:
                end = "end of the connection"
                break
            answer.add(part)
    except OSError as problem:
        end = repr(problem)
    connection.close()
    took = time.monotonic() - started
    text = "the whole answer" if answer.whole() else f"{end} after"
    record.line(
        f"client {place} gets for {number}: {text} {len(answer.bytes)} of {answer.size} bytes"
        f" in {took:.2f} s"
    )
    return number, answer.whole()


async def ask_readiness(fleet, node):
    """Asks as the platform does, until two questions in a row have missed."""
    misses = 0
    while misses < 2:
        await asyncio.sleep(READY_S)
        misses = 0 if await node.is_ready() else misses + 1
        fleet.record.line(f"node {node.name} is " + ("ready" if misses == 0 else "not ready"))


async def case():
    routes = {"list": route("/list/", "safe", "menu", 6, 1.2)}
    fleet = Fleet(FOLDER, ["menu", "menu", "till"], routes, header_timeout_s=10)
    try:
        await fleet.start()
        return await play(fleet)
    finally:
        await fleet.end()


async def play(fleet):
    record, node = fleet.record, fleet.nodes[2]
    for server in fleet.servers:
        server.body = lambda request: bytes(ANSWER_BYTES)
    if not await node.is_ready():
        return NOT_RUN
    record.line(f"node {node.name} is ready")
    readiness = asyncio.create_task(ask_readiness(fleet, node)) if trouble() else None
    stopped_at = record.now()
    if trouble():
        node.signal(signal.SIGTERM)
    await asyncio.sleep(ASK_AFTER_S)
    clients = [asyncio.create_task(slow_client(fleet, node, n)) for n in range(CLIENTS)]
    if trouble():
        await asyncio.wait_for(node.process.wait(), GRACE_S)
        record.line(f"node {node.name} has ended {record.now() - stopped_at:.2f} s after SIGTERM")
        await readiness
    results = await asyncio.gather(*clients)
    done = {number for server in fleet.servers for number in server.done}
    cut = [number for number, whole in results if not whole and number in done]
    print(f"{len(cut)} of {CLIENTS} answers that the servers had given were cut")
    return BROKEN if cut else HELD


run_case(case)
