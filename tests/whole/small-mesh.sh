# A mesh of three nodes for end-to-end tests: node 1 has no target, nodes 2 and 3 have one each.
# Source it after tools/mesh.sh.

# fail MESSAGE...: prints the message and the ends of the logs, and exits.
fail() {
  echo "failed: $*"
  grep -hv "^time_ms=" "$MESH_DIR"/*.log | tail -n 5
  tail -n 5 "$MESH_DIR"/*.log
  exit 1
}

# expect NAME EXPECTED ACTUAL: fails if the two values differ.
expect() { [ "$2" = "$3" ] || fail "$1: expected '$2', got '$3'"; }

# start_small_mesh [TARGET_OPTION=VALUE...]: starts the mesh and publishes its first configuration.
start_small_mesh() {
  start_log "$PORT_BASE" || fail "the log does not answer"
  start_node 1 node-1 east east-a "${EXTRA:-}"
  start_node 2 node-2 east east-b "${EXTRA:-}"
  start_node 3 node-3 west west-a "${EXTRA:-}"
  start_target 2 jobboard "$@"
  start_target 3 jobboard "$@"
  local n
  for n in 1 2 3; do wait_for 20 node_is_ready $n || fail "node $n is not ready"; done
  cat >"$MESH_DIR/base.json" <<EOF
{"services":{"jobboard":{"queue":8,"queue_ms":500}},"clusters":{"jobs":{"service":"jobboard"}},
 "routes":[{"prefix":"/jobs","cluster":"jobs","repeat":"safe","timeout_ms":2000},
           {"prefix":"/bookings","cluster":"jobs","repeat":"never","timeout_ms":2000}]}
EOF
  all_discovered() { [ "$(up_members 1)" -ge 3 ] && [ "$(curl -sf "http://$(admin_of 1)/admin/v1/members" | grep -o '"service":"jobboard"' | wc -l)" -ge 2 ]; }
  wait_for 20 all_discovered || fail "the nodes have not discovered each other"
  "$BIN/sequoiastep" publish --node "$(admin_of 1)" --base "$MESH_DIR/base.json" --wait >/dev/null || fail "publish"
}

# runs_of ID: how often the targets ran the request with this X-Request-Id, by their own counts.
runs_of() {
  local n total=0 runs
  for n in 2 3; do
    runs=$(report_of $n "$1")
    total=$((total + ${runs:-0}))
  done
  echo "$total"
}

# set_work N MS: sets the service time of target N.
set_work() { curl -s -d "$2" "http://$(target_of "$1")/standin/work" >/dev/null; }
