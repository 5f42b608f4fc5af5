"""Every caller gets its own whole answer or a typed failure, whatever a server sends.

Guards against answers that are late, crossed, doubled or truncated reaching a caller,
connections that are used again after such a fault, and malformed input that ends a node.
"""

import http.client
import json
import os
import random
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from callers import check_answer, count_by, Result  # noqa: E402
from fleet import Fleet, http_call, sheet, wait_until  # noqa: E402
from scripted_server import ScriptedServer  # noqa: E402

TIMEOUT_MS = 300
RULES = sheet("*,scripted,5", "*,single,5", settings=[("domains", 1)])

# What a caller may be told for each kind of answer; "ok" only with its own whole answer.
EXPECTED = {
    "ok": {"ok"}, "slow": {"ok"}, "two": {"ok"}, "extra": {"ok"},
    "late": {"deadline"}, "trickle": {"deadline"}, "short": {"deadline"},
    "mid": {"server_failed"}, "reset": {"server_failed"}, "chunk": {"server_failed"},
    "garbage": {"server_failed"}, "lengths": {"server_failed"},
    "huge": {"too_large"}, "header": {"server_failed", "too_large"},
}


def call(connection, node, service, kind, name, timeout_ms=TIMEOUT_MS):
    body = "body of %s" % name
    headers = {"Fescue-Timeout-Ms": str(timeout_ms)}
    started = time.monotonic()
    connection.request("POST", "/call/%s/%s/%s" % (service, kind, name), body, headers)
    response = connection.getresponse()
    data = response.read()
    outcome, reason = response.getheader("Fescue-Outcome"), response.getheader("Fescue-Reason")
    return Result(node, started, outcome, reason, response.status, name,
                  check_answer(outcome, reason, data, body))


def check_kind(kind, result, server):
    """Returns False for a call that was shed, because the faults look like overload."""
    assert not result.fault, (kind, result)
    told = "ok" if result.outcome == "ok" else result.reason
    if told in ("overload", "deadline") and result.outcome == "not_run":
        path = "/%s%s" % (kind, result.path[len("/item"):])
        assert path not in server.requests, (kind, result)
        return False
    assert told in EXPECTED[kind], (kind, result)
    if told != "ok" and kind not in ("ok", "slow"):
        assert result.outcome == "unknown", (kind, result)  # the request was sent
    return True


