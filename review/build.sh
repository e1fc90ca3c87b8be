#!/usr/bin/env bash
# Builds the stand-ins of the scripts; they use only the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/main.rs -o target/review/stand
