#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs, with the compiler and its standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/stand-ins/main.rs
