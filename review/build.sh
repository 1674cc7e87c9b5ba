#!/bin/sh
# Builds the stand-ins of the review. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/src/main.rs
