"""A key runs at most once and "not run" is true, whatever fails.

Guards against a second execution of a key, and against an execution of a call that was
told "not run", under the faults named by the functions below. Verdicts come from the
backend servers' records. Arguments: build folder, then names of cases (default: all).
"""

import concurrent.futures
import os
from random import Random
import signal
import sys
import threading
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet import http_json, sheet, wait_until  # noqa: E402
from records import RULES, Stage, executions, judge, send_and_close  # noqa: E402


def together(*calls):
    with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
        return [future.result() for future in [pool.submit(call) for call in calls]]


def until_ok(stage, node, key, seconds=15):
    """Sends a key again until it runs; each answer before that must be "not run"."""
    def attempt():
        answer = stage.ledger.call(node, key)
        assert answer["outcome"] in ("ok", "not_run"), answer
        return answer["outcome"] == "ok"
    wait_until(attempt, seconds, "key %s runs" % key)


def race(build):
    """Two callers with one key at the same time through different failure domains."""
    with Stage(build) as stage:
        for number in range(40):
            key = "race-%d" % number
            answers = together(lambda: stage.ledger.call(stage.a, key),
                               lambda: stage.ledger.call(stage.b, key),
                               lambda: stage.ledger.call(stage.e, key))
            assert [a["outcome"] for a in answers].count("ok") == 1, answers
            for answer in answers:
                assert answer["outcome"] == "ok" or answer["reason"] == "key_in_use", answer
        stage.finish()


def resend_after_timeout(build):
    """A resend after a timeout goes through another failure domain."""
    with Stage(build, server_options=("--service-ms", 600)) as stage:
        for number in range(3):
            key = "timeout-%d" % number
            first = stage.ledger.call(stage.a, key, timeout_ms=300)
            assert first["outcome"] == "unknown", first
            again = stage.ledger.call(stage.b, key, timeout_ms=2000)
            assert again["outcome"] == "unknown" and again["reason"] == "key_in_use", again
            assert again["state"] in ("done", "in_doubt"), again
            assert stage.runs(key) == 1
        stage.finish()


def log_down(build):
    """Refused as not run in under 1 s while the log is down; other calls go on."""
    with Stage(build) as stage:
        stage.control_log(down=True)
        for number in range(3):
            answer = stage.ledger.call(stage.a, "down-%d" % number, timeout_ms=3000)
            assert answer["reason"] == "log_unavailable", answer
            assert answer["outcome"] == "not_run" and answer["seconds"] < 1.0, answer
            plain = stage.ledger.call(stage.a, plain=True)
            assert plain["outcome"] == "ok", plain
        stage.control_log(down=False)
        for number in range(3):
            until_ok(stage, stage.b, "down-%d" % number)
            assert stage.runs("down-%d" % number) == 1
        stage.finish()


def lost_answers(build):
    """The answer of the log is lost after the write: the claim is read back."""
    with Stage(build) as stage:
        stage.control_log(lose_answers=True)
        ok = 0
        for number in range(6):
            key = "lost-%d" % number
            ok += stage.ledger.call(stage.a, key)["outcome"] == "ok"
            stage.ledger.call(stage.b, key)
        assert ok >= 5, ok
        stage.finish()


def delayed_appends(build):
    """Appends take effect after their error, before and after the call was given up."""
    with Stage(build) as stage:
        for delay in (100, 700, 1400):
            stage.control_log(delay_effect_ms=delay)
            for number in range(2):
                key = "delayed-%d-%d" % (delay, number)
                together(lambda: stage.ledger.call(stage.a, key),
                         lambda: stage.ledger.call(stage.b, key))
                stage.ledger.call(stage.b, key, timeout_ms=400)
        stage.control_log(delay_effect_ms=0)
        time.sleep(1.6)
        for delay in (100, 700, 1400):
            for number in range(2):
                stage.ledger.call(stage.b, "delayed-%d-%d" % (delay, number))
        stage.finish(2)


