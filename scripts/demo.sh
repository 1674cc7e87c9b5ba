#!/usr/bin/env bash
# Runs one of the two deployments as separate processes on loopback: `scripts/demo.sh [ledgerwell]`
# or `scripts/demo.sh chikushi`. Exits 0 only if every response was complete and correct.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-ledgerwell}
if [ ! -f "deploy/$deployment/base.yaml" ]; then
  echo "no deployment \`$deployment\`; available: $(ls deploy)" >&2
  exit 2
fi
cargo build --quiet --workspace --bins
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
target/debug/carawayrill-demo --work "$work" "deploy/$deployment"
