#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Writes record.txt beside this file. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
rig=target/review-2/rig
if [ ! -x "$rig" ] || [ ! -x target/release/carawayrill-platform ]; then
  echo "not built: see review/build-2.sh" >&2
  exit 2
fi
processes=$(mktemp) || exit 2
end_processes() {
  [ -z "${run:-}" ] || kill "$run" 2>/dev/null
  while read -r id; do
    # Only a process that this run has started and that has not ended yet.
    grep -qs carawayrill-platform "/proc/$id/cmdline" && kill -9 "$id"
  done <"$processes"
  rm -f "$processes"
}
trap end_processes EXIT
trap 'exit 2' INT TERM
RIG_PROCESSES=$processes timeout 115 "$rig" old-life review/6 &
run=$!
wait "$run"
code=$?
run=
[ "$code" -le 1 ] || code=2
exit "$code"
