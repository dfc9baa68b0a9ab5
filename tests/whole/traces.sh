#!/usr/bin/env bash
# Traces have a span for each hop, linked to the caller's span. A call that names a configuration version of an
# earlier hop that this node lacks is held, for a limited time.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-$PWD/out/Release}
PORT_BASE=${PORT_BASE:-27200}
. tools/mesh.sh
. tests/whole/small-mesh.sh
trap stop_mesh EXIT
start_small_mesh
TRACE=4bf92f3577b34da6a3ce929d0e0e4736
curl -s -H "traceparent: 00-$TRACE-00f067aa0ba902b7-01" "http://$(caller_of 1)/jobs/1" >/dev/null
spans() { cat "$MESH_DIR"/node-*.log | grep "event=span.*trace=$TRACE"; }
both_spans_logged() { [ "$(spans | wc -l)" -eq 2 ]; }
wait_for 5 both_spans_logged || fail "spans of the two hops: $(spans)"
# span_field SPAN_NAME FIELD
span_field() { spans | grep "name=$1 " | grep -oE " $2=[^ ]+" | cut -d= -f2; }
expect "parent of the first hop" 00f067aa0ba902b7 "$(span_field route parent)"
expect "parent of the second hop" "$(span_field route span)" "$(span_field serve parent)"
expect "outcome of the second hop" done "$(span_field serve outcome)"
curl -sf "http://$(admin_of 1)/admin/v1/spans" | grep -q "$TRACE" || fail "the admin interface does not show the span"
curl -s -H "traceparent: 00-$TRACE-00f067aa0ba902b8-00" "http://$(caller_of 1)/jobs/1" >/dev/null
sleep 0.2
expect "spans after a call that is not sampled" 2 "$(spans | wc -l)"

metric() { curl -sf "http://$(admin_of 1)/admin/v1/metrics" | grep "^$1 " | cut -d' ' -f2; }
expect "version in the answer" 1 "$(curl -s -o /dev/null -w '%header{sequoiastep-version}' "http://$(caller_of 1)/jobs/1")"
expect "a call with a version that the node lacks" 200 "$(curl -s -o /dev/null -w '%{http_code}' -H 'Sequoiastep-Version: 99' "http://$(caller_of 1)/jobs/1")"
expect "expired version holds" 1 "$(metric sequoiastep_calls_version_holds_expired_total)"
expect "version holds" 1 "$(metric sequoiastep_calls_version_holds_total)"
echo "traces: all checks passed"
