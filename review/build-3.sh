#!/bin/sh
# Builds the stand-ins of the cases review/11 to review/15. Needs the Rust compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/rig review/standins-3/rig.rs
