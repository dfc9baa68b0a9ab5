#!/usr/bin/env bash
# Large request bodies through two nodes: whole and unchanged, at most once, and refused before they cross the
# network if they can't run. Callers that leave or stall in the middle of a body hold nothing up.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-26200}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
start_small_mesh

# upload ID BYTES [CURL OPTIONS]: POSTs a body of that size through node 1, which has no target; prints status and
# outcome, and leaves the answer in $MESH_DIR/answer-ID.
upload() {
  local id=$1 size=$2
  shift 2
  head -c "$size" /dev/zero | tr '\0' 'x' |
    curl -s -o "$MESH_DIR/answer-$id" -w '%{http_code} %header{sequoiastep-outcome}' --data-binary @- \
      -H "X-Request-Id: $id" "$@" "http://$(caller_of 1)/bookings/1"
}
# echoed ID: how many bytes of the body the target gave back.
echoed() { tr -cd x <"$MESH_DIR/answer-$1" | wc -c; }

for size in 100 16384 16385 60000 360000 3000000; do
  expect "upload of $size bytes" "200 " "$(upload "size-$size" "$size")"
  # The path and names in the answer hold no x.
  expect "bytes of $size that reached the target" "$size" "$(echoed "size-$size")"
  expect "runs of $size bytes" 1 "$(runs_of "size-$size")"
done
expect "chunked upload" "200 " "$(upload chunked 60000 -H 'Transfer-Encoding: chunked')"
expect "bytes of the chunked upload" 60000 "$(echoed chunked)"

# Many at once: each gets its own body back.
for i in $(seq 30); do upload "many-$i" $((20000 + i * 1000)) >"$MESH_DIR/many-$i" & UPLOAD_PIDS+=($!); done
wait "${UPLOAD_PIDS[@]}"
for i in $(seq 30); do
  case $(cat "$MESH_DIR/many-$i") in
    "200 ") expect "bytes of many-$i" $((20000 + i * 1000)) "$(echoed "many-$i")"; expect "runs of many-$i" 1 "$(runs_of "many-$i")" ;;
    "503 not_run") expect "runs of refused many-$i" 0 "$(runs_of "many-$i")" ;;
    *) fail "many-$i: $(cat "$MESH_DIR/many-$i")" ;;
  esac
done

# A caller that stops in the middle of its body, and one that leaves there: neither runs, and others are served.
stall() { exec 9<>"/dev/tcp/${1%:*}/${1#*:}"; printf 'POST /bookings/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nContent-Length: 60000\r\n\r\n%01000d' "$2" 0 >&9; sleep "$3"; exec 9<&-; }
for i in 1 2 3 4 5 6 7 8; do stall "$(caller_of 1)" "stalled-$i" 3 & STALL_PIDS+=($!); done
stall "$(caller_of 1)" left 0.1
expect "upload beside stalled callers" "200 " "$(upload beside 60000)"
expect "runs of an upload whose caller left in the middle" 0 "$(runs_of left)"

# The node of the target is frozen while bodies are sent to it: what is not whole there never runs.
kill -STOP "${NODE_PID[2]}" "${NODE_PID[3]}"
for i in $(seq 6); do upload "frozen-$i" 360000 -H 'Sequoiastep-Timeout-Ms: 800' >"$MESH_DIR/frozen-$i" & FROZEN_PIDS+=($!); done
sleep 1.5
kill -CONT "${NODE_PID[2]}" "${NODE_PID[3]}"
wait "${FROZEN_PIDS[@]}" "${STALL_PIDS[@]}"
sleep 0.5
for i in $(seq 6); do
  runs=$(runs_of "frozen-$i")
  case $(cat "$MESH_DIR/frozen-$i") in
    "200 ") expect "runs of frozen-$i" 1 "$runs" ;;
    "503 not_run") expect "runs of frozen-$i, reported as not run" 0 "$runs" ;;
    "504 unknown" | "502 unknown") [ "$runs" -le 1 ] || fail "frozen-$i ran $runs times" ;;
    *) fail "frozen-$i: $(cat "$MESH_DIR/frozen-$i")" ;;
  esac
done
service_available() { [ "$(upload "probe-$RANDOM" 60000)" = "200 " ]; }
wait_for 10 service_available || fail "no service after the nodes were resumed"

# Without room at the targets, bodies are refused before they are sent to the other node.
set_work 2 3000
set_work 3 3000
for i in $(seq 12); do upload "busy-$i" 100 -H 'Sequoiastep-Timeout-Ms: 4000' >/dev/null & done
sleep 0.7
expect "upload that can't be in time" "503 not_run" "$(upload late 360000 -H 'Sequoiastep-Timeout-Ms: 900')"
expect "runs of an upload that can't be in time" 0 "$(runs_of late)"
for n in 1 2 3; do kill -0 "${NODE_PID[$n]}" || fail "node $n ended"; done
echo "uploads: all checks passed"
