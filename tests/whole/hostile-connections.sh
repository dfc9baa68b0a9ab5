#!/usr/bin/env bash
# Clients that announce bodies and never send them, stop in the middle, leave connections open, close one side or
# reset must not exhaust a node's memory or descriptors; nor must ever new names.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-29400}
. tools/mesh.sh
. tests/whole/small-mesh.sh
. tests/whole/crowd.sh
# The limit of descriptors of the nodes is below their connection limit, as on hosts with a low default.
DESCRIPTOR_LIMIT=160
DESCRIPTOR_BOUND=$((DESCRIPTOR_LIMIT - 16))
trap stop_mesh EXIT
ulimit -Sn "$DESCRIPTOR_LIMIT"
start_small_mesh
ulimit -Sn "$(ulimit -Hn)"
run_clients open open 300
run_clients announced announced 60 body-bytes=4000000
run_clients cut cut 40 body-bytes=400000
run_clients half-closed half-closed 40 body-bytes=4000
run_clients resets resets 40 body-bytes=4000
run_clients names names 40
end_runs "hostile connections"
