#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into out/review-3. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review-3
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  [ "$number" -ge 11 ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "out/review-3/$number"
done
