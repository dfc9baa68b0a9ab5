#!/usr/bin/env bash
# Targets that name in their responses how many requests they accept, or that they leave: alone, all of a
# service at once, and while the node beside them restarts. The targets count what arrives.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-26500}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
start_small_mesh

LIMIT=5
# One and a half times the limit in 4 s, and 5 requests.
ALLOWED=$((LIMIT * 4 * 3 / 2 + 5))
set_limit() { curl -sf -d "$2" "http://$(target_of "$1")/standin/limit" >/dev/null || fail "set the limit of target $1"; }
ALL_NODES="$(caller_of 1),$(caller_of 2),$(caller_of 3)"
# send_load NAME SECONDS NODES: 60 requests a second through the nodes; the result is in $MESH_DIR/NAME.txt.
send_load() {
  "$BIN/load" to="$3" path=/jobs/1 rate=60 seconds="$2" prefix="$1" >"$MESH_DIR/$1.txt"
  cat "$MESH_DIR/$1.txt"
}
outcome_of() { grep -oE " $2=[0-9]+" "$MESH_DIR/$1.txt" | cut -d= -f2; }
# expect_kept N: the limit of target N was kept.
expect_kept() {
  local most
  most=$(report_of "$1" most_in_4_s)
  echo "target $1: at most $most requests in 4 s, $ALLOWED allowed"
  [ "$most" -le $ALLOWED ] || fail "a target got more requests than the limit that it named"
}

set_limit 3 $LIMIT
send_load one 6 "$ALL_NODES"
expect_kept 3
grep -qE ' ok=[0-9]+$' "$MESH_DIR/one.txt" || fail "the other target did not take the load"

set_limit 2 $LIMIT
set_limit 3 $LIMIT
send_load all 6 "$ALL_NODES"
expect_kept 2
expect_kept 3
[ "$(outcome_of all ok)" -ge $((2 * LIMIT * 4)) ] || fail "requests within the limits were refused"
grep -qE ' not_run=[0-9]+ ok=[0-9]+$' "$MESH_DIR/all.txt" || fail "a request beyond the limits was not refused as not run"

set_limit 2 ''
set_limit 3 ''
# A node learns the end of a limit from the next request, which may wait until the limit lets it pass.
limits_ended() { curl -sf "http://$(caller_of "$1")/jobs/1" >/dev/null; ! curl -sf "http://$(admin_of "$1")/admin/v1/metrics" | grep -q target_limit; }
for n in 2 3; do wait_for 10 limits_ended $n || fail "the limit did not end with the responses that name none"; done

# The node beside a target that leaves or has a limit restarts; this target has an id, by which callers' nodes
# recognize it. Its reports go on to say that it is ready.
curl -s -X POST "http://$(target_of 2)/standin/drain" >/dev/null
kill -TERM "${TARGET_PID[3]}"
wait "${TARGET_PID[3]}"
start_process target-3 "$BIN/standintarget" listen="$(target_of 3)"
report_target() {
  local sequence=1
  while sleep 0.1; do
    sequence=$((sequence + 1))
    curl -s -m 1 -o /dev/null -H 'Content-Type: application/json' "http://$(announce_of 3)/-/instances/i-3/heartbeat" -d \
      "{\"address\":\"$(target_of 3)\",\"born\":7000,\"info\":{\"service\":\"jobboard\",\"version\":\"v1\",\"zone\":\"west-a\",\"capacity\":6},\"status\":{\"state\":\"ready\",\"sequence\":$sequence,\"warmup_left_ms\":0}}"
  done
}
report_target & MESH_PIDS+=($!)
serves() { curl -sf "http://$(caller_of "$1")/jobs/1"; }
wait_for 15 serves 1 || fail "the target with an id does not serve"
set_limit 3 $LIMIT
for n in 1 2; do serves $n; done >/dev/null
send_load restarts 8 "$ALL_NODES" & LOAD_PID=$!
for _ in 1 2 3 4; do
  sleep 1.2
  kill -KILL "${NODE_PID[3]}"
  start_node 3 node-3 west west-a
done
wait $LOAD_PID
expect_kept 3

set_limit 3 ''
wait_for 15 serves 1 || fail "no service after the limit ended"
curl -sf -X POST "http://$(target_of 3)/standin/leave" >/dev/null
serves 1 >/dev/null
sleep 1
before=$(report_of 3 total)
kill -KILL "${NODE_PID[3]}"
start_node 3 node-3 west west-a
wait_for 20 node_is_ready 3 || fail "node 3 is not ready"
reports_arrived() { curl -sf "http://$(admin_of 3)/admin/v1/members" | grep -q '"node":"node-3".*jobboard'; }
wait_for 10 reports_arrived
# Node 1 passed on that the target leaves; node 3 has just started and knows nothing of it.
send_load left 2 "$(caller_of 1)"
expect "requests to a target after it said that it leaves" "$before" "$(report_of 3 total)"
echo "target limit: all checks passed"
