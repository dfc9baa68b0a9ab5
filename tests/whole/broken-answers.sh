#!/usr/bin/env bash
# Answers of a target that are none in HTTP must not reach callers, through the node beside the target or through
# one of another region: the caller gets a 502 that says `unknown`, a request that may be repeated is repeated
# elsewhere, and what such an answer says of its request or its target counts for nothing.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-30000}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
FAILURES=0
check() {
  [ "$2" = "$3" ] && return
  echo "failed: $1: expected '$2', got '$3'"
  FAILURES=$((FAILURES + 1))
}

start_small_mesh
ANSWER=$MESH_DIR/answer
# answer FORMAT: what the broken target answers from now on, in the escapes of printf.
answer() {
  # shellcheck disable=SC2059
  printf "$1" >"$ANSWER.new"
  mv "$ANSWER.new" "$ANSWER"
}
SOUND='HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound'
answer "$SOUND"
# start_broken BEHAVIOUR: (re)starts the broken target.
start_broken() {
  [ -z "${BROKEN_PID:-}" ] || { kill "$BROKEN_PID"; wait "$BROKEN_PID"; } 2>/dev/null
  start_process "broken-$1" "$BIN/hostile" listen="$(target_of 1)" behaviour="$1" answer-file="$ANSWER" seconds=600
  BROKEN_PID=$LAST_PID
  wait_for 5 target_listens || fail "the broken target does not listen"
}
target_listens() { (exec 3<>"/dev/tcp/127.0.0.1/$(port 1 4)"); }
start_broken file
announce() { curl -sf -d '{"service":"'"$1"'","address":"'"$(target_of 1)"'","slots":8,"ttl_ms":600000,"state":"up"}' "http://$(announce_of 1)/target/v1/announce"; }
# announce_as SERVICE: makes the broken target one of that service, and waits until the nodes know.
announce_as() {
  announce "$1" >/dev/null || fail "the broken target can't be announced"
  local n
  for n in 1 2 3; do wait_for 20 known_at $n "$1" || fail "the broken target is not known at node $n"; done
}
known_at() { curl -sf "http://$(admin_of "$1")/admin/v1/members" | grep -o '"node":"node-1"[^}]*' | grep -q '"service":"'"$2"'"'; }
sed -i 's|"jobboard":{"queue":8,"queue_ms":500}|&,"broken":{"queue":8,"queue_ms":500}|; s|"clusters":{|&"broken":{"service":"broken"},|; s|"routes":\[|&{"prefix":"/broken","cluster":"broken","repeat":"safe","timeout_ms":2000},{"prefix":"/once","cluster":"broken","repeat":"never","timeout_ms":2000},|' "$MESH_DIR/base.json"
announce_as broken
"$BIN/sequoiastep" publish --node "$(admin_of 1)" --base "$MESH_DIR/base.json" --wait >/dev/null || fail "publish"

# ask N PATH [CURL OPTIONS]: asks node N; prints status, outcome and body, the latter unless it is a problem of ours.
ask() {
  local n=$1 path=$2
  shift 2
  : >"$MESH_DIR/body"
  curl -s -m 4 -o "$MESH_DIR/body" -w '%{http_code} %header{sequoiastep-outcome} ' "$@" "http://$(caller_of "$n")$path"
  grep -q '"type":"about:blank"' "$MESH_DIR/body" || tr -d '\0' <"$MESH_DIR/body"
}
served_by() { [ "$(ask "$1" /broken/1)" = "200  sound" ]; }
# ask_all NAME EXPECTED: asks with both kinds of route through the node beside the target and through one of another region.
ask_all() {
  local n path
  for n in 1 3; do
    for path in /broken/1 /once/1; do
      check "$1 through node $n, $path" "$2" "$(ask $n $path)"
    done
  done
}
# broken NAME FORMAT
broken() {
  answer "$2"
  ask_all "$1" "502 unknown "
}
# with_line NAME LINE: an answer that is sound but for one line of its header.
with_line() { broken "$1" "HTTP/1.1 200 OK\r\n$2\r\nContent-Length: 5\r\n\r\nwrong"; }

wait_for 10 served_by 1 || fail "node 1 does not serve: $(ask 1 /broken/1)"
wait_for 10 served_by 3 || fail "node 3 does not serve: $(ask 3 /broken/1)"
ask_all "sound answer" "200  sound"
for status in 000 099 101 600 999; do
  broken "status $status" "HTTP/1.1 $status Odd\r\nContent-Length: 5\r\n\r\nwrong"
