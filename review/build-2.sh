#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and following start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.cc; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review-2/case-$number" "$case"
done
