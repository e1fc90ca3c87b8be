#!/usr/bin/env bash
# Builds the stand-ins of the cases of REPORT-2.md into target/review-2. Needs rustc only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.rs; do
    number="$(basename "$(dirname "$source")")"
    rustc --edition 2024 -O -o "target/review-2/case-$number" "$source"
done
