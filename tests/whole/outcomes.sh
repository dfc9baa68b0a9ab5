#!/usr/bin/env bash
# Compares the outcomes that callers are told with the targets' own counts of what ran: kills, freezes and
# refusals at each step of a call, then repeated kills and freezes under load. `not_run` must mean 0 runs, 200
# exactly 1, and a request that may not be repeated must never run twice.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-25800}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
start_small_mesh

# send ID [CURL OPTIONS]: POSTs through node 1, which has no target; prints status and outcome.
send() {
  local id=$1
  shift
  curl -s -o /dev/null -w '%{http_code} %header{sequoiastep-outcome}' -X POST -H "X-Request-Id: $id" "$@" "http://$(caller_of 1)/bookings/1"
}
# keep_only_target N: drains the other target, so that every call goes to the target under test.
keep_only_target() {
  drain_target=$((5 - $1))
  curl -s -X POST "http://$(target_of $drain_target)/standin/drain" >/dev/null
  one_target_up() { [ "$(curl -sf "http://$(admin_of 1)/admin/v1/members" | grep -o '"state":"up"[^}]*"service":"jobboard"' | wc -l)" -eq 1 ]; }
  wait_for 10 one_target_up || fail "target $drain_target did not drain"
}
# cancelled_count N: how many requests were cancelled while they ran at target N.
cancelled_count() { report_of "$1" cancelled; }

# avoided_count: how often node 1 began to avoid a target.
avoided_count() { grep -c 'event=target_avoided' "$MESH_DIR/node-1.log"; }

expect "plain" "200 " "$(send plain)"
expect "runs of plain" 1 "$(runs_of plain)"
keep_only_target 3
expect "through the one target left" "200 " "$(send one)"

set_work 3 400
expect "deadline during the run" "504 unknown" "$(send deadline -H 'Sequoiastep-Timeout-Ms: 100')"
expect "runs of deadline" 1 "$(runs_of deadline)"
wait_for 5 test "$(cancelled_count 3)" -ge 1 || fail "the deadline did not free the slot"

# If the caller disconnects, a request that may be repeated is cancelled and frees its slot. A request that
# may run only once is not cancelled while it runs: it ends by itself.
before=$(cancelled_count 3)
sleep 1.1 # A line of the same cause is written once a second.
avoided_before=$(avoided_count)
curl -s -o /dev/null -m 0.1 -H "X-Request-Id: left-safe" "http://$(caller_of 1)/jobs/1"
slot_freed() { [ "$(cancelled_count 3)" -gt "$before" ]; }
wait_for 5 slot_freed || fail "a caller that disconnected did not free its slot"
sleep 0.3
expect "targets avoided because a caller left" "$avoided_before" "$(avoided_count)"
before=$(cancelled_count 3)
send left -m 0.1 >/dev/null
sleep 0.6
expect "cancelled requests after the caller of a request that may run once disconnected" "$before" "$(cancelled_count 3)"
expect "runs of left" 1 "$(runs_of left)"

# The same at the node of the target: callers disconnect while their requests run and while they are queued.
for i in $(seq 12); do curl -s -o /dev/null -m 0.1 "http://$(caller_of 3)/jobs/$i" & CALLER_PIDS+=($!); done
wait "${CALLER_PIDS[@]}"
expect "after callers at the node of the target disconnected" "200" "$(curl -s -o /dev/null -w '%{http_code}' "http://$(caller_of 3)/jobs/1")"
kill -0 "${NODE_PID[3]}" || fail "the node exited when callers of its own target disconnected"

# More requests than the slots and the queue can hold: the rest is shed and must not have run.
for i in $(seq 40); do send "full-$i" >"$MESH_DIR/full-$i" & SENDER_PIDS+=($!); done
wait "${SENDER_PIDS[@]}"
shed=0
for i in $(seq 40); do
  answer=$(cat "$MESH_DIR/full-$i")
  case $answer in
    "200 ") expect "runs of full-$i" 1 "$(runs_of "full-$i")" ;;
    "503 not_run") shed=$((shed + 1)); expect "runs of shed full-$i" 0 "$(runs_of "full-$i")" ;;
    *) fail "full-$i: $answer" ;;
  esac
