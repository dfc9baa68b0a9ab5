#!/usr/bin/env bash
# Rollouts with real processes: a good version is completed and gets all requests, and no old target has work
# then, although the node that judges is killed meanwhile; a bad version is rolled back, gets a bounded share of
# the requests and none afterwards.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-27500}
PLATFORM_EXTRA=',"operator_record":true'
RATE=${RATE:-120}
DURATION=${DURATION:-20}
EXTRA=',"rollouts":{"share":0.1,"slack":50,"rollback_ms":5000}'
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT

# write_record KEY VALUE: appends a record to the operator's topic.
write_record() {
  local size=$((1 + ${#1} + ${#2}))
  { printf "\\0\\0\\x$(printf %02x $((size / 256)))\\x$(printf %02x $((size % 256)))\\x$(printf %02x ${#1})"
    printf %s%s "$1" "$2"; } |
    curl -sf --data-binary @- "http://$LOG_ADDRESS/admin/v1/append?topic=keyed.op&part=0" >/dev/null || fail "write $1"
}
order() { write_record rollout/jobboard '{"service":"jobboard","target_version":"'"$1"'","duration_s":'"$DURATION"'}'; }
# state_of: the newest state of the rollout in the store.
state_of() {
  curl -sf "http://$LOG_ADDRESS/-/log-newest?topic=keyed.status" | grep -o '"value":"[^"]*"' | cut -d'"' -f4 |
    base64 -d | sed -E 's/.*"target_version":"([^"]*)","state":"([^"]*)".*/\1 \2/'
}
state_is() { [ "$(state_of)" = "$1" ]; }
# states_written: how many records the topic of states holds.
states_written() { curl -sf "http://$LOG_ADDRESS/-/log-newest?topic=keyed.status" | grep -o '"end":[0-9]*' | cut -d: -f2; }
total_of() { report_of "$1" total; }
# knows_targets N COUNT: node N knows this many targets.
knows_targets() { [ "$(curl -sf "http://$(admin_of "$1")/admin/v1/members" | grep -o '"service":"jobboard"' | wc -l)" -ge "$2" ]; }
start_load() {
  "$BIN/load" to="$(caller_of 1),$(caller_of 2),$(caller_of 3)" path=/jobs/1 rate="$RATE" seconds="$1" prefix="$2" \
    >"$MESH_DIR/load-$2.txt" &
  LOAD_PID=$!
}

start_log "$PORT_BASE" || fail "the log does not answer"
write_record config '{"version":"r1","resources":[{"resource_kind":"services","metadata":{"name":"jobboard"},"spec":{}},{"resource_kind":"routes","metadata":{"name":"jobs"},"spec":{"host":"load","path_prefix":"/jobs/","kind":"safe","timeout_ms":2000,"target_latency_ms":500,"priority":0,"max_attempts":3,"service":"jobboard"}}]}'
NODES=8
for n in $(seq $NODES); do start_node "$n" "node-$n" east "east-$((n % 2))" "$EXTRA"; done
for n in 1 2 3 4; do start_target "$n" jobboard work-ms=4 version=v1; done
for n in $(seq $NODES); do wait_for 20 node_is_ready "$n" || fail "node $n is not ready"; done
for n in $(seq $NODES); do wait_for 20 knows_targets "$n" 4 || fail "node $n does not know the targets"; done
sleep 3

# A bad version: half of its requests fail.
start_load $((DURATION + 6)) bad
order v2
for n in 5 6; do start_target "$n" jobboard work-ms=4 version=v2 fail-percent=50; done
reported_running() { state_is "$1 running" || grep -q "event=rollout_state_written .*version=$1 .*state=running" "$MESH_DIR"/node-*.log; }
wait_for 3 reported_running v2 || fail "the order is not reported as running: $(state_of)"
wait_for "$DURATION" state_is 'v2 rolled_back' || fail "the bad version is not rolled back: $(state_of)"
sleep 1
for n in 5 6; do BEFORE[n]=$(total_of $n); done
trial=$((BEFORE[5] + BEFORE[6]))
[ "$trial" -gt 0 ] || fail "the bad version got no request"
[ "$trial" -le $((RATE * DURATION / 10 + 50)) ] || fail "the bad version got $trial requests"
wait "$LOAD_PID"
for n in 5 6; do expect "requests of target $n after the rollback" "${BEFORE[n]}" "$(total_of $n)"; done
cat "$MESH_DIR/load-bad.txt"
grep -q 'ok=' "$MESH_DIR/load-bad.txt" || fail "no request was answered"
expect "records of states after one rollout" 2 "$(states_written)"
for n in 5 6; do kill -TERM "${TARGET_PID[$n]}"; wait "${TARGET_PID[$n]}"; done
sleep 4

# A good version, while the judge is killed. Judges depend on the service's name only, so it is the same one.
judge=$(grep -l 'event=rollout_judged ' "$MESH_DIR"/node-*.log | head -n 1 | grep -oE '[0-9]+\.log' | cut -d. -f1)
[ -n "$judge" ] || fail "no node judged the bad version"
fresh=()
for n in 5 6 7 8; do [ "$n" = "$judge" ] || fresh+=("$n"); done
fresh=("${fresh[@]:0:2}")
old=()
for n in 1 2 3 4; do [ "$n" = "$judge" ] || old+=("$n"); done
start_load $((DURATION + 6)) good
order v3
for n in "${fresh[@]}"; do start_target "$n" jobboard work-ms=4 version=v3; done
wait_for 3 reported_running v3 || fail "the second order is not reported as running: $(state_of)"
sleep 3
kill -KILL "${NODE_PID[$judge]}"
wait "${NODE_PID[$judge]}" 2>/dev/null
echo "rollouts: killed node $judge, which judged"
finished=no
for _ in $(seq $((DURATION * 20))); do
  if state_is 'v3 completed'; then finished=yes; break; fi
  state_is 'v3 rolled_back' && break
  sleep 0.05
done
[ $finished = yes ] || { grep -h 'event=rollout' "$MESH_DIR"/node-*.log | tail -n 20; fail "the good version is not completed: $(state_of)"; }
for n in "${old[@]}"; do
  expect "requests at work at old target $n" 0 "$(report_of "$n" running)"
  BEFORE[n]=$(total_of "$n")
done
wait "$LOAD_PID"
for n in "${old[@]}"; do expect "requests of old target $n after completion" "${BEFORE[n]}" "$(total_of "$n")"; done
cat "$MESH_DIR/load-good.txt"
expect "records of states after two rollouts" 4 "$(states_written)"
"$BIN/sequoiastep" rollouts --node "$(admin_of 1)" | grep -q 'service jobboard: version v3 after v1, phase completed, stored true' ||
  fail "the command rollouts says: $("$BIN/sequoiastep" rollouts --node "$(admin_of 1)")"
for n in "${fresh[@]}"; do [ "$(total_of "$n")" -gt "$((RATE * 3))" ] || fail "target $n of the completed version got $(total_of "$n") requests only"; done
echo "rollouts: all checks passed"
