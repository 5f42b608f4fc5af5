"""A backend server whose answers are faulty in the way that the path of a request names."""

import http.client
import json
import socket
import struct
import threading
import time

# The server closes the connection after these, in the middle of the answer.
CLOSED_AFTER = ("mid", "reset", "chunk")

LATE_S = 0.45  # longer than the timeout of the calls that ask for a late answer


class ScriptedServer:
    """Announces itself to a node and answers; a context manager."""

    def __init__(self, node, service, slots=40):
        self.node = node
        self.service = service
        self.slots = slots
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        self.lock = threading.Lock()
        self.requests = {}  # path: number of times that it arrived
        self.reused = []    # requests on a connection that had a fault before
        self.stopping = threading.Event()
        self.announcer = threading.Thread(target=self._announce, daemon=True)
        self.acceptor = threading.Thread(target=self._accept, daemon=True)

    def __enter__(self):
        self.announcer.start()
        self.acceptor.start()
        return self

    def __exit__(self, kind, value, trace):
        self.stopping.set()
        self.listener.close()

    def announcement(self):
        return {"service": self.service, "address": "127.0.0.1:%d" % self.port,
                "slots": self.slots, "connections": 200, "state": "ready",
                "incarnation": 1, "warm_up_ms": 0}

    def _announce(self):
        while not self.stopping.is_set():
            try:
                connection = http.client.HTTPConnection("127.0.0.1", self.node.operator,
                                                        timeout=1)
                connection.request("POST", "/v1/server", json.dumps(self.announcement()))
                connection.getresponse().read()
                connection.close()
            except (OSError, http.client.HTTPException):
                pass
            self.stopping.wait(1.0)

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        fault = None
        reader = connection.makefile("rb")
        try:
            while True:
                request = _read_request(reader)
                if request is None:
                    return
                path, body = request
                with self.lock:
                    self.requests[path] = self.requests.get(path, 0) + 1
                    if fault:
                        self.reused.append((fault, path))
                kind = path.split("/")[1]
                if not _answer(connection, kind, body):
                    fault = kind
                if kind in CLOSED_AFTER:
                    return
        except OSError:
            pass
        finally:
            # The socket is closed once both are.
            reader.close()
            connection.close()


def _read_request(reader):
    line = reader.readline()
    if not line:
        return None
    length = 0
    while True:
        header = reader.readline()
        if header in (b"\r\n", b""):
            break
        name, _, value = header.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return line.split()[1].decode(), reader.read(length).decode()


def _whole(body, length=None):
    data = json.dumps({"body": body}).encode()
    head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
    return (head % (len(data) if length is None else length)).encode() + data


def _answer(connection, kind, body):
    """Answers one request; returns False when the connection must not be used again."""
    whole = _whole(body)
    if kind in ("ok", "slow"):
        _send(connection, whole, 1 if kind == "slow" else len(whole))
        return True
    if kind == "late":
        time.sleep(LATE_S)
        connection.sendall(whole)
    elif kind == "trickle":
        _send(connection, whole + b" " * 2000, 1, 0.01)
    elif kind == "mid":
        connection.sendall(whole[:-len(whole) // 4])
    elif kind == "reset":
        connection.sendall(whole[:-5])
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    elif kind == "short":
        connection.sendall(_whole(body, len(whole) + 1000))
    elif kind == "two":
        connection.sendall(whole + _whole("an answer that nobody asked for"))
    elif kind == "two-late":
        connection.sendall(whole)
        time.sleep(0.02)
        connection.sendall(_whole("an answer that nobody asked for"))
    elif kind == "extra":
        connection.sendall(whole + b"more bytes than were declared")
    elif kind == "chunk":
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                           b"20\r\n" + body.encode()[:10])
    elif kind == "garbage":
        connection.sendall(b"this is not an answer\r\n\r\n")
    elif kind == "lengths":
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                           b"Content-Length: 7\r\n\r\nhello")
    elif kind == "huge":
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n")
    elif kind == "header":
        connection.sendall(b"HTTP/1.1 200 OK\r\nX: " + b"y" * 100_000 + b"\r\n\r\n")
    return False


def _send(connection, data, step, pause=0.001):
    for start in range(0, len(data), step):
        connection.sendall(data[start:start + step])
        if step < len(data):
            time.sleep(pause)
