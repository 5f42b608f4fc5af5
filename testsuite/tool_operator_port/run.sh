#!/usr/bin/env bash
# Runs the commands that need nodes against a stand-in for the operator ports: races,
# pending submits, waiting for failure domains, merged events, unreachable nodes.
set -uo pipefail
tool=$(cd "$1" && pwd)/bin/fescueridge
cd "$(dirname "$0")" || exit 1
work=$(mktemp -d)
sheet=../tool_offline/sheet.csv
failures=0

python3 script.py "$sheet" >"$work/script.json" || exit 1
python3 operator_stub.py "$work/script.json" "$work/ports" &
stub=$!
trap 'kill $stub; rm -rf "$work"' EXIT
for _ in $(seq 100); do
    [ -e "$work/ports" ] && break
    sleep 0.1
done

port_of() { awk -v node="$1" '$1 == node { print "127.0.0.1:" $2 }' "$work/ports"; }

source ../tool_expect.sh

# expect_text FILE TEXT: looks for a text in what the last run printed (out or err).
expect_text() {
    if ! grep -q -- "$2" "$work/$1"; then
        echo "lacks: $2"
        cat "$work/out" "$work/err"
        failures=$((failures + 1))
    fi
}

a1=$(port_of a1)
b1=$(port_of b1)

# The base is the version in force; the pending submit is sent again with the same id.
expect 0 --node "$a1" submit "$sheet" --author ana --wait
expect_text out 'accepted as version 8'
expect_text out '^a: in force'
expect_text out '^b: in force'
if ! python3 - "$work/ports.log" <<'PYTHON'; then
import json, sys
requests = [json.loads(line) for line in open(sys.argv[1])]
submits = [json.loads(r["body"]) for r in requests if r["request"] == "POST /v1/sheet/submit"]
assert len(submits) == 2, submits
assert submits[0] == submits[1] and submits[0]["submit_id"], submits
assert submits[0]["base"] == 7 and submits[0]["author"] == "ana", submits
PYTHON
    failures=$((failures + 1))
fi

# The loser learns who won, on which version, and what differs.
expect 1 --node "$b1" submit "$sheet" --author ana --base 7
expect_text out 'lost the race'
expect_text out '"ben"'
expect_text out 'based on version 7'
expect_text out '+ row 4: rule,booking-app,till-pricing,2,2000,800,,,booking'
expect 1 --node "$b1" --json submit "$sheet" --author ana --base 7
expect_json 'd["status"] == "lost" and d["winner_submit"] == "77"'

# A failure domain that is not there in time is named.
slow=$(port_of slow_domain)
expect 1 --node "$slow" --timeout-ms 1000 submit "$sheet" --author ana --wait
expect_text out 'a: not in force, unreachable'
expect_text out 'b: not in force, lowest version 7'
expect 1 --node "$slow" --timeout-ms 500 --json submit "$sheet" --author ana --wait
expect_json 'd["status"] == "accepted" and d["in_force"] is False and len(d["domains"]) == 2'

expect 3 --node "$(port_of log_down)" submit "$sheet" --author ana
expect_text err 'log cannot be reached'

expect 0 --node "$b1" show --against "$sheet"
expect_text out '1 rows differ'

# What a failure domain's own node says counts before what others say of it.
expect 0 --node "127.0.0.1:1,$a1" --node "$b1" --json status
expect_json 'len(d["nodes"]) == 3 and "error" in d["nodes"][0]'
expect_json 'd["domains"][0]["reachable"] and d["domains"][1]["lowest_version"] == 7'
expect 0 --node "127.0.0.1:1,$a1" status
expect_text err '127.0.0.1:1 does not answer'

expect 0 --node "$a1,$b1" timeline --name sheet
if [ "$(awk 'NR > 1 { print $2 }' "$work/out" | xargs)" != "4 6 9" ]; then
    echo "events are not in causal order"
    cat "$work/out"
    failures=$((failures + 1))
fi
expect 0 --node "$a1,$b1" timeline --since 1000 --name sheet_in --json
expect_json 'd["node"] == "a1" and d["seq"] == 2'

# Following prints each event once, and goes on although one node does not answer.
"$tool" --node "$a1,$b1,127.0.0.1:1" timeline --follow --json >"$work/out" 2>"$work/err" &
follower=$!
sleep 2
kill "$follower"
wait "$follower" 2>/dev/null
if [ "$(wc -l <"$work/out")" != 3 ] || [ "$(wc -l <"$work/err")" != 1 ]; then
    echo "timeline --follow repeats or loses lines"
    cat "$work/out" "$work/err"
    failures=$((failures + 1))
fi

expect 0 --node "127.0.0.1:1,$a1" pressure
expect_text out 'till-pricing'
expect 0 --node "$a1" members
expect 0 --node "$a1" drain
expect_text out 'draining, 3 calls in flight'

# Another server behind the port is not taken for a node.
expect 3 --node "$(port_of malformed)" status
expect_text err 'does not answer as an operator port'
expect 3 --node "$(port_of malformed)" show
expect 3 --node "$(port_of malformed)" drain

[ "$failures" -eq 0 ] && echo "all expectations met"
exit "$((failures > 0))"
