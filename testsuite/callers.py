"""Callers for end-to-end cases: threads that make calls, check each answer and record it."""

import http.client
import itertools
import json
import random
import threading
import time

# Makes the calls of each object distinct in the execution records.
_numbers = itertools.count(1)

OUTCOMES = ("ok", "not_run", "unknown", "failed")


class Result:
    """One finished call."""

    def __init__(self, node, started, outcome, reason, status, name, fault):
        self.node = node
        self.started = started
        self.ended = time.monotonic()
        self.outcome = outcome
        self.reason = reason
        self.status = status
        self.path = "/item/" + name  # unique; the execution record shows it
        self.fault = fault  # why the answer is not acceptable, or None

    def seconds(self):
        return self.ended - self.started

    def __repr__(self):
        return "%s: %s %s %s after %.3f s%s" % (
            self.node.name, self.status, self.outcome, self.reason, self.seconds(),
            ": " + self.fault if self.fault else "")


class Callers:
    """Closed-loop callers on some nodes; a context manager that stops them at its end.

    Each call has a body of its own, and an answer with outcome ok must hold exactly it.
    """

    def __init__(self, nodes, service, per_node=2, timeout_ms=4000, size=100, seed=1,
                 pause=0.0, method="POST", key=False):
        self.service = service
        self.timeout_ms = timeout_ms
        self.size = size
        self.pause = pause
        self.method = method
        self.key = key
        self.results = []
        self.lock = threading.Lock()
        self.stopping = False
        number = next(_numbers)
        self.threads = [
            threading.Thread(target=self._run,
                             args=(node, "%d-%d-%s-%d" % (seed, number, node.name, i)))
            for node in nodes for i in range(per_node)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, kind, value, trace):
        self.stop()

    def stop(self):
        """Stops after the calls under way."""
        self.stopping = True
        for thread in self.threads:
            thread.join()

    def _run(self, node, name):
        chance = random.Random(name)
        connection = None
        number = 0
        while not self.stopping:
            number += 1
            text = "%s-%d-" % (name, number)
            body = text + "x" * max(0, chance.randint(self.size // 2, self.size) - len(text))
            if connection is None:
                connection = http.client.HTTPConnection("127.0.0.1", node.caller,
                                                        timeout=self.timeout_ms / 1000 + 5)
            result = self._call(connection, node, body, text)
            if result.status is None or result.fault:
                connection.close()
                connection = None
            with self.lock:
                self.results.append(result)
            if result.status is None:
                time.sleep(0.05)
            elif self.pause:
                time.sleep(self.pause * chance.uniform(0.5, 1.5))

    def _call(self, connection, node, body, text):
        headers = {"Fescue-Timeout-Ms": str(self.timeout_ms), "Fescue-Caller": "load"}
        if self.key:
            headers["Idempotency-Key"] = text
        started = time.monotonic()
        sent = False
        try:
            connection.connect() if connection.sock is None else None
            sent = True
            connection.request(self.method, "/call/%s/item/%s" % (self.service, text), body,
                               headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as problem:
            outcome = "cut" if sent else "refused"
            return Result(node, started, outcome, repr(problem), None, text, None)
        outcome = response.getheader("Fescue-Outcome")
        reason = response.getheader("Fescue-Reason")
        return Result(node, started, outcome, reason, response.status, text,
                      check_answer(outcome, reason, data, body))

    def since(self, moment, until=None):
        """Returns the results of the calls that started in a time."""
        with self.lock:
            return [result for result in self.results if result.started >= moment and
                    (until is None or result.started < until)]

    def faults(self):
        """Returns the results whose answer is neither whole and own nor a typed failure."""
        with self.lock:
            return [result for result in self.results if result.fault]


def check_answer(outcome, reason, data, body):
    """Returns why an answer is not acceptable, or None."""
    if outcome not in OUTCOMES:
        return "no outcome: %r" % data[:200]
    if outcome != "ok":
        return None if reason else "a failure without a reason: %r" % data[:200]
    try:
        answer = json.loads(data)
    except ValueError:
        return "the answer is not whole: %r" % data[:200]
    if answer.get("body") != body:
        return "the answer belongs to another call: %r" % data[:200]
    return None


def count_by(results):
    """Returns {"outcome/reason": count} for messages."""
    counts = {}
    for result in results:
        name = result.outcome if result.outcome == "ok" else "%s/%s" % (
            result.outcome, result.reason)
        counts[name] = counts.get(name, 0) + 1
    return counts
