#!/usr/bin/env bash
# Faults between processes of the program, seed by seed, and the sum at the end. Outside CI.
#   bench/faults.sh [SEEDS=20] [MEMBERS=5] [FAULTS=10] [BUILD=build-rel]
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-20} members=${2:-5} faults=${3:-10} build=${4:-build-rel}
log=$(mktemp)
trap 'rm -f "$log"' EXIT
failed=0
for seed in $(seq 1 "$seeds"); do
  timeout 600 "$build/tests/fault_rig" --members "$members" --faults "$faults" --seed "$seed" | tee -a "$log" || failed=$((failed + 1))
done
awk -v failed="$failed" '/^seed/ { f += $4; v += $6; s += $8 }
  END { printf "in all: %d steps, %d verdicts, %d jobs served, %d seeds with a breach\n", f, v, s, failed }' "$log"
[ "$failed" -eq 0 ]
