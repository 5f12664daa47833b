#!/usr/bin/env bash
# Builds the programs of the second review's cases, with the compiler and its standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.rs; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  rustc --edition 2021 -O -o "target/review-2/case-$number" "$case"
done
