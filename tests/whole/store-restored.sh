#!/usr/bin/env bash
# The store comes back from a copy that lacks its newest records, and gives their offsets out again: changes of
# the configuration are in force in time, none goes back, and nodes that start find the others.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-27300}
PLATFORM_EXTRA=',"operator_record":true'
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT

store_faults() { set_log_faults "$1" || fail "the store took no $1"; }
# write_config N: the operator writes version N, also while the store rejects the nodes.
write_config() {
  local value size
  value='{"version":"r'$1'","resources":[{"resource_kind":"services","metadata":{"name":"jobboard"},"spec":{}},{"resource_kind":"routes","metadata":{"name":"jobs"},"spec":{"host":"h.example","path_prefix":"/r'$1'/","kind":"safe","timeout_ms":1000,"target_latency_ms":500,"priority":0,"max_attempts":2,"service":"jobboard"}}]}'
  size=$((7 + ${#value}))
  # The size of the record, the size of the key, the key and the value.
  { printf '\0\0'"\\x$(printf %02x $((size / 256)))\\x$(printf %02x $((size % 256)))"'\x06config'; printf %s "$value"; } |
    curl -sf --data-binary @- "http://$LOG_ADDRESS/admin/v1/append?topic=keyed.op&part=0" >/dev/null || fail "write version $1"
}
# in_force VERSION N...: the nodes hold the version.
in_force() {
  local version=$1 n
  shift
  for n in "$@"; do [ "$(node_version "$n")" = "$version" ] || return 1; done
}
# restore_from_copy VERSION...: the store is away, comes back from its copy, and the operator writes the versions again.
restore_from_copy() {
  store_faults '{"outage":true}'
  store_faults '{"restore":true}'
  for version in "$@"; do write_config "$version"; done
  store_faults '{"outage":false}'
}

start_log "$PORT_BASE" || fail "the log does not answer"
write_config 1
store_faults '{"copy":true}'
for n in 1 2 3; do start_node $n "node-$n" east "east-$n"; done
for n in 1 2 3; do wait_for 20 node_is_ready $n || fail "node $n is not ready"; done
write_config 2
write_config 3
wait_for 5 in_force 3 1 2 3 || fail "version 3 is not in force"

# Three records before the restore, three after it: version 3, which is in force, and version 4.
restore_from_copy 3 4
wait_for 5 in_force 4 1 2 3 || fail "a version written just after a restore is not in force"

# The copy is older than the nodes' entries in the directory, and one more node starts.
start_node 4 node-4 east east-4
wait_for 20 node_is_ready 4 || fail "node 4 is not ready"
found() { [ "$(up_members 4)" -ge 4 ] && [ "$(up_members 1)" -ge 4 ]; }
wait_for 15 found || fail "a node that starts after a restore does not find the others"

# Twice in a row, and the operator's newest version comes last.
restore_from_copy
restore_from_copy 4 5
wait_for 5 in_force 5 1 2 3 4 || fail "a version written after two restores is not in force"
write_config 6
wait_for 5 in_force 6 1 2 3 4 || fail "a later version is not in force"
echo "store restored: all checks passed"
