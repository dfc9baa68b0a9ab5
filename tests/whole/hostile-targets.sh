#!/usr/bin/env bash
# What targets and strangers on the port for nodes send without end must not take more memory than a node may use:
# headers, trailers, chunk extensions, interim answers and bodies of targets; long frames before a Hello.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-29600}
. tools/mesh.sh
. tests/whole/small-mesh.sh
. tests/whole/crowd.sh
SECONDS_PER_RUN=3
trap stop_mesh EXIT
start_small_mesh
sed -i 's|"jobboard":{"queue":8,"queue_ms":500}|&,"endless":{"queue":64,"queue_ms":500}|; s|"clusters":{|&"endless":{"service":"endless"},|; s|"routes":\[|&{"prefix":"/endless","cluster":"endless","repeat":"safe","timeout_ms":2000},|' "$MESH_DIR/base.json"
announce() { curl -sf -d '{"service":"endless","address":"'"$(target_of 1)"'","slots":32,"ttl_ms":60000,"state":"up"}' "http://$(announce_of 1)/target/v1/announce"; }
announce >/dev/null || fail "the endless target can't be announced"
endless_is_known() { curl -sf "http://$(admin_of 1)/admin/v1/members" | grep -q '"service":"endless"'; }
wait_for 20 endless_is_known || fail "the endless target is not known"
"$BIN/sequoiastep" publish --node "$(admin_of 1)" --base "$MESH_DIR/base.json" --wait >/dev/null || fail "publish"

# run_target BEHAVIOUR: a target of node 1 whose answers misbehave, with a crowd that asks for them.
run_target() {
  "$BIN/hostile" listen="$(target_of 1)" behaviour="$1" seconds=$((SECONDS_PER_RUN + 1)) >"$MESH_DIR/target-$1" &
  local target=$!
  MESH_PIDS+=("$target")
  run_clients "target-$1" names 40 path=/endless
  kill "$target" 2>/dev/null
  wait "$target" 2>/dev/null
}
for behaviour in headers trailers extensions interim body; do run_target $behaviour; done
run_crowd frames "$BIN/hostile" to="$(peer_of 2)" behaviour=frames clients=40 seconds="$SECONDS_PER_RUN"
end_runs "hostile targets"
