#!/usr/bin/env bash
# Keys of workspaces through real nodes: unknown keys are refused before anything is passed on, targets get the
# workspace's name and never a key, and a key that a new version removes is refused while callers go on. No key
# appears in logs or metrics.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-27400}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
start_small_mesh

# publish WORKSPACES: replaces the workspaces of the configuration in force on all nodes.
publish() {
  cat >"$MESH_DIR/workspaces.json" <<JSON
{"services":{"jobboard":{"queue":8,"queue_ms":500}},"clusters":{"jobs":{"service":"jobboard"}},"workspaces":$1,
 "routes":[{"prefix":"/jobs","cluster":"jobs","repeat":"safe","timeout_ms":2000},
           {"prefix":"/bookings","cluster":"jobs","repeat":"never","timeout_ms":2000},
           {"prefix":"/open","cluster":"jobs","repeat":"safe","timeout_ms":2000,"public":true}]}
JSON
  "$BIN/sequoiastep" publish --node "$(admin_of 1)" --base "$MESH_DIR/workspaces.json" --wait >/dev/null || fail "publish $1"
}
# get NODE PATH ID [CURL OPTIONS]: prints the status; the answer is left in $MESH_DIR/answer.
get() {
  local node=$1 path=$2 id=$3
  shift 3
  curl -s -o "$MESH_DIR/answer" -w '%{http_code} %header{sequoiastep-outcome}' -H "X-Request-Id: $id" "$@" "http://$(caller_of "$node")$path"
}
# answered FIELD: what the target got in that field.
answered() { grep -o "\"$1\":\"[^\"]*\"" "$MESH_DIR/answer" | cut -d'"' -f4; }
KEY=Sequoiastep-Credential
NAME=Sequoiastep-Tenant

expect "no key without workspaces" "200 " "$(get 1 /jobs/1 free)"
publish '{"mill":{"keys":["mill-key-old","mill-key-new"]},"farm":{"keys":["farm-key"]}}'
for node in 1 2 3; do
  expect "known key at node $node" "200 " "$(get $node /jobs/1 known-$node -H "$KEY: farm-key" -H "$NAME: mill")"
  expect "workspace at the target of node $node" farm "$(answered workspace)"
  expect "key at the target of node $node" "" "$(answered workspace_key)"
  expect "no key at node $node" "401 not_run" "$(get $node /jobs/1 none-$node)"
  expect "unknown key at node $node" "401 not_run" "$(get $node /bookings/1 unknown-$node -X POST -H "$KEY: farm-kex")"
  expect "empty key at node $node" "401 not_run" "$(get $node /jobs/1 empty-$node -H "$KEY;")"
  expect "two keys at node $node" "401 not_run" "$(get $node /jobs/1 two-$node -H "$KEY: farm-key" -H "$KEY: mill-key-old")"
  expect "public route at node $node" "200 " "$(get $node /open/1 open-$node -H "$KEY: farm-kex" -H "$NAME: mill")"
  expect "workspace on a public route" "" "$(answered workspace)"
  expect "key on a public route" "" "$(answered workspace_key)"
done
case $(get 1 /jobs/1 long -H "$KEY: $(head -c 12000 /dev/zero | tr '\0' k)") in
  401*) ;;
  *) fail "a long key" ;;
esac
for id in none unknown empty two; do
  for node in 1 2 3; do expect "runs of $id-$node" 0 "$(runs_of $id-$node)"; done
done

# The stored response of an idempotency key belongs to its workspace.
issued=$("$BIN/sequoiastep" keys --node "$(caller_of 1)")
expect "first request under a key" "200 " "$(get 1 /bookings/1 owned -X POST -H "Idempotency-Key: $issued" -H "$KEY: farm-key")"
expect "repeat by its workspace" "200 " "$(get 3 /bookings/1 owned -X POST -H "Idempotency-Key: $issued" -H "$KEY: farm-key")"
expect "the key at another workspace" "422 not_run" "$(get 3 /bookings/1 owned -X POST -H "Idempotency-Key: $issued" -H "$KEY: mill-key-new")"
expect "runs under the key" 1 "$(runs_of owned)"

# Rotation: callers that use the new key are served all the while, the old one is refused once it is removed.
for i in $(seq 200); do
  curl -s -o /dev/null -w '%{http_code}\n' -H "$KEY: mill-key-new" "http://$(caller_of $((i % 3 + 1)))/jobs/1"
done >"$MESH_DIR/rotation" &
ROTATION=$!
publish '{"mill":{"keys":["mill-key-new"]},"farm":{"keys":["farm-key"]}}'
for node in 1 2 3; do expect "removed key at node $node" "401 not_run" "$(get $node /jobs/1 removed-$node -H "$KEY: mill-key-old")"; done
wait $ROTATION
expect "failed requests during the rotation" 0 "$(grep -vc 200 "$MESH_DIR/rotation")"

expect "a key in two workspaces" 1 "$("$BIN/sequoiastep" publish --node "$(admin_of 1)" --base <(sed 's/farm-key/mill-key-new/' "$MESH_DIR/workspaces.json") >"$MESH_DIR/twice" 2>&1; echo $?)"
metrics() { for n in 1 2 3; do curl -sf "http://$(admin_of $n)/admin/v1/metrics"; curl -sf "http://$(admin_of $n)/admin/v1/spans"; done; }
metrics >"$MESH_DIR/metrics"
grep -q 'unauthorized_total [1-9]' "$MESH_DIR/metrics" || fail "refused requests are not counted"
grep -q 'event=request_unauthorized .*key_hash=[0-9a-f]\{8\}' "$MESH_DIR"/node-*.log || fail "refused requests are not logged"
for key in mill-key-old mill-key-new farm-key farm-kex; do
  expect "places with the key $key" 0 "$(cat "$MESH_DIR"/node-*.log "$MESH_DIR"/node-*.err "$MESH_DIR/metrics" "$MESH_DIR/twice" | grep -c "$key")"
done
echo "keys of workspaces: refused, named, rotated and removed as configured"
