#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build-review, after the build of the deploy file. Needs g++ alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-review
for n in 6 7 8 9 10; do
  [ -f "review/$n/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review/case-$n" "review/$n/case.cpp"
done
