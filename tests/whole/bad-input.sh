#!/usr/bin/env bash
# Bad input must get a clear error and must not affect other requests: HTTP, JSON, peer frames, half-open
# peer connections, settings.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-25400}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
EXTRA=',"limits":{"max_body_bytes":4096}'
start_small_mesh

# outcome CURL_OPTIONS...: prints the status and the outcome header of a response.
outcome() { curl -s -o "$MESH_DIR/answer" -w '%{http_code} %header{sequoiastep-outcome}' "$@"; }
# send_raw HOST:PORT BYTES: sends the bytes and prints what the server sends until it closes the connection.
# Returns 124 if the server has not closed it after 5 s.
send_raw() {
  exec 9<>"/dev/tcp/${1%:*}/${1#*:}"
  printf '%b' "$2" >&9
  timeout 5 cat <&9
  local code=$?
  exec 9<&-
  return $code
}

expect "oversized body" "413 not_run" "$(head -c 5000 /dev/zero | outcome --data-binary @- "http://$(caller_of 1)/bookings/1")"
expect "no route" "404 not_run" "$(outcome "http://$(caller_of 1)/nowhere")"
expect "reserved path" "404 not_run" "$(outcome "http://$(caller_of 1)/.sequoiastep/x")"
send_raw "$(caller_of 1)" 'BLAH\r\n\r\n' | grep -q '400' || fail "malformed HTTP"
send_raw "$(caller_of 1)" 'POST /bookings/cut HTTP/1.1\r\nHost: x\r\nX-Request-Id: cut\r\nContent-Length: 100\r\n\r\nshort' >/dev/null &
INCOMPLETE_PID=$!
head -c 20000 /dev/zero | tr '\0' 'h' >"$MESH_DIR/long"
expect "oversized header" "431 not_run" "$(outcome -H "X-Long: $(cat "$MESH_DIR/long")" "http://$(caller_of 1)/jobs/1")"

post_config() { curl -s -w '%{http_code}' -d "$1" "http://$(admin_of 1)/admin/v1/config"; }
case $(post_config '{"publish_id":"a"') in *422) ;; *) fail "broken JSON" ;; esac
case $(post_config '{"publish_id":"a","expected_version":1,"bass":{}}') in *"unknown key"*422) ;; *) fail "unknown key" ;; esac
case $(post_config '{"publish_id":"a","expected_version":-1,"base":{}}') in *"whole number"*422) ;; *) fail "negative version" ;; esac
expect "bad announcement" "400 not_run" "$(outcome -d '{"service":"x","address":"nowhere"}' "http://$(announce_of 2)/target/v1/announce")"

# Not a frame, an unknown frame format, a frame that is too long, damaged content, an incomplete frame header
# from a half-open peer.
for bytes in 'GET / HTTP/1.1\r\n\r\n' 'SQ\x09\x00\x04\x00\x00\x00abcd' 'SQ\x01\x00\xff\xff\xff\x7f' 'SQ\x01\x00\x04\x00\x00\x00abcd' 'SQ\x01\x01\x04\x00\x00\x00abcd' 'SQ'; do
  send_raw "$(peer_of 2)" "$bytes" >/dev/null
  [ $? -eq 124 ] && fail "the peer port kept a bad connection open"
done
refusals=$(grep -c 'event=peer_connection_refused' "$MESH_DIR/node-2.log")
[ "$refusals" -ge 5 ] || fail "only $refusals bad peer connections were logged"

wait $INCOMPLETE_PID
expect "runs of a request with an incomplete body" 0 "$(runs_of cut)"
expect "a call after all bad input" "200 " "$(outcome "http://$(caller_of 1)/jobs/1")"

# start_with SETTINGS_FILE: prints the exit code of a node that is started with these settings.
start_with() { "$BIN/sequoiastep" node --settings "$1" 2>"$MESH_DIR/problem"; echo $?; }
expect "unreadable settings" 2 "$(start_with "$MESH_DIR/none.json")"
sed 's/"mesh"/"mash"/' "$MESH_DIR/node-1.json" >"$MESH_DIR/wrong.json"
expect "unknown setting" 2 "$(start_with "$MESH_DIR/wrong.json")"
grep -q 'settings.mesh' "$MESH_DIR/problem" || fail "the message does not name the key"
expect "port in use" 3 "$(start_with "$MESH_DIR/node-1.json")"
grep -q 'free the port or choose another' "$MESH_DIR/problem" || fail "the message does not name the remedy"
"$BIN/sequoiastep" status --node 127.0.0.1:1 2>/dev/null
expect "status at an address without a node" 3 $?
"$BIN/sequoiastep" status --nod x 2>/dev/null
expect "unknown option" 2 $?
sed 's/"service":"jobboard"/"service":"gone"/' "$MESH_DIR/base.json" >"$MESH_DIR/bad.json"
"$BIN/sequoiastep" check --base "$MESH_DIR/bad.json" 2>/dev/null >&2
expect "check of a dangling reference" 1 $?
echo "bad input: all checks passed"
