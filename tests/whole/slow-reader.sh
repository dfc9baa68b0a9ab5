#!/usr/bin/env bash
# Callers that request large responses and never read them must not delay other calls through the same nodes
# and link.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-27600}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
start_small_mesh slots=64
SIZE=4000000
head -c $SIZE /dev/zero | tr '\0' 'z' >"$MESH_DIR/large"
address=$(caller_of 1)
for i in 1 2 3 4; do
  exec {reader}<>"/dev/tcp/${address%:*}/${address#*:}"
  { printf 'POST /bookings/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: slow-%s\r\nContent-Length: %s\r\n\r\n' "$i" $SIZE; cat "$MESH_DIR/large"; } >&"$reader"
done
all_ran() { local i; for i in 1 2 3 4; do [ "$(runs_of "slow-$i")" = 1 ] || return 1; done; }
wait_for 20 all_ran || fail "the large requests did not run"
for i in $(seq 50); do
  code=$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$(caller_of 1)/jobs/$i")
  expect "call $i next to slow readers" 200 "$code"
done
size=$(curl -s -m 10 --data-binary @"$MESH_DIR/large" "http://$(caller_of 1)/bookings/1" | wc -c)
[ "$size" -gt $SIZE ] || fail "a large response had only $size bytes"
echo "slow readers: all checks passed"
