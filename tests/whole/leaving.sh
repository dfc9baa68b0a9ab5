#!/usr/bin/env bash
# A target that left stays out of use, whatever becomes of the node that acknowledged it; a sound one is soon back.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-28700}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
start_small_mesh
# Target 3 reports only what this script sends in its name.
kill -TERM "${TARGET_PID[3]}"
wait "${TARGET_PID[3]}"
start_process target-3 "$BIN/standintarget" listen="$(target_of 3)"
TARGET_PID[3]=$LAST_PID

# post PATH BODY: sends a report to node 3; prints the status.
post() { curl -s -m 1 -o /dev/null -w '%{http_code}' -d "$2" "http://$(announce_of 3)$1"; }
# beat BORN SEQUENCE STATE
beat() {
  post /-/instances/i-3/heartbeat "{\"address\":\"$(target_of 3)\",\"born\":$1,\"info\":{\"service\":\"jobboard\",\"version\":\"v1\",\
\"zone\":\"west-a\",\"capacity\":6},\"status\":{\"state\":\"$3\",\"sequence\":$2,\"warmup_left_ms\":0}}"
}
# seen_by N: what node N knows of node 3: its service and state.
seen_by() { curl -sf "http://$(admin_of "$1")/admin/v1/members" | grep -oE '"node":"node-3"[^}]*' | grep -oE '"(service|state)":"[^"]*"' | tr '\n' ' '; }
in_use() { seen_by 1 | grep -q '"service":"jobboard"' && seen_by 1 | grep -q '"state":"up"'; }
# restart_node_3: kills the node and starts it again after 0.2 s.
restart_node_3() {
  kill -KILL "${NODE_PID[3]}"
  wait "${NODE_PID[3]}" 2>/dev/null
  sleep 0.2
  start_node 3 node-3 west west-a
  wait_for 20 node_is_ready 3 || fail "node 3 did not come back"
}
# expect_not_used NAME: callers' requests reach target 2 only.
expect_not_used() {
  local before
  before=$(report_of 3 total)
  for i in $(seq 100); do curl -s -m 2 -o /dev/null "http://$(caller_of 1)/jobs/$i"; done
  expect "requests at the target that left: $1" "$before" "$(report_of 3 total)"
}

wait_for 15 bash -c "! curl -sf http://$(admin_of 1)/admin/v1/members | grep -oE '\"node\":\"node-3\"[^}]*' | grep -q jobboard" || fail "target 3 did not lapse"
expect "first report" 200 "$(beat 1000 1 ready)"
wait_for 5 in_use || fail "target 3 is not in use"

# Guards against a leave that is forgotten with the process that acknowledged it.
expect "late report's predecessor" 200 "$(beat 1000 2 ready)"
expect "leave" 200 "$(post /-/instances/i-3/deregister '{"born":1000}')"
restart_node_3
expect "late report after the restart" 200 "$(beat 1000 3 ready)"
sleep 0.7
in_use && fail "a target that had left is in use after its node's restart: $(seen_by 1)"
expect_not_used "after a restart"
restart_node_3
expect "late report after the second restart" 200 "$(beat 1000 4 ready)"
sleep 0.7
expect_not_used "after a second restart"

# A new incarnation is a new target. A sound one is in use soon after its node's restart.
expect "report of a new incarnation" 200 "$(beat 2000 1 ready)"
wait_for 2 in_use || fail "the new incarnation is not in use: $(seen_by 1)"
restart_node_3
expect "report to the restarted node" 200 "$(beat 2000 7 ready)"
wait_for 2 in_use || fail "a sound target is not in use after its node's restart: $(seen_by 1)"

# The same for a target that reports that it drains.
expect "draining" 200 "$(beat 2000 9 draining)"
restart_node_3
expect "late report from before the draining" 200 "$(beat 2000 8 ready)"
sleep 0.7
in_use && fail "a target that drained is in use after its node's restart: $(seen_by 1)"
expect_not_used "draining, after a restart"
echo "leaving: all checks passed"
