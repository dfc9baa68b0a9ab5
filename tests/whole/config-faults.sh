#!/usr/bin/env bash
# Configuration distribution under faults of real processes: log readers that are frozen or killed, an outage
# of the log, a lost append response, two operators that publish at the same time, a restart of all nodes.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-26800}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
NODES=12
start_log "$PORT_BASE" || fail "the log does not answer"
# launch_node N: starts node N in one of 3 regions with 2 failure domains each.
launch_node() {
  local region=r$(($1 % 3))
  start_node "$1" "n$1" $region "$region-d$(($1 / 3 % 2))" ',"timings":{"checkpoint_every_ms":1000}'
}
for n in $(seq $NODES); do launch_node "$n"; done
for n in $(seq $NODES); do wait_for 20 node_is_ready "$n" || fail "node $n is not ready"; done
all_discovered() { local n; for n in "$@"; do [ "$(up_members "$n")" -ge $NODES ] || return 1; done; }
wait_for 20 all_discovered 1 5 12 || fail "the nodes have not discovered each other"

# field NODE NAME: a field of the node's status.
field() { curl -sf "http://$(admin_of "$1")/admin/v1/status" | grep -oE "\"$2\":(\"[^\"]*\"|[0-9]+)" | head -1 | cut -d: -f2; }
# make_base QUEUE: a base configuration whose queue limit tells it from the others.
make_base() { echo "{\"services\":{\"s\":{\"queue\":$1}},\"clusters\":{\"c\":{\"service\":\"s\"}},\"routes\":[{\"prefix\":\"/\",\"cluster\":\"c\"}]}"; }
# publish NODE QUEUE [OPTIONS]: publishes the base with this queue limit, which must also be in the variable
# QUEUE, and prints the accepted version.
publish() {
  local node=$1
  make_base "$2" >"$MESH_DIR/base-$2.json"
  shift 2
  "$BIN/sequoiastep" publish --node "$(admin_of "$node")" --base "$MESH_DIR/base-$QUEUE.json" --json "$@" 2>/dev/null | grep -oE '"version":[0-9]+' | cut -d: -f2
}
# have_version VERSION NODE...: true if each of the nodes has the version or a newer one.
have_version() {
  local version=$1 n
  shift
  for n in "$@"; do [ "$(field "$n" version)" -ge "$version" ] || return 1; done
}
ALL=$(seq $NODES)
QUEUE=1; version=$(publish 1 1)
# shellcheck disable=SC2086
wait_for 10 have_version "$version" $ALL || fail "the first version"

for signal in STOP KILL; do
  # The readers of rank 0 of regions r1 and r2 fail at the same time.
  reader_1=$(for n in $ALL; do [ "$(field "$n" region)" = '"r1"' ] && [ "$(field "$n" reader_rank)" = 0 ] && echo "$n"; done | head -1)
  reader_2=$(for n in $ALL; do [ "$(field "$n" region)" = '"r2"' ] && [ "$(field "$n" reader_rank)" = 0 ] && echo "$n"; done | head -1)
  kill -$signal "${NODE_PID[$reader_1]}" "${NODE_PID[$reader_2]}"
  rest=$(for n in $ALL; do [ "$n" = "$reader_1" ] || [ "$n" = "$reader_2" ] || echo "$n"; done)
  first=$(echo "$rest" | head -1)
  QUEUE=$((QUEUE + 1)); version=$(publish "$first" $QUEUE)
  # shellcheck disable=SC2086
  wait_for 15 have_version "$version" $rest || fail "version $version with SIG$signal of $reader_1 and $reader_2"
  if [ $signal = STOP ]; then
    kill -CONT "${NODE_PID[$reader_1]}" "${NODE_PID[$reader_2]}"
  else
    launch_node "$reader_1"
    launch_node "$reader_2"
  fi
  # shellcheck disable=SC2086
  wait_for 20 have_version "$version" $ALL || fail "version $version after the recovery of $reader_1 and $reader_2"
  wait_for 20 all_discovered 1 5 12 || fail "members after the recovery of $reader_1 and $reader_2"
done

# During an outage of the log, nodes keep their version, a restarted node gets it from its peers, and the
# outcome of a publication is not known yet.
sed -i 's/"peer":{\([^}]*\)}/"peer":{\1,"hints":["'"$(peer_of 5)"'"]}/' "$MESH_DIR/n4.json"
set_log_faults '{"outage":true}'
kill -KILL "${NODE_PID[4]}"
start_process n4 "$BIN/sequoiastep" node --settings "$MESH_DIR/n4.json"
NODE_PID[4]=$LAST_PID
wait_for 15 node_is_ready 4 || fail "a node does not start while the log is down"
have_version "$version" 4 || fail "a node that started while the log was down is behind"
make_base 50 >"$MESH_DIR/base-50.json"
"$BIN/sequoiastep" publish --node "$(admin_of 2)" --base "$MESH_DIR/base-50.json" --publish-id during --expect "$version" >/dev/null 2>&1
expect "publish during the outage" 3 $?
set_log_faults '{"outage":false}'
"$BIN/sequoiastep" publish --node "$(admin_of 3)" --base "$MESH_DIR/base-50.json" --publish-id during --expect "$version" --wait >/dev/null || fail "publish after the outage"
version=$(field 3 version)

# The response to an append is lost: publishing again with the same ID must not create a second version.
set_log_faults '{"lose_answers":1}'
QUEUE=60; publish 6 60 --publish-id lost --expect "$version" >/dev/null
"$BIN/sequoiastep" publish --node "$(admin_of 7)" --base "$MESH_DIR/base-60.json" --publish-id lost --expect "$version" --wait >/dev/null || fail "a repeated publish after a lost append response"
version=$(field 7 version)

# Two operators publish on top of the same version: exactly one is accepted.
make_base 70 >"$MESH_DIR/base-70.json"
make_base 71 >"$MESH_DIR/base-71.json"
"$BIN/sequoiastep" publish --node "$(admin_of 8)" --base "$MESH_DIR/base-70.json" --expect "$version" >/dev/null 2>&1 & PUBLISH_PID_1=$!
"$BIN/sequoiastep" publish --node "$(admin_of 9)" --base "$MESH_DIR/base-71.json" --expect "$version" >/dev/null 2>&1 & PUBLISH_PID_2=$!
wait $PUBLISH_PID_1; exit_code_1=$?
wait $PUBLISH_PID_2; exit_code_2=$?
expect "sum of the exit codes of concurrent publications" 1 $((exit_code_1 + exit_code_2))
version=$(for n in 8 9; do field $n version; done | sort -n | tail -1)
# shellcheck disable=SC2086
wait_for 10 have_version "$version" $ALL || fail "the version of the accepted publication"

# All nodes are killed at once and restarted.
sleep 1.5 # A checkpoint is written every second here.
for n in $ALL; do kill -KILL "${NODE_PID[$n]}"; done
for n in $ALL; do launch_node "$n"; done
for n in $ALL; do wait_for 30 node_is_ready "$n" || fail "node $n did not come back"; done
# shellcheck disable=SC2086
wait_for 10 have_version "$version" $ALL || fail "the version after the restart of all nodes"
digests=$(for n in $ALL; do field "$n" digest; done | sort -u | wc -l)
expect "number of digests of one version" 1 "$digests"
echo "config faults: all checks passed at version $version"
