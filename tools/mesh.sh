# Shell functions that run a mesh of nodes and stand-ins on loopback. Set BIN and PORT_BASE before sourcing
# it. stop_mesh ends every process that these functions started.
MESH_DIR=$(mktemp -d)
MESH_PIDS=()
declare -A NODE_PID TARGET_PID

# start_process LOGNAME COMMAND...: runs the command in the background and sets LAST_PID to its process ID.
start_process() {
  local name=$1
  shift
  "$@" >"$MESH_DIR/$name.log" 2>"$MESH_DIR/$name.err" &
  LAST_PID=$!
  MESH_PIDS+=("$LAST_PID")
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
wait_for() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.05
  done
}

# start_log PORT [OPTION=VALUE...]
start_log() {
  LOG_ADDRESS="127.0.0.1:$1"
  shift
  start_process log "$BIN/standinlog" listen="$LOG_ADDRESS" "$@"
  wait_for 5 curl -sf "http://$LOG_ADDRESS/-/log-newest?topic=keyed.none"
}

# set_log_faults JSON: injects faults into the log.
set_log_faults() { curl -sf -d "$1" "http://$LOG_ADDRESS/admin/v1/faults" >/dev/null; }

# report_of N FIELD: a number that target N reports: a count of its own, or how often it ran a request.
report_of() { curl -sf "http://$(target_of "$1")/standin/runs" | grep -oE "\"$2\":[0-9]+" | cut -d: -f2; }

# Addresses of node N: its listeners for callers, targets, admin and peers, and that of its target.
port() { echo $((PORT_BASE + 10 * $1 + $2)); }
caller_of() { echo "127.0.0.1:$(port "$1" 0)"; }
announce_of() { echo "127.0.0.1:$(port "$1" 1)"; }
admin_of() { echo "127.0.0.1:$(port "$1" 2)"; }
peer_of() { echo "127.0.0.1:$(port "$1" 3)"; }
target_of() { echo "127.0.0.1:$(port "$1" 4)"; }

# start_node N NAME REGION DOMAIN [EXTRA_JSON]; PLATFORM_EXTRA adds settings of the platform.
start_node() {
  local n=$1 name=$2 region=$3 domain=$4 extra=${5:-}
  cat >"$MESH_DIR/$name.json" <<EOF
{"mesh":"demo","node":"$name","region":"$region","failure_domain":"$domain",
 "caller":{"listen":"$(caller_of "$n")"},"target":{"listen":"$(announce_of "$n")"},
 "admin":{"listen":"$(admin_of "$n")"},"peer":{"listen":"$(peer_of "$n")"},
 "platform":{"log":"$LOG_ADDRESS"${PLATFORM_EXTRA:-}}$extra}
EOF
  start_process "$name" "$BIN/sequoiastep" node --settings "$MESH_DIR/$name.json"
  NODE_PID[$n]=$LAST_PID
}

# start_target N SERVICE [OPTION=VALUE...]
start_target() {
  local n=$1 service=$2
  shift 2
  start_process "target-$n" "$BIN/standintarget" listen="$(target_of "$n")" \
    node="$(announce_of "$n")" service="$service" "$@"
  TARGET_PID[$n]=$LAST_PID
}

# What node N reports: its configuration version, whether it is ready, and how many members it sees as up.
node_version() { curl -sf "http://$(admin_of "$1")/admin/v1/status" | grep -o '"version":[0-9]*' | cut -d: -f2; }
node_is_ready() { curl -sf "http://$(admin_of "$1")/admin/v1/status" | grep -q '"ready":true'; }
up_members() { curl -sf "http://$(admin_of "$1")/admin/v1/members" | grep -o '"state":"up"' | wc -l; }

# Resumes frozen processes, so that they can handle SIGTERM, and kills those that don't exit within 5 s.
stop_mesh() {
  local pid
  for pid in "${MESH_PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -TERM "$pid" 2>/dev/null
  done
  for pid in "${MESH_PIDS[@]}"; do
    for _ in $(seq 100); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.05
    done
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$MESH_DIR"
}