def slow_log(build):
    """A slow log, below and above the time that a decision may take."""
    with Stage(build) as stage:
        for slow in (200, 1200):
            stage.control_log(slow_ms=slow)
            for number in range(3):
                key = "slow-%d-%d" % (slow, number)
                answers = together(lambda: stage.ledger.call(stage.a, key, timeout_ms=3000),
                                   lambda: stage.ledger.call(stage.b, key, timeout_ms=3000))
                if slow > 1000:  # no decision in time, though the caller would wait
                    assert all(a["outcome"] == "not_run" for a in answers), answers
                    assert all(a["seconds"] < 1.2 for a in answers), answers
            stage.control_log(slow_ms=0)
            for number in range(3):
                stage.ledger.call(stage.a, "slow-%d-%d" % (slow, number))
        stage.finish(2)


def stopped_node(build):
    """The executing node is stopped past the caller's timeout and continued."""
    with Stage(build) as stage:
        for number in range(4):
            key = "stopped-%d" % number
            caller = threading.Thread(target=stage.ledger.call,
                                      args=(stage.a, key), kwargs={"timeout_ms": 400})
            stage.control_log(slow_ms=150)  # the stop meets the call while it claims
            caller.start()
            time.sleep(0.02 + 0.06 * number)
            stage.a.process.send(signal.SIGSTOP)
            stage.control_log(slow_ms=0)
            time.sleep(0.6)
            stage.ledger.call(stage.b, key)
            stage.a.process.send(signal.SIGCONT)
            caller.join()
            stage.ledger.call(stage.b, key)
        stage.finish()


def replaced_node(build):
    """A node is killed in the middle of a run and replaced with empty memory."""
    with Stage(build, server_options=("--service-ms", 400)) as stage:
        key = "replaced"
        caller = threading.Thread(target=stage.ledger.call, args=(stage.a, key))
        caller.start()
        wait_until(lambda: stage.runs(key), 5, "the call runs")
        stage.a.process.kill()
        caller.join()
        stage.start_node(stage.a)
        stage.wait_claims(stage.a)
        again = stage.ledger.call(stage.a, key)
        assert again["outcome"] == "unknown" and again["reason"] == "key_in_use", again
        assert stage.ledger.call(stage.b, key)["outcome"] == "unknown"
        assert stage.runs(key) == 1
        stage.finish()


def killed_server(build):
    """The backend server is killed in the middle: the outcome is unknown for good."""
    with Stage(build, server_options=("--service-ms", 400)) as stage:
        key = "killed"
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(stage.ledger.call(stage.a, key)))
        caller.start()
        wait_until(lambda: stage.runs(key), 5, "the call runs")
        stage.a.server.kill()
        caller.join()
        assert answers[0]["outcome"] == "unknown", answers
        assert stage.ledger.call(stage.b, key)["outcome"] == "unknown"
        assert stage.runs(key) == 1
        stage.finish()


def refused_connection(build):
    """The backend server refuses the connection: not run, and the key is free again."""
    with Stage(build) as stage:
        stage.b.server.kill()
        stage.b.process.kill()  # no other server that could run the call
        stage.a.server.kill()
        answer = stage.ledger.call(stage.a, "refused")
        assert answer["outcome"] == "not_run", answer
        stage.start_server(stage.a)
        stage.wait_claims(stage.a)
        again = stage.ledger.call(stage.a, "refused")
        assert again["outcome"] == "ok", again
        assert stage.runs("refused") == 1
        stage.finish(ended=[stage.b])


def retention(build):
    """The log drops the claim, a carry keeps the key, and a fresh node knows it."""
    keep = 3000
    with Stage(build, ("--retention-ms", keep), {"log_retention_ms": keep}) as stage:
        keys = ["kept-%d" % number for number in range(5)]
        for key in keys:
            assert stage.ledger.call(stage.a, key)["outcome"] == "ok"
        end = time.monotonic() + 2.5 * keep / 1000
        while time.monotonic() < end:
            time.sleep(0.3)
            stage.ledger.call(stage.b, "filler-%d" % time.monotonic_ns())
        status, page = http_json(stage.log_port, "GET",
                                 "/v1/streams/claims.push/records?from=1000000&max=1")
        assert status == 200 and page["oldest"] > 5, page
        stage.a.process.kill()
        stage.start_node(stage.a)
        stage.wait_claims(stage.a)
        for key in keys:
            for node in (stage.a, stage.b):
                answer = stage.ledger.call(node, key)
                assert answer["outcome"] == "unknown", answer
        stage.finish()


