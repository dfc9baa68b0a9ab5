#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/out/case-5 ] && [ -x target/sequoiastep ] && [ -x target/standinlog ] || { echo "build first: review/build.sh"; exit 2; }
exec review/out/case-5 review/5/record.txt
