#!/bin/sh
# Run after `review/build-3.sh` and the build of deploy/system.toml.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/rig ] || exit 2
exec target/review-3/rig kept-connections review/13
