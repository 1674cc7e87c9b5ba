#!/bin/sh
# Run after `review/build-3.sh` and the build of deploy/system.toml.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/rig ] && [ -x target/release/carawayrill-platform ] || exit 2
rm -f review/11/record.txt
target/review-3/rig stale-peer review/11/record.txt &
rig=$!
trap 'pkill -KILL -P $rig; kill -KILL $rig; exit 2' INT TERM
wait $rig
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
