#!/usr/bin/env bash
# Requests without end must not take more memory than the node may use: trailers, chunk extensions, chunk sizes with
# leading zeros, header lines, tiny chunks and writes.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-29000}
. tools/mesh.sh
. tests/whole/small-mesh.sh
. tests/whole/crowd.sh
trap stop_mesh EXIT
start_small_mesh
run_clients trailers trailers 40
run_clients extensions extensions 40
run_clients zeros zeros 40
run_clients headers headers 40
run_clients chunks chunks 40
run_clients bytes bytes 40
end_runs "hostile requests"
