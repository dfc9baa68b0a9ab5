#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the node: the project's stand-in for the platform's store, into
# target/, and one program for each case, into review/out/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
ninja -C target standinlog
mkdir -p review/out
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -I review/common "$source" -o "review/out/case-$number"
done
