#!/usr/bin/env bash
# Builds the stand-ins of the cases of this review into target/review-2. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$number" "$source"
done
