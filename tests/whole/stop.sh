#!/usr/bin/env bash
# Planned stops under load: whatever a stopping node has taken from its callers gets its whole answer.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-28300}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
EXTRA=',"limits":{"max_body_bytes":12000000}'
start_small_mesh slots=16

# stop_node N: ends node N as planned; its exit must be clean.
stop_node() {
  kill -TERM "${NODE_PID[$1]}"
  wait "${NODE_PID[$1]}"
  expect "exit of node $1" 0 $?
}
# restart_node N NAME REGION DOMAIN
restart_node() {
  kill -TERM "${NODE_PID[$1]}" 2>/dev/null && wait "${NODE_PID[$1]}"
  start_node "$@" "$EXTRA"
  wait_for 20 node_is_ready "$1" || fail "node $1 did not come back"
  wait_for 20 all_discovered || fail "node $1 has not discovered the others"
}

# Guards against a stop that cuts answers while they are written to callers that read slowly.
SIZE=7500000
head -c $SIZE /dev/zero | tr '\0' 'z' >"$MESH_DIR/large"
large_ran() { [ "$(runs_of large)" = 1 ]; }
# The answer stays in the node and the kernel's buffers until the pipe is read.
curl -s -m 30 -w '%{http_code}' --data-binary @"$MESH_DIR/large" -H 'X-Request-Id: large' \
  "http://$(caller_of 1)/bookings/1" | { sleep 2.5; cat; } >"$MESH_DIR/slow" &
READER=$!
wait_for 20 large_ran || fail "the large request did not run"
sleep 0.5
stop_node 1
wait $READER
expect "status of the large answer" 200 "$(tail -c 3 "$MESH_DIR/slow")"
expect "bytes of the large answer" $SIZE "$(tr -cd z <"$MESH_DIR/slow" | wc -c)"
restart_node 1 node-1 east east-a

# Guards against a stop that drops a request of which it has read a part.
address=$(caller_of 1)
exec {half}<>"/dev/tcp/${address%:*}/${address#*:}"
printf 'POST /bookings/half HTTP/1.1\r\nHost: x\r\nX-Request-Id: half\r\nContent-Length: 10\r\n\r\n01234' >&"$half"
sleep 0.2
kill -TERM "${NODE_PID[1]}"
sleep 1.5
printf '56789' >&"$half"
expect "answer to the half-sent request" "HTTP/1.1 200 OK" "$(timeout 5 head -n 1 <&"$half" | tr -d '\r')"
exec {half}<&-
wait "${NODE_PID[1]}"
expect "exit of node 1 after a half-sent request" 0 $?
expect "runs of the half-sent request" 1 "$(runs_of half)"

# Guards against a stop that closes requests which wait for a slot without an answer.
cat >"$MESH_DIR/base.json" <<EOF2
{"services":{"jobboard":{"queue":200,"queue_ms":20000}},"clusters":{"jobs":{"service":"jobboard"}},
 "routes":[{"prefix":"/jobs","cluster":"jobs","repeat":"safe","timeout_ms":20000},
           {"prefix":"/bookings","cluster":"jobs","repeat":"never","timeout_ms":20000}]}
EOF2
EXTRA=',"timings":{"drain_ms":4000}'
# stop_with_waiting NAME N: 80 requests of 300 ms through node 1 to two targets with 2 slots each; node N is stopped.
stop_with_waiting() {
  local name=$1 n=$2 i statuses
  shift 2
  local callers=()
  for i in $(seq 80); do
    curl -s -m 20 -o /dev/null -w '%{http_code} %header{sequoiastep-outcome}' -H "X-Request-Id: $name-$i" \
      -X "$([ $((i % 2)) = 0 ] && echo POST || echo GET)" \
      "http://$(caller_of 1)/$([ $((i % 2)) = 0 ] && echo bookings || echo jobs)/$i" >"$MESH_DIR/$name-$i" &
    callers+=($!)
  done
  sleep 1
  stop_node "$n"
  wait "${callers[@]}"
  statuses=$(for i in $(seq 80); do cat "$MESH_DIR/$name-$i"; echo; done | sort | uniq -c | tr '\n' ',')
  echo "$name: $statuses"
  for i in $(seq 80); do
    case $(cat "$MESH_DIR/$name-$i") in
      "200 ") expect "runs of $name-$i" 1 "$(runs_of "$name-$i")" ;;
      "503 not_run") expect "runs of refused $name-$i" 0 "$(runs_of "$name-$i")" ;;
      *) fail "$name-$i ended without its answer: '$(cat "$MESH_DIR/$name-$i")' ($statuses)" ;;
    esac
  done
}
for n in 2 3; do kill -TERM "${TARGET_PID[$n]}"; wait "${TARGET_PID[$n]}"; start_target $n jobboard slots=2 work-ms=300; done
restart_node 1 node-1 east east-a
restart_node 2 node-2 east east-b
"$BIN/sequoiastep" publish --node "$(admin_of 1)" --base "$MESH_DIR/base.json" --wait >/dev/null || fail "publish"
sleep 1
stop_with_waiting near 1
restart_node 1 node-1 east east-a
sleep 1
stop_with_waiting far 2
echo "stop: all checks passed"
