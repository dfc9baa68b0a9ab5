#!/usr/bin/env bash
# Answers that clients don't read must not take more memory than the nodes may use: large answers read slowly or
# not at all, and pipelined requests whose answers are never read.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-29200}
. tools/mesh.sh
. tests/whole/small-mesh.sh
. tests/whole/crowd.sh
trap stop_mesh EXIT
start_small_mesh slots=64
start_target 1 bulk answer-bytes=4000000 slots=64
sed -i 's|"jobboard":{"queue":8,"queue_ms":500}|&,"bulk":{"queue":8,"queue_ms":500}|; s|"clusters":{|&"bulk":{"service":"bulk"},|; s|"routes":\[|&{"prefix":"/bulk","cluster":"bulk","repeat":"safe","timeout_ms":2000},|' "$MESH_DIR/base.json"
bulk_is_known() { curl -sf "http://$(admin_of 1)/admin/v1/members" | grep -q '"service":"bulk"'; }
wait_for 20 bulk_is_known || fail "the large target is not known"
"$BIN/sequoiastep" publish --node "$(admin_of 1)" --base "$MESH_DIR/base.json" --wait >/dev/null || fail "publish"
run_clients no-read no-read 40 path=/bulk/1
run_clients slow-read slow-read 40 path=/bulk/1
run_clients pipeline-small pipeline 40
run_clients pipeline-bodies pipeline 40 body-bytes=12000
run_clients pipeline-large pipeline 40 path=/bulk/1
end_runs "hostile answers"
