#!/usr/bin/env bash
# What a caller is told, against the targets' own record of what ran: kills, freezes and refusals at
# each step of a call, then a storm of them. `not_run` must mean 0 runs, 200 exactly 1, and a request
# that may not be repeated never runs twice.
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
# One target only, so that the step under test is the one that is met.
only_target() {
  drain_target=$((5 - $1))
  curl -s -X POST "http://$(target_of $drain_target)/standin/drain" >/dev/null
  gone() { [ "$(curl -sf "http://$(admin_of 1)/admin/v1/members" | grep -o '"state":"up"[^}]*"service":"jobboard"' | wc -l)" -eq 1 ]; }
  wait_for 10 gone || fail "target $drain_target did not drain"
}
cancelled() { curl -sf "http://$(target_of "$1")/standin/runs" | grep -oE '"cancelled":[0-9]+' | cut -d: -f2; }

expect "plain" "200 " "$(send plain)"
expect "runs of plain" 1 "$(runs_of plain)"
only_target 3
expect "through the one target left" "200 " "$(send one)"

set_work 3 400
expect "deadline in the run" "504 unknown" "$(send deadline -H 'Sequoiastep-Timeout-Ms: 100')"
expect "runs of deadline" 1 "$(runs_of deadline)"
wait_for 5 test "$(cancelled 3)" -ge 1 || fail "the deadline did not free the slot"

# A caller that leaves frees its slot if the request may be repeated. One that may run only once is
# not broken off in the run: it ends by itself.
before=$(cancelled 3)
curl -s -o /dev/null -m 0.1 -H "X-Request-Id: left-safe" "http://$(caller_of 1)/jobs/1"
freed() { [ "$(cancelled 3)" -gt "$before" ]; }
wait_for 5 freed || fail "a caller that left did not free its slot"
before=$(cancelled 3)
send left -m 0.1 >/dev/null
sleep 0.6
expect "a request that may run once was broken off" "$before" "$(cancelled 3)"
expect "runs of left" 1 "$(runs_of left)"

# The same at the node beside the target: the caller of its own target leaves in the run and in the queue.
for i in $(seq 12); do curl -s -o /dev/null -m 0.1 "http://$(caller_of 3)/jobs/$i" & LEAVING+=($!); done
wait "${LEAVING[@]}"
expect "after callers of the node's own target left" "200" "$(curl -s -o /dev/null -w '%{http_code}' "http://$(caller_of 3)/jobs/1")"
kill -0 "${NODE_PID[3]}" || fail "the node ended when callers of its own target left"

# More than slots and queue can take: the rest is turned away, and was not run.
for i in $(seq 40); do send "full-$i" >"$MESH_DIR/full-$i" & FULL+=($!); done
wait "${FULL[@]}"
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
most=$(curl -sf "http://$(target_of 3)/standin/runs" | grep -oE '"most_running":[0-9]+' | cut -d: -f2)
[ "$most" -le 6 ] || fail "the target ran $most at once in 6 slots"

# The target is killed while it runs the request.
send killed >"$MESH_DIR/killed" & SENDER=$!
sleep 0.15
kill -KILL "${TARGET_PID[3]}"
wait $SENDER
expect "target killed in the run" "502 unknown" "$(cat "$MESH_DIR/killed")"
# The dead target still counts as announced: nothing of the next request is sent.
expect "target dead" "503 not_run" "$(send dead)"
start_target 3 jobboard work-ms=400
served() { [ "$(send probe-$RANDOM)" = "200 " ]; }
wait_for 10 served || fail "no service after the target's return"

# The node beside the target is frozen, and thawed after the deadline: the request must not start late.
kill -STOP "${NODE_PID[3]}"
expect "far node frozen" "504 unknown" "$(send frozen -H 'Sequoiastep-Timeout-Ms: 300')"
sleep 0.5
kill -CONT "${NODE_PID[3]}"
wait_for 15 served || fail "no service after the thaw"
expect "runs of a request whose deadline passed in the freeze" 0 "$(runs_of frozen)"

# The node beside the target is killed while the target runs the request.
send cut >"$MESH_DIR/cut" & SENDER=$!
sleep 0.15
kill -KILL "${NODE_PID[3]}"
wait $SENDER
expect "far node killed in the run" "502 unknown" "$(cat "$MESH_DIR/cut")"
expect "runs of cut" 1 "$(runs_of cut)"
expect "far node dead" "503 not_run" "$(send gone)"
expect "runs of gone" 0 "$(runs_of gone)"
start_node 3 node-3 west west-a
wait_for 15 served || fail "no service after the node's return"

# A storm: both targets, kills and freezes while requests come.
set_work 3 5
start_storm_target() { start_process target-2b "$BIN/standintarget" listen="$(target_of 12)" node="$(announce_of 2)" service=jobboard work-ms=5; }
kill -KILL "${TARGET_PID[2]}"
start_storm_target
runs_everywhere() {
  local total=0 n runs
  for n in 12 3; do
    runs=$(curl -sf "http://$(target_of $n)/standin/runs" | grep -oE "\"$1\":[0-9]+" | cut -d: -f2)
    total=$((total + ${runs:-0}))
  done
  echo $total
}
sleep 1
REQUESTS=200
(for i in $(seq $REQUESTS); do send "storm-$i" -H 'Sequoiastep-Timeout-Ms: 400' >"$MESH_DIR/storm-$i" & sleep 0.02; done; wait) & STORM=$!
for round in 1 2; do
  sleep 0.5
  kill -STOP "${NODE_PID[2]}"; sleep 0.6; kill -CONT "${NODE_PID[2]}"
  sleep 0.3
  kill -KILL "${NODE_PID[3]}"; sleep 0.3; start_node 3 node-3 west west-a
done
wait $STORM
declare -A SEEN
for i in $(seq $REQUESTS); do
  answer=$(cat "$MESH_DIR/storm-$i")
  runs=$(runs_everywhere "storm-$i")
  SEEN[$answer]=$((${SEEN[$answer]:-0} + 1))
  [ "$runs" -le 1 ] || fail "storm-$i ran $runs times"
  case $answer in
    "200 ") expect "runs of storm-$i" 1 "$runs" ;;
    "503 not_run") expect "runs of storm-$i, said not run" 0 "$runs" ;;
    "504 unknown" | "502 unknown") ;;
    *) fail "storm-$i: $answer" ;;
  esac
done
for answer in "${!SEEN[@]}"; do echo "storm: ${SEEN[$answer]} x $answer"; done
echo "outcomes: all as expected"
