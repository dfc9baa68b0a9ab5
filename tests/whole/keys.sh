#!/usr/bin/env bash
# At-most-once execution by idempotency keys, both issued by a node and chosen by the caller: repeats through
# other nodes, other requests under the same key, restarts of the nodes that own a key, outages of the log.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-25000}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
start_small_mesh

key=$("$BIN/sequoiastep" keys --node "$(caller_of 1)") || fail "no key"
# post NODE KEY ID [BODY]: prints status, outcome and whether the response is a repeated one.
post() {
  curl -s -o "$MESH_DIR/answer" -w '%{http_code} %header{sequoiastep-outcome} %header{sequoiastep-repeated}' \
    -X POST -H "Idempotency-Key: $2" -H "X-Request-Id: $3" -d "${4:-one}" "http://$(caller_of "$1")/bookings/1"
}
expect "first request" "200  " "$(post 1 "$key" first)"
first=$(cat "$MESH_DIR/answer")
expect "repeat at the issuer" "200  true" "$(post 1 "$key" first)"
expect "repeat at another node" "200  true" "$(post 3 "$key" first)"
expect "the repeat's answer" "$first" "$(cat "$MESH_DIR/answer")"
expect "runs of the request" 1 "$(runs_of first)"
expect "another request under the key" "422 not_run " "$(post 2 "$key" other two)"
expect "runs of the other request" 0 "$(runs_of other)"
expect "a key that nobody issued" "422 not_run " "$(post 1 "${key%?}" forged)"
expect "runs under forged keys" 0 "$(runs_of forged)"

# Of two concurrent requests, one runs; the other is told that it is in progress or gets the same answer.
key=$("$BIN/sequoiastep" keys --node "$(caller_of 2)")
set_work 2 300
set_work 3 300
post 1 "$key" twice >/dev/null &
FIRST_PID=$!
post 3 "$key" twice >/dev/null
wait $FIRST_PID
expect "runs of two concurrent requests" 1 "$(runs_of twice)"
set_work 2 1
set_work 3 1

# The node that issued the key is killed and restarts: the request must not run a second time.
key=$("$BIN/sequoiastep" keys --node "$(caller_of 2)")
expect "before the restart" "200  " "$(post 3 "$key" restart)"
kill -KILL "${NODE_PID[2]}"
expect "while the issuer is dead" "504 unknown " "$(post 3 "$key" restart)"
start_node 2 node-2 east east-b
wait_for 15 node_is_ready 2 || fail "node 2 did not come back"
outcome_unknown() { [ "$(post 3 "$key" restart | cut -c1-11)" = "504 unknown" ]; }
wait_for 10 outcome_unknown || fail "after the restart: $(post 3 "$key" restart)"
expect "runs after the restart" 1 "$(runs_of restart)"

# Keys chosen by the caller are claimed in the log; each region has its own holders of a claim stream.
expect "own key" "200  " "$(post 1 order-17 own)"
first=$(cat "$MESH_DIR/answer")
expect "own key again" "200  true" "$(post 1 order-17 own)"
expect "own key in another region" "200  true" "$(post 3 order-17 own)"
expect "the repeat's answer" "$first" "$(cat "$MESH_DIR/answer")"
expect "runs of the own key" 1 "$(runs_of own)"
expect "another request under the own key" "422 not_run " "$(post 2 order-17 other two)"
set_work 2 300
set_work 3 300
REQUEST_PIDS=()
for n in 1 2 3; do post $n order-18 race >/dev/null & REQUEST_PIDS+=($!); done
wait "${REQUEST_PIDS[@]}"
expect "runs of concurrent requests in two regions" 1 "$(runs_of race)"
set_work 2 1
set_work 3 1
expect "a version 7 UUID that is too old" "504 unknown " "$(post 1 017f22e2-79b0-7cc3-98c4-dc0c0c07398f old)"
expect "runs of the old key" 0 "$(runs_of old)"

set_log_faults '{"outage":true}'
expect "own key with the log down" "503 not_run " "$(post 1 order-19 down)"
expect "runs with the log down" 0 "$(runs_of down)"
key=$("$BIN/sequoiastep" keys --node "$(caller_of 1)")
expect "issued key with the log down" "200  " "$(post 3 "$key" issued)"
set_log_faults '{"outage":false}'
own_key_accepted() { [ "$(post 1 order-19 down)" = "200  " ]; }
wait_for 10 own_key_accepted || fail "own key after the outage: $(post 1 order-19 down)"
expect "runs after the outage" 1 "$(runs_of down)"

# All nodes of the claimant's region restart: the claim remains, but the outcome of its request is unknown.
for n in 1 2; do kill -KILL "${NODE_PID[$n]}"; done
for n in 1 2; do start_node $n node-$n east "$([ $n = 1 ] && echo east-a || echo east-b)"; done
for n in 1 2; do wait_for 15 node_is_ready $n || fail "node $n did not come back"; done
claim_outcome_unknown() { [ "$(post 1 order-17 own | cut -c1-11)" = "504 unknown" ]; }
wait_for 10 claim_outcome_unknown || fail "own key after the restart: $(post 1 order-17 own)"
expect "runs of the own key after the restart" 1 "$(runs_of own)"
echo "keys: all checks passed"
