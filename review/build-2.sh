#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, without a network. The
# program of the deploy file has to be built before: `cargo build --release --locked -p carawayrill-platform`.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/standins-2/rig.rs
