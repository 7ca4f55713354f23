#!/usr/bin/env bash
# The torture run of durable jobs, long: the scheduler and its workers killed at random, seed by seed, and the
# count of kills, jobs and broken rules at the end. Outside CI.
#   bench/torture.sh [KILLS=600] [BUILD=build-rel]
set -euo pipefail
cd "$(dirname "$0")/.."
kills=${1:-600} build=${2:-build-rel} done=0 seed=100
log=$(mktemp)
trap 'rm -f "$log"' EXIT
while [ "$done" -lt "$kills" ]; do
  seed=$((seed + 1))
  timeout 300 "$build/tests/durable_rig" --kills 50 --seed "$seed" | tee -a "$log"
  done=$((done + 50))
done
awk '/^seed/ { k += $3; w += $8; j += $(NF - 2) }
  /rules broken/ { d += $2; f += $4; n += $6; a += $10; b += $NF }
  END { printf "in all: %d kills of the scheduler, %d of workers, %d jobs, done %d, failed %d, deliveries %d, again %d, rules broken %d\n", k, w, j, d, f, n, a, b }' <(tr -d ',;' <"$log")
