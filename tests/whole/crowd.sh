# Runs a crowd of misbehaving clients (tools/Hostile.cpp) against the small mesh and checks what does not
# depend on the machine's speed: each node lives, its peak memory and open descriptors stay under a bound taken
# from its settings, and an ordinary request is answered afterwards. Source it after tests/whole/small-mesh.sh.

# Settings of the nodes. Peak memory must stay under MEMORY_MB, and open descriptors under the connection limit
# and the reserve that a node keeps for its targets, peers, log and admin.
MEMORY_MB=64
MAX_CONNECTIONS=200
RESERVED_DESCRIPTORS=64
DESCRIPTOR_BOUND=$((MAX_CONNECTIONS + RESERVED_DESCRIPTORS))
EXTRA=',"limits":{"memory_mb":'$MEMORY_MB',"max_connections":'$MAX_CONNECTIONS'}'
SECONDS_PER_RUN=4
FAILURES=()

peak_kb() { awk '/^VmHWM/{print $2}' "/proc/$1/status" 2>/dev/null; }
# The peak counts from here on, so that a figure belongs to one run.
reset_peak() { echo 5 >"/proc/$1/clear_refs"; }
open_descriptors() { ls "/proc/$1/fd" 2>/dev/null | wc -l; }

# most_descriptors PID: counts the descriptors of the nodes until that process ends; sets MOST_DESCRIPTORS[N].
declare -A MOST_DESCRIPTORS
most_descriptors() {
  local n count
  for n in 1 2 3; do MOST_DESCRIPTORS[$n]=0; done
  while kill -0 "$1" 2>/dev/null; do
    for n in 1 2 3; do
      count=$(open_descriptors "${NODE_PID[$n]}")
      [ "$count" -le "${MOST_DESCRIPTORS[$n]}" ] || MOST_DESCRIPTORS[$n]=$count
    done
    sleep 0.1
  done
}

served() { [ "$(curl -s -m 4 -o /dev/null -w '%{http_code}' "http://$(caller_of 1)${ORDINARY_PATH:-/jobs/1}")" = 200 ]; }

# run_crowd NAME COMMAND...: runs one crowd, prints the figures and notes what failed.
run_crowd() {
  local name=$1 n peak figures=""
  shift
  for n in 1 2 3; do reset_peak "${NODE_PID[$n]}"; done
  "$@" >"$MESH_DIR/crowd-$name" 2>&1 &
  local crowd=$!
  MESH_PIDS+=("$crowd")
  most_descriptors "$crowd"
  wait "$crowd"
  for n in 1 2 3; do
    kill -0 "${NODE_PID[$n]}" 2>/dev/null || fail "$name: node $n ended"
    peak=$(peak_kb "${NODE_PID[$n]}")
    figures+=" node-$n peak_kb=$peak descriptors=${MOST_DESCRIPTORS[$n]}"
    [ "$peak" -le $((MEMORY_MB * 1024)) ] || FAILURES+=("$name: memory of node $n")
    [ "${MOST_DESCRIPTORS[$n]}" -le "$DESCRIPTOR_BOUND" ] || FAILURES+=("$name: descriptors of node $n")
  done
  wait_for 30 served || FAILURES+=("$name: an ordinary request afterwards")
  echo "$name:$figures crowd $(cat "$MESH_DIR/crowd-$name")"
}

# run_clients NAME BEHAVIOUR CLIENTS [OPTION=VALUE...]: clients of node 1.
run_clients() {
  local name=$1 behaviour=$2 clients=$3
  shift 3
  run_crowd "$name" "$BIN/hostile" to="$(caller_of 1)" behaviour="$behaviour" clients="$clients" seconds="$SECONDS_PER_RUN" path=/jobs/1 "$@"
}

# end_runs NAME: fails if anything did.
end_runs() {
  local failure
  for failure in "${FAILURES[@]}"; do echo "failed: $failure"; done
  [ "${#FAILURES[@]}" -eq 0 ] || exit 1
  echo "$1: all checks passed"
}
