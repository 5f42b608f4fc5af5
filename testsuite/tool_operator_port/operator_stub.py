#!/usr/bin/env python3
"""Stand-in for the operator ports of a small fleet: one HTTP server a node.

    operator_stub.py SCRIPT.json PORT_FILE

SCRIPT.json maps each node to its answers: "METHOD /path" to a list of bodies, of which
the last one repeats. A body is JSON, or a text that is sent as it is. The ports are
written to PORT_FILE, one line "NODE PORT" each; requests are appended to PORT_FILE.log.
"""

import http.server
import json
import os
import sys
import threading


def make_handler(node, answers, log):
    class Handler(http.server.BaseHTTPRequestHandler):
        def answer(self):
            length = int(self.headers.get("Content-Length", 0))
            body = self.rfile.read(length).decode()
            key = f"{self.command} {self.path.split('?')[0]}"
            log.write(json.dumps({"node": node, "request": key, "path": self.path, "body": body}) + "\n")
            log.flush()
            replies = answers.get(key)
            if not replies:
                self.send_error(404)
                return
            reply = replies.pop(0) if len(replies) > 1 else replies[0]
            data = (reply if isinstance(reply, str) else json.dumps(reply)).encode()
            self.send_response(200)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = answer
        do_POST = answer

        def log_message(self, *arguments):
            pass

    return Handler


def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        script = json.load(file)
    ports = []
    log = open(sys.argv[2] + ".log", "a", encoding="utf-8")
    for node, answers in script.items():
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), make_handler(node, answers, log))
        ports.append(f"{node} {server.server_address[1]}\n")
        threading.Thread(target=server.serve_forever, daemon=True).start()
    with open(sys.argv[2] + ".new", "w", encoding="utf-8") as file:
        file.writelines(ports)
    os.rename(sys.argv[2] + ".new", sys.argv[2])
    threading.Event().wait()


main()