def lost_table(build):
    """All nodes of the service are gone until the log has dropped its claims: calls are
    refused until old keys have expired by the log's clock, then they run."""
    keep = 10000
    with Stage(build, ("--retention-ms", keep), {"log_retention_ms": keep}) as stage:
        assert stage.ledger.call(stage.a, "before")["outcome"] == "ok"
        for node in (stage.a, stage.b):
            node.process.kill()

        def page():
            return http_json(stage.log_port, "GET",
                             "/v1/streams/claims.push/records?from=1000000&max=1")[1]

        wait_until(lambda: page()["oldest"] == page()["next"], 15, "the claims are dropped")
        dropped = page()["next"]
        for node in (stage.a, stage.b):
            stage.start_node(node)
        wait_until(lambda: page()["next"] > dropped, 15, "the table is called lost")
        wait_until(lambda: all(stage.ledger.call(node, "before")["seconds"] < 0.5
                               for node in (stage.a, stage.b)), 5, "both nodes know it")
        for node in (stage.a, stage.b):
            answer = stage.ledger.call(node, "before")
            assert answer["outcome"] == "not_run", answer
            assert answer["reason"] == "log_unavailable", answer
        names = [event["event"] for event in stage.a.events()]
        assert "claims_table_lost" in names, names
        assert stage.runs("before") == 1
        stage.control_log(clock_ahead_ms=31 * 24 * 3600 * 1000 + 60000)
        assert http_json(stage.log_port, "POST", "/v1/streams/claims.push/records",
                         EMPTY_BATCH)[0] == 200
        for node in (stage.a, stage.b):
            stage.wait_claims(node)
        stage.finish()


def drain(build):
    """A node drains and ends while calls claim their keys."""
    with Stage(build) as stage:
        over = threading.Event()

        def send(name, node):
            number = 0
            while not over.is_set():
                number += 1
                stage.ledger.call(node, "drain-%s-%d" % (name, number % 150))

        callers = [threading.Thread(target=send, args=("x", node))
                   for node in (stage.a, stage.e, stage.b)]
        for caller in callers:
            caller.start()
        time.sleep(0.7)
        assert http_json(stage.a.operator, "POST", "/v1/drain")[0] == 200
        time.sleep(0.3)
        assert stage.a.process.stop() == 0
        time.sleep(0.5)
        over.set()
        for caller in callers:
            caller.join()
        stage.finish(ended=[stage.a])


def cancel_race(build):
    """Callers close their connections at random moments and send the key again."""
    random = Random(SEED)
    with Stage(build, server_options=("--service-ms", 10)) as stage:
        def send(thread, node, other):
            for number in range(20):
                key = "cancel-%d-%d" % (thread, number)
                send_and_close(node, "push", stage.ledger.next_path("once"),
                               random.uniform(0, 0.06), key)
                time.sleep(random.uniform(0, 0.06))
                stage.ledger.call(other, key)

        together(*[lambda thread=thread: send(thread, *nodes) for thread, nodes in enumerate(
            [(stage.a, stage.b), (stage.b, stage.a), (stage.e, stage.a)] * 4)])
        stage.finish()


def killed_entry(build):
    """The entry node is killed: the caller knows nothing, the key runs at most once."""
    with Stage(build, server_options=("--service-ms", 100)) as stage:
        for number in range(3):
            key = "entry-%d" % number
            caller = threading.Thread(target=stage.ledger.call, args=(stage.e, key))
            caller.start()
            time.sleep(0.01 + 0.04 * number)
            stage.e.process.kill()
            caller.join()
            together(lambda: stage.ledger.call(stage.a, key),
                     lambda: stage.ledger.call(stage.b, key))
            stage.start_node(stage.e)
            stage.wait_ready(nodes=[stage.e])
            stage.wait_entry(stage.e)
        stage.finish()