done
[ "$shed" -ge 20 ] || fail "only $shed of 40 were shed by 6 slots and a queue of 8"
max_running=$(report_of 3 most_running)
[ "$max_running" -le 6 ] || fail "the target ran $max_running requests at once in 6 slots"

# The target is killed while it runs the request.
send killed >"$MESH_DIR/killed" & SENDER_PID=$!
sleep 0.15
kill -KILL "${TARGET_PID[3]}"
wait $SENDER_PID
expect "target killed during the run" "502 unknown" "$(cat "$MESH_DIR/killed")"
# The killed target still counts as announced. Nothing of the next request is sent to it.
expect "target dead" "503 not_run" "$(send dead)"
start_target 3 jobboard work-ms=400
service_available() { [ "$(send probe-$RANDOM)" = "200 " ]; }
wait_for 10 service_available || fail "no service after the restart of the target"

# The target's node is frozen and resumed after the deadline: the request must not start after that.
kill -STOP "${NODE_PID[3]}"
expect "node of the target frozen" "504 unknown" "$(send frozen -H 'Sequoiastep-Timeout-Ms: 300')"
sleep 0.5
kill -CONT "${NODE_PID[3]}"
wait_for 15 service_available || fail "no service after the node was resumed"
expect "runs of a request whose deadline passed while the node was frozen" 0 "$(runs_of frozen)"

# The target's node is killed while the target runs the request.
send cut >"$MESH_DIR/cut" & SENDER_PID=$!
sleep 0.15
kill -KILL "${NODE_PID[3]}"
wait $SENDER_PID
expect "node of the target killed during the run" "502 unknown" "$(cat "$MESH_DIR/cut")"
expect "runs of cut" 1 "$(runs_of cut)"
expect "node of the target dead" "503 not_run" "$(send gone)"
expect "runs of gone" 0 "$(runs_of gone)"
start_node 3 node-3 west west-a
wait_for 15 service_available || fail "no service after the restart of the node"

# Both targets serve again. Nodes are frozen and killed repeatedly while requests arrive.
set_work 3 5
replace_target_2() { start_process target-2b "$BIN/standintarget" listen="$(target_of 12)" node="$(announce_of 2)" service=jobboard work-ms=5; }
kill -KILL "${TARGET_PID[2]}"
replace_target_2
# runs_at_both ID: runs of the request at the replaced target of node 2 and at target 3.
runs_at_both() {
  local total=0 n runs
  for n in 12 3; do
    runs=$(report_of $n "$1")
    total=$((total + ${runs:-0}))
  done
  echo $total
}
sleep 1
REQUESTS=200
(for i in $(seq $REQUESTS); do send "storm-$i" -H 'Sequoiastep-Timeout-Ms: 400' >"$MESH_DIR/storm-$i" & sleep 0.02; done; wait) & LOAD_PID=$!
for round in 1 2; do
  sleep 0.5
  kill -STOP "${NODE_PID[2]}"; sleep 0.6; kill -CONT "${NODE_PID[2]}"
  sleep 0.3
  kill -KILL "${NODE_PID[3]}"; sleep 0.3; start_node 3 node-3 west west-a
done
wait $LOAD_PID
declare -A ANSWER_COUNTS
for i in $(seq $REQUESTS); do
  answer=$(cat "$MESH_DIR/storm-$i")
  runs=$(runs_at_both "storm-$i")
  ANSWER_COUNTS[$answer]=$((${ANSWER_COUNTS[$answer]:-0} + 1))
  [ "$runs" -le 1 ] || fail "storm-$i ran $runs times"
  case $answer in
    "200 ") expect "runs of storm-$i" 1 "$runs" ;;
    "503 not_run") expect "runs of storm-$i, reported as not run" 0 "$runs" ;;
    "504 unknown" | "502 unknown") ;;
    *) fail "storm-$i: $answer" ;;
  esac
done
for answer in "${!ANSWER_COUNTS[@]}"; do echo "repeated faults: ${ANSWER_COUNTS[$answer]} x $answer"; done
echo "outcomes: all checks passed"
