#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O "$source" -o "target/review-3/case-$number"
done