done
for status in 0 20 2000 abc; do
  broken "status line with $status" "HTTP/1.1 $status Odd\r\nContent-Length: 5\r\n\r\nwrong"
done
with_line "blank in a name" 'X Name: 1'
with_line "blank before the colon" 'X-Name : 1'
with_line "blank at the start" ' X-Name: 1'
with_line "tab in a name" 'X\tName: 1'
with_line "NUL in a name" 'X\0Name: 1'
with_line "control byte in a name" 'X\001Name: 1'
with_line "DEL in a name" 'X\177Name: 1'
with_line "blank after Content-Length" 'Content-Length : 5'
with_line "control byte in Transfer-Encoding" 'Transfer\001-Encoding: chunked'
with_line "control byte in a value" 'X-Name: a\001b'
broken "invalid interim answer" "HTTP/1.1 000 Odd\r\n\r\n$SOUND"
broken "control byte in the reason" 'HTTP/1.1 200 O\001K\r\nContent-Length: 5\r\n\r\nwrong'
broken "two lengths" 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nwrong'
broken "broken chunk" 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nz\r\nwrong\r\n0\r\n\r\n'
for status in 100 103 104 199; do
  answer "HTTP/1.1 $status Interim\r\nX-Note: a\r\n\r\n$SOUND"
  ask_all "interim status $status" "200  sound"
done

# A broken answer is no evidence: not that the request was not run, nor that the target leaves or has a limit.
broken "invalid answer that says not executed" 'HTTP/1.1 000 Odd\r\nSequoiastep-Not-Executed: 1\r\nServer-Leaving: 1\r\nServer-Limit: 0\r\nContent-Length: 5\r\n\r\nwrong'
answer "$SOUND"
ask_all "the same target afterwards" "200  sound"

# A key whose request got a broken answer is never run again, and the answer is not kept.
answer 'HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nwrong'
key=$("$BIN/sequoiastep" keys --node "$(caller_of 1)") || fail "no key"
check "first request of a key" "502 unknown " "$(ask 3 /once/1 -H "Idempotency-Key: $key" -d one)"
check "request of an own key" "502 unknown " "$(ask 3 /once/1 -H "Idempotency-Key: order-40" -d one)"
answer "$SOUND"
check "repeat of the key" "504 unknown " "$(ask 3 /once/1 -H "Idempotency-Key: $key" -d one)"
check "repeat of the own key" "504 unknown " "$(ask 1 /once/1 -H "Idempotency-Key: order-40" -d one)"

# Answers without a length whose connection is reset or ended while a long upload is being written.
head -c 6000000 /dev/zero >"$MESH_DIR/upload"
# early N HEAD EXPECTED: uploads through node N to a target that answers early with that head and part of a body.
early() {
  answer "$2sound"
  check "$BEHAVIOUR through node $1 after $2" "$3" "$(ask "$1" /once/1 --data-binary "@$MESH_DIR/upload" -H 'Expect:')"
}
for BEHAVIOUR in early-reset early-end; do
  start_broken $BEHAVIOUR
  for n in 1 3; do
    for head in 'HTTP/1.1 200 OK' 'HTTP/1.0 200 OK' 'HTTP/1.1 200 OK\r\nConnection: close' 'HTTP/1.1 404 Not Found'; do
      status=${head#* } status=${status%% *}
      [ $BEHAVIOUR = early-end ] && expected="$status  sound" || expected="502 unknown "
      early $n "$head\r\n\r\n" "$expected"
    done
    [ $BEHAVIOUR = early-end ] || early $n 'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n' "502 unknown "
    [ $BEHAVIOUR = early-end ] || early $n 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n' "502 unknown "
  done
done
start_broken file

# Beside two sound targets: what may be repeated is served, what may not is never told a broken answer.
answer 'HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nwrong'
announce_as jobboard
for i in $(seq 60); do
  n=$((i % 3 + 1))
  check "repeatable request $i" "200 " "$(ask $n "/jobs/$i" | cut -d' ' -f1-2)"
  case $(ask $n "/bookings/$i" -d one) in
    "200  {"* | "502 unknown ") ;;
    *) check "request $i that may run once" "200 or 502 unknown" "$(cat "$MESH_DIR/body")" ;;
  esac
done
repeats=$(cat "$MESH_DIR"/node-*.log | grep -c "event=request_repeated")
[ "$repeats" -ge 1 ] || check "repeats" "at least 1" "$repeats"
[ "$FAILURES" -eq 0 ] || exit 1
echo "broken answers: all checks passed"