def cut_link(build):
    """The link to the executing node is cut, goes silent or is reset while calls are queued, claim
    their keys or run; both nodes live. Guards against a call that runs after its caller
    was told "not run", and a resend that runs a second time."""
    random = Random(SEED)
    options = ("--service-ms", 60, "--slots", 2)
    with Stage(build, server_options=options, proxied=True) as stage:
        stage.control_log(slow_ms=60)

        def send(name, number):
            key = "cut-%s-%d" % (name, number)
            time.sleep(random.uniform(0, 0.3))
            stage.ledger.call(stage.e, key, timeout_ms=2500)
            stage.ledger.call(random.choice((stage.a, stage.b)), key)

        def cut(mode):
            time.sleep(random.uniform(0.1, 0.4))
            if mode == "reset":
                for node in (stage.a, stage.b, stage.e):
                    node.link_proxy.control(reset_after_bytes=random.randint(500, 4000))
                time.sleep(1.0)
                for node in (stage.a, stage.b, stage.e):
                    node.link_proxy.control(reset_after_bytes=0)
            else:
                for domain in ("a", "b"):
                    stage.cut("e", domain, mode)
                time.sleep(2.0)
                stage.heal()

        for mode in ("cut", "half_open", "one_way", "reset") * 2:
            name = "%s-%d" % (mode, time.monotonic_ns())
            together(lambda: cut(mode),
                     *[lambda number=number: send(name, number) for number in range(16)])
            stage.wait_entry(stage.e)
        ran = {entry["path"] for entry in executions(stage.folder)}
        broken = [answer["path"] in ran for answer in stage.ledger.answers
                  if answer["node"] == "e" and answer["reason"] == "link_broken"]
        print("cut_link: links broke under %d calls, %d of them ran" %
              (len(broken), sum(broken)))
        assert True in broken and False in broken, broken
        stage.finish()


def sheet_change(build):
    """A sheet makes the service at-most-once while calls with a key run without a claim.
    Guards against a second run among the calls that enter once the sheet is in force at
    every node; a run before that counts as none (docs/design.md, section 6.2)."""
    def put_in_force(stage, rules):
        answer = stage.submit(rules)
        assert answer["status"] == "accepted", answer
        wait_until(lambda: all(
            http_json(node.operator, "GET", "/v1/sheet")[1]["version"] == answer["version"]
            for node in stage.nodes), 10, "the sheet is in force at every node")

    options = ("--service-ms", 300, "--slots", 40)
    with Stage(build, server_options=options) as stage:
        put_in_force(stage, sheet("*,push,5"))
        keys = ["change-%d" % number for number in range(12)]
        before = [threading.Thread(target=stage.ledger.call, args=(stage.a, key))
                  for key in keys]
        for caller in before:
            caller.start()
        wait_until(lambda: all(stage.runs(key) == 1 for key in keys), 5, "the calls run")
        put_in_force(stage, RULES)
        for caller in before:
            caller.join()
        for node in (stage.a, stage.b):
            stage.wait_claims(node)
        for key in keys + ["new-%d" % number for number in range(12)]:
            without_claim = stage.runs(key)
            assert without_claim == (1 if key in keys else 0)
            answers = together(*[lambda node=node: stage.ledger.call(node, key)
                                 for node in (stage.a, stage.b, stage.e)])
            assert [a["outcome"] for a in answers].count("ok") == 1, answers
            assert stage.runs(key) - without_claim == 1, key
        found = judge(stage.ledger, stage.folder)
        assert not found["false_not_run"] and not found["lost"], found


CASES = [lost_table, cut_link, retention, race, resend_after_timeout, log_down,
         lost_answers, delayed_appends, slow_log, stopped_node, replaced_node,
         killed_server, refused_connection, drain, cancel_race, killed_entry, sheet_change]

SEED = 7

# A claims record without entries, in CBOR: it moves the log's clock for its readers.
EMPTY_BATCH = b"\x81\x01"


def run_case(case, build):
    start = time.monotonic()
    try:
        case(build)
    except Exception:
        return False, "not ok %s\n%s" % (case.__name__, traceback.format_exc())
    return True, "ok %s, %.1f s" % (case.__name__, time.monotonic() - start)


def main(build, names):
    cases = [case for case in CASES if not names or case.__name__ in names]
    passed = True
    with concurrent.futures.ThreadPoolExecutor(7) as pool:
        futures = [pool.submit(run_case, case, build) for case in cases]
        for future in concurrent.futures.as_completed(futures):
            passed = future.result()[0] and passed
            print(future.result()[1], flush=True)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2:]))
