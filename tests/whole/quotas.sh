#!/usr/bin/env bash
# Quotas of workspaces over three nodes: a surge, a workspace within its quota, and nodes that are killed and
# paused meanwhile. The targets count what arrives. Each check holds on a slow machine too.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-27100}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
EXTRA=',"quotas":{"window_ms":5000,"over":0.1,"slack":20}'
start_small_mesh

RATE=20
BURST=10
# Most requests in any 5 s, and so in any 4 s.
ALLOWED=$(((RATE * 5 + BURST) * 11 / 10 + 20))
publish_quota() {
  cat >"$MESH_DIR/quota.json" <<JSON
{"services":{"jobboard":{"queue":8,"queue_ms":500}},"clusters":{"jobs":{"service":"jobboard"}},
 "workspaces":{"acme":{"keys":["key-acme"],"rate_per_s":$1,"burst":$2},"other":{"keys":["key-other"],"rate_per_s":200,"burst":200},
               "free":{"keys":["key-free"]}},
 "routes":[{"prefix":"/jobs","cluster":"jobs","repeat":"safe","timeout_ms":2000}]}
JSON
  "$BIN/sequoiastep" publish --node "$(admin_of 1)" --base "$MESH_DIR/quota.json" --wait >/dev/null || fail "publish"
}
headers_of() { echo "Sequoiastep-Credential:key-$1,Sequoiastep-Tenant:$1"; }
ALL_NODES="$(caller_of 1),$(caller_of 2),$(caller_of 3)"
# send_load NAME WORKSPACE RATE SECONDS NODES: the result is in $MESH_DIR/NAME.txt.
send_load() {
  "$BIN/load" to="$5" path=/jobs/1 rate="$3" seconds="$4" prefix="$1" headers="$(headers_of "$2")" >"$MESH_DIR/$1.txt"
  echo "$1: $(cat "$MESH_DIR/$1.txt")"
}
count_of() { grep -oE " $2=[0-9]+" "$MESH_DIR/$1.txt" | cut -d= -f2 | grep . || echo 0; }
total() { echo $(($(report_of 2 total) + $(report_of 3 total))); }
# get NODE WORKSPACE: prints status, Retry-After and outcome of one request.
get() {
  curl -s -o /dev/null -D - -H "Sequoiastep-Credential: key-$2" -H "Sequoiastep-Tenant: $2" "http://$(caller_of "$1")/jobs/1" | tr -d '\r' |
    awk 'NR==1 {print $2} tolower($1)=="retry-after:" || tolower($1)=="sequoiastep-outcome:" {print tolower($1), $2}'
}
admits() { [ "$(get "$1" "$2" | head -1)" = 200 ]; }

publish_quota $RATE $BURST
for n in 1 2 3; do wait_for 20 admits $n acme || fail "node $n admits nothing"; done
sleep 5

# A surge: 10 s far above the quota, while another workspace stays within its own.
before=$(total)
send_load within other 20 10 "$ALL_NODES" & WITHIN=$!
send_load surge acme 100 10 "$ALL_NODES"
wait $WITHIN
ok=$(count_of surge ok)
[ "$ok" -le $((2 * ALLOWED)) ] || fail "$ok requests beyond the quota were served in two windows"
# Not a measure of speed: half of what the quota allows.
[ "$ok" -ge $((RATE * 10 / 2)) ] || fail "only $ok requests within the quota were served"
[ "$(count_of surge not_run)" -gt 0 ] || fail "no request was refused as not run"
expect "requests that were neither served nor refused" 1000 "$((ok + $(count_of surge not_run)))"
expect "served within another quota" 200 "$(count_of within ok)"
expect "requests that reached targets" "$((before + ok + 200))" "$(total)"

# A refusal names a time and promises that the request has not run.
refused() { get 1 acme >"$MESH_DIR/refusal"; grep -qx 429 "$MESH_DIR/refusal"; }
for _ in $(seq 200); do refused && break; done
grep -qx 429 "$MESH_DIR/refusal" || fail "no refusal in 200 requests"
grep -qE '^retry-after: [0-9]+\.[0-9]+$' "$MESH_DIR/refusal" || fail "no Retry-After: $(cat "$MESH_DIR/refusal")"
grep -qx 'sequoiastep-outcome: not_run' "$MESH_DIR/refusal" || fail "no outcome not_run"
for _ in $(seq 50); do expect "a workspace without quota" 200 "$(get 1 free | head -1)"; done
curl -sf "http://$(admin_of 1)/admin/v1/metrics" >"$MESH_DIR/metrics.txt"
grep -q 'quota_requests_total{workspace="acme",result="refused"} [1-9]' "$MESH_DIR/metrics.txt" || fail "no metric of refusals"
grep -hq 'quota_refused.*workspace=acme' "$MESH_DIR"/node-1.log || fail "no log line of a refusal"

# Faults of the quota's owner during a surge at another node: it is paused, and killed and restarted.
OWNER=$(grep -h 'quota_refused.*workspace=acme' "$MESH_DIR"/node-*.log | tail -n 1 | grep -oE 'owner=node-[123]' | grep -oE '[123]$')
[ -n "$OWNER" ] || fail "no log line names the owner"
REST=$(for n in 1 2 3; do [ "$n" = "$OWNER" ] || caller_of $n; done | paste -sd,)
# faulty_load NAME COMMAND: in a load of 12 s with a fault, at most three windows' worth is served.
faulty_load() {
  send_load "$1" acme 80 12 "$REST" & LOAD_PID=$!
  sleep 3
  "$2"
  wait $LOAD_PID
  ok=$(count_of "$1" ok)
  [ "$ok" -le $((3 * ALLOWED)) ] || fail "$1: $ok requests beyond the quota were served in three windows"
}
pause_owner() { kill -STOP "${NODE_PID[$OWNER]}"; sleep 5; kill -CONT "${NODE_PID[$OWNER]}"; }
declare -A PLACE=([1]="east east-a" [2]="east east-b" [3]="west west-a")
restart_owner() {
  kill -KILL "${NODE_PID[$OWNER]}"
  # shellcheck disable=SC2086
  start_node "$OWNER" "node-$OWNER" ${PLACE[$OWNER]} "$EXTRA"
}
faulty_load paused pause_owner
faulty_load restarted restart_owner
for n in 1 2 3; do
  wait_for 20 node_is_ready $n || fail "node $n is not ready"
  wait_for 20 admits $n acme || fail "node $n admits nothing after the faults"
done

# A lower quota binds a window after all nodes hold it.
publish_quota 4 4
sleep 6
send_load lowered acme 60 10 "$ALL_NODES"
ok=$(count_of lowered ok)
[ "$ok" -le $((2 * ((4 * 5 + 4) * 11 / 10 + 20))) ] || fail "$ok requests beyond the lower quota were served in two windows"
echo "quotas: all checks passed"
