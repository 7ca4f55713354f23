#!/usr/bin/env bash
# Fuzzes the matching language, the members' messages and the logs' outside CI: four libFuzzer programs for SECONDS each, side by side, seeded from the
# committed corpus. Prints what each found; new inputs stay under found/. Needs clang.
#   bench/fuzz.sh [SECONDS=3600]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-3600}
mkdir -p found build-fuzz
match=$(ls src/match/*.cpp src/limits/rate_limits.cpp | grep -v tool.cpp)
cluster=$(ls src/cluster/membership/*.cpp src/cluster/target_gossip/*.cpp src/cluster/net/codec.cpp)
log=$(ls src/cluster/log/*.cpp)
for name in parse machine cluster log; do
  sources=$match
  [ "$name" = cluster ] && sources=$cluster
  [ "$name" = log ] && sources=$log
  clang++ -std=c++20 -O1 -g -I. -Iinclude -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all \
    $sources "tests/fuzz/${name}_fuzz.cpp" -lre2 -o "build-fuzz/${name}_fuzz" &
done
wait
for name in parse machine cluster log; do
  mkdir -p "found/$name"
  (cd "found/$name" && "../../build-fuzz/${name}_fuzz" -max_total_time="$seconds" -max_len=4096 -timeout=10 \
    -rss_limit_mb=4096 -print_final_stats=1 . "../../tests/fuzz/corpus/$name" >"../$name.log" 2>&1 ||
    echo "$name: stopped by a finding") &
done
wait
for name in parse machine cluster log; do
  echo "== $name"
  grep -E 'SUMMARY|differ|stat::number_of_executed_units|stat::new_units_added|cov:' "found/$name.log" | tail -4
  ls "found/$name" | grep -E '^(crash|timeout|oom|leak|slow)' || echo 'no finding'
done