def mixed_load(nodes, server, seed, threads=12, calls=40, at_least=5):
    """All kinds at a time, over the node's own server and over links."""
    results, problems, kinds = [], [], []

    def run(number):
        chance = random.Random("%d-%d" % (seed, number))
        node = nodes[number % len(nodes)]
        connection = http.client.HTTPConnection("127.0.0.1", node.caller, timeout=10)
        for count in range(calls):
            kind = chance.choice(sorted(EXPECTED))
            # A slow answer may take longer on a busy machine; it has to be whole.
            timeout_ms = 5000 if EXPECTED[kind] == {"ok"} else TIMEOUT_MS
            try:
                result = call(connection, node, "scripted", kind,
                              "%d-%d" % (number, count), timeout_ms)
                if check_kind(kind, result, server):
                    kinds.append(kind)
                results.append(result)
            except (AssertionError, OSError, http.client.HTTPException) as problem:
                problems.append((kind, repr(problem)))
                return
        connection.close()

    workers = [threading.Thread(target=run, args=(i,)) for i in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    assert not problems, problems[:3]
    assert not server.reused, server.reused[:5]
    twice = {path: count for path, count in server.requests.items() if count > 1}
    assert not twice, twice
    missing = [kind for kind in EXPECTED if kinds.count(kind) < at_least]
    assert not missing, (missing, count_by(results))
    print("%d calls: %s" % (len(results), count_by(results)))


def second_answer_while_idle(node, server):
    """A second answer on an idle connection must not become the next call's answer."""
    connection = http.client.HTTPConnection("127.0.0.1", node.caller, timeout=10)
    for count in range(20):
        for kind in ("two-late", "ok"):
            result = call(connection, node, "single", kind, "%s-%d" % (kind, count), 5000)
            assert result.outcome == "ok" and not result.fault, (kind, result)
            time.sleep(0.05)
    assert not server.reused, server.reused[:5]


def exchange(address, data, seconds=3.0):
    """Sends bytes on a new connection and returns what comes until its end."""
    with socket.create_connection(address, 3) as peer:
        peer.settimeout(seconds)
        received = b""
        try:
            peer.sendall(data)
        except OSError:
            pass  # refused before all of it was taken
        try:
            while True:
                part = peer.recv(65536)
                if not part:
                    break
                received += part
        except OSError:
            pass
        return received


def count_events(node, name):
    return sum(1 for event in node.events() if event["event"] == name)


def expect_event(node, name, act):
    """Runs act() and waits for one more event of this name."""
    before = count_events(node, name)
    result = act()
    wait_until(lambda: count_events(node, name) > before, 3, "event %s" % name)
    return result


def bad_requests(node):
    caller = ("127.0.0.1", node.caller)
    inner = ("127.0.0.1", node.server_side)
    end = b"\r\nHost: x\r\nConnection: close\r\n\r\n"
    for where in (caller, inner):
        for data, status in (
                (b"this is no request\r\n\r\n", b" 400 "),
                (b"GET /call/scripted/ok HTTP/1.1\r\nX: " + b"y" * 100_000 + end, b" 431 "),
                (b"POST /call/scripted/ok HTTP/1.1\r\nContent-Length: 99999999" + end,
                 b" 413 "),
                (b"POST /call/scripted/ok HTTP/1.1\r\nContent-Length: 5\r\n"
                 b"Content-Length: 7" + end + b"hello", b" 400 ")):
            answer = expect_event(node, "http_fault", lambda: exchange(where, data))
            assert status in answer.split(b"\r\n")[0], (data[:60], answer[:200])
        for line in (b"GET /other HTTP/1.1", b"GET /call/ HTTP/1.1",
                     b"GET /call/scripted/ok HTTP/1.1\r\nFescue-Timeout-Ms: soon",
                     b"GET /call/scripted/ok HTTP/1.1\r\nFescue-Timeout-Ms: 0",
                     b"GET /call/scripted/ok HTTP/1.1\r\nFescue-Attempt: -1",
                     b"GET /call/scripted/ok HTTP/1.1\r\nIdempotency-Key: " + b"k" * 1000):
            answer = expect_event(node, "bad_request", lambda: exchange(where, line + end))
            assert b" 400 " in answer.split(b"\r\n")[0], (line, answer[:200])
            assert b"bad_request" in answer, (line, answer[:300])
    # A body that ends early and a connection that stays silent hold up nobody.
    with socket.create_connection(caller, 3) as silent, \
            socket.create_connection(caller, 3) as partial:
        partial.sendall(b"POST /call/scripted/ok HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf")
        assert node.call("scripted", "/ok/meanwhile", "POST", "x")[0] == 200
        silent.close()


def bad_announcements(node, server):
    good = server.announcement()
    expect_event(node, "bad_request",
                 lambda: http_call(node.operator, "POST", "/v1/server", "no json"))
    for change in ({"service": 7}, {"slots": 0}, {"slots": -1}, {"slots": 1 << 40},
                   {"state": "fine"}, {"address": "nowhere"}, {"address": "host:80"},
                   {"incarnation": "x"}, {"warm_up_ms": 1e99}, {"connections": None}):
        status, _, body = http_call(node.operator, "POST", "/v1/server",
                                    dict(good, **change))
        assert status == 400 and b"error" in body, (change, status, body)
    for body in ("", "no json", "[1,2]", "{" * 100_000):
        status, _, data = http_call(node.operator, "POST", "/v1/server", body)
        assert status == 400 and b"error" in data, (body[:20], status, data)
    for body in ("", "{}", '{"author":1}', "\xff\xfe"):
        status, _, data = http_call(node.operator, "POST", "/v1/sheet/submit",
                                    body.encode("latin-1"))
        assert status == 400, (body, status, data)
    assert http_call(node.operator, "GET", "/v1/explain/garbage")[0] == 400


def websocket_frame(payload, opcode=2, length=None, minimal=True):
    """Returns a frame with a mask of zeros; length and its encoding may be wrong."""
    size = len(payload) if length is None else length
    if size < 126 and minimal:
        head = struct.pack(">B", 0x80 | size)
    elif size < 1 << 16 and minimal:
        head = struct.pack(">BH", 0x80 | 126, size)
    else:
        head = struct.pack(">BQ", 0x80 | 127, size)
    return bytes([0x80 | opcode]) + head + b"\0\0\0\0" + payload


def bad_link_frames(node):
    link = (node.address, node.link)
    upgrade = (b"GET /link HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
               b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
               b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n")
    hello = b"\x86\x01\x01\x62zz\x01\x61a\x00"  # of node "zz", incarnation 1, domain "a"
    opened = upgrade + websocket_frame(hello)
    for kind, data in (
            ("handshake_failed", b"this is no handshake\r\n\r\n"),
            ("handshake_failed", b"GET / HTTP/1.0\r\n\r\n"),
            ("handshake_failed", upgrade),  # no hello in time
            ("bad_frame", upgrade + websocket_frame(b"garbage")),
            ("bad_frame", upgrade + websocket_frame(b"text", opcode=1)),
            ("bad_frame", upgrade + websocket_frame(b"\x82\x05\x01")),  # ping before hello
            ("bad_frame", upgrade + websocket_frame(b"garbage", minimal=False)),
            ("bad_frame", upgrade + b"\xff\xff\xff\xff"),
            ("bad_frame", upgrade + websocket_frame(b"\x9f" * 200_000)),
            ("frame_too_large", upgrade + websocket_frame(b"", length=1 << 40)),
            ("bad_frame", opened + websocket_frame(hello)),
            ("bad_frame", opened + websocket_frame(b"\x83\x02\x01\x05")),  # a call, cut off
            ("cut", opened + websocket_frame(hello)[:5])):
        expect_event(node, "link_fault", lambda: exchange(link, data, 0.5 if kind == "cut"
                                                          else 3.0))
        last = [event for event in node.events() if event["event"] == "link_fault"][-1]
        assert last["kind"] == kind, (data[-40:], last)


def unknown_link_message(node):
    """A message of a newer version must not end the link: it still answers a ping."""
    upgrade = (b"GET /link HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
               b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
               b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n")
    hello = b"\x86\x01\x01\x62zz\x01\x61a\x00"
    unknown = b"\x82\x18\xc8\x01"
    ping = b"\x83\x05\x01\x07"
    reply = exchange((node.address, node.link), upgrade + b"".join(
        websocket_frame(frame) for frame in (hello, unknown, ping)), 1.0)
    assert b"\x83\x06" in reply, reply  # a pong


def bad_datagrams(node, seed):
    chance = random.Random(seed)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        def send():
            for size in (0, 1, 10, 1200, 1201, 9000):
                sender.sendto(chance.randbytes(size), (node.address, node.gossip))
        expect_event(node, "gossip_malformed", send)


def main(build, seed):
    print("seed %d" % seed)
    with Fleet(build, seed) as fleet:
        fleet.start_log()
        first, second, third = (fleet.add_node(name, "a") for name in ("a1", "a2", "a3"))
        # Two threads a node, not the default of one, so that faults of connections that
        # several threads use at the same time can show.
        fleet.start_nodes({"threads": 2})
        assert fleet.submit(RULES)["status"] == "accepted"
        fleet.wait_ready()
        with ScriptedServer(first, "scripted") as server, \
                ScriptedServer(third, "single", slots=1) as single:
            for node in (first, second):
                for service in ("scripted", "single"):
                    wait_until(lambda: node.call(service, "/ok/first", "POST", "x")[0] == 200,
                               5, "%s reaches %s" % (node.name, service))
            server.requests.clear()
            mixed_load((first, second), server, seed)
            second_answer_while_idle(second, single)
            bad_requests(first)
            bad_announcements(first, server)
            bad_link_frames(first)
            unknown_link_message(first)
            bad_datagrams(first, seed)
            server.requests.clear()
            mixed_load((first, second), server, seed + 1, calls=10, at_least=1)
        for node in fleet.nodes:
            assert node.process.stop() == 0, node.name


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
