#!/usr/bin/env bash
# Rolling restart of all nodes and their targets under load, with configuration changes in between that
# remove and restore routes and clusters. No call may be broken off or refused.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-26200}
RATE=${RATE:-150}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
start_log "$PORT_BASE" || fail "the log does not answer"
NODES=6
domain_of() { echo "east east-$([ $(($1 % 2)) -eq 0 ] && echo a || echo b)"; }
for n in $(seq $NODES); do
  # shellcheck disable=SC2046
  start_node "$n" "node-$n" $(domain_of "$n")
  start_target "$n" jobboard work-ms=3
done
for n in $(seq $NODES); do wait_for 20 node_is_ready "$n" || fail "node $n is not ready"; done
# all_discovered N: true if node N knows all nodes and all targets.
all_discovered() { [ "$(curl -sf "http://$(admin_of "$1")/admin/v1/members" | grep -o '"service":"jobboard"' | wc -l)" -ge $NODES ] && [ "$(up_members "$1")" -ge $NODES ]; }
for n in $(seq $NODES); do wait_for 20 all_discovered "$n" || fail "node $n has not discovered all members"; done
# write_base EXTRA_CLUSTER EXTRA_ROUTE
write_base() {
  cat >"$MESH_DIR/base.json" <<EOF
{"services":{"jobboard":{"queue":24,"queue_ms":1000}},"clusters":{"jobs":{"service":"jobboard"}$1},
 "routes":[{"prefix":"/bookings","cluster":"jobs","repeat":"never","timeout_ms":4000}$2]}
EOF
}
publish() { "$BIN/sequoiastep" publish --node "$(admin_of "$1")" --base "$MESH_DIR/base.json" --wait >/dev/null || fail "publish at $1"; }
write_base "" ""
publish 1
to=$(for n in $(seq $NODES); do printf '%s,' "$(caller_of "$n")"; done)
"$BIN/load" to="${to%,}" path=/bookings/1 method=POST rate="$RATE" seconds=45 prefix=roll >"$MESH_DIR/load.txt" & LOAD_PID=$!
sleep 1
for n in $(seq $NODES); do
  entry=$((n % NODES + 1))
  if [ $((n % 2)) -eq 0 ]; then write_base "" ""; else write_base ',"more":{"service":"jobboard"}' ',{"prefix":"/bookings/1","cluster":"more","repeat":"never","timeout_ms":3000}'; fi
  publish "$entry"
  # The target drains first, as in a planned shutdown, then its node.
  curl -s -X POST "http://$(target_of "$n")/standin/drain" >/dev/null
  sleep 0.8
  kill -TERM "${NODE_PID[$n]}"
  wait "${NODE_PID[$n]}"
  code=$?
  [ "$code" -eq 0 ] || fail "node $n exited with $code"
  kill -TERM "${TARGET_PID[$n]}"
  wait "${TARGET_PID[$n]}"
  # shellcheck disable=SC2046
  start_node "$n" "node-$n" $(domain_of "$n")
  start_target "$n" jobboard work-ms=3
  wait_for 20 node_is_ready "$n" || fail "node $n did not come back"
  wait_for 20 all_discovered "$n" || fail "node $n has not discovered all members after its restart"
done
wait $LOAD_PID
cat "$MESH_DIR/load.txt"
grep -qE ' ok=([0-9]+)$' "$MESH_DIR/load.txt" || fail "calls were broken off or refused"
echo "rolling: $(grep -oE 'requests=[0-9]+' "$MESH_DIR/load.txt") all answered with 200"
