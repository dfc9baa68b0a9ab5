#!/usr/bin/env bash
# At most once by keys that a node issued: repeats through other nodes, other requests under the same
# key, an issuer that restarted, and a key that nobody issued.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=$PWD/out/Release
PORT_BASE=${PORT_BASE:-25000}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
start_small_mesh

key=$("$BIN/sequoiastep" keys --node "$(caller_of 1)") || fail "no key"
post() { # NODE KEY ID [BODY]
  curl -s -o "$MESH_DIR/answer" -w '%{http_code} %header{sequoiastep-outcome} %header{sequoiastep-repeated}' \
    -X POST -H "Idempotency-Key: $2" -H "X-Request-Id: $3" -d "${4:-one}" "http://$(caller_of "$1")/work/1"
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
expect "a key of no node" "422 not_run " "$(post 1 hello own)"
expect "runs under forged keys" 0 "$(runs_of forged)"

# Two at once: one runs, the other is told that it is in progress or gets the answer.
key=$("$BIN/sequoiastep" keys --node "$(caller_of 2)")
set_work 2 300
set_work 3 300
post 1 "$key" twice >/dev/null &
FIRST=$!
post 3 "$key" twice >/dev/null
wait $FIRST
expect "runs of two at once" 1 "$(runs_of twice)"
set_work 2 1
set_work 3 1

# The issuer is killed and starts again: its key is never run a second time.
key=$("$BIN/sequoiastep" keys --node "$(caller_of 2)")
expect "before the restart" "200  " "$(post 3 "$key" restart)"
kill -KILL "${NODE_PID[2]}"
expect "while the issuer is dead" "504 unknown " "$(post 3 "$key" restart)"
start_node 2 node-2 east east-b
wait_for 15 node_is_ready 2 || fail "node 2 did not come back"
settled() { [ "$(post 3 "$key" restart | cut -c1-11)" = "504 unknown" ]; }
wait_for 10 settled || fail "after the restart: $(post 3 "$key" restart)"
expect "runs after the restart" 1 "$(runs_of restart)"
echo "keys: all as expected"
