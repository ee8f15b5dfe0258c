#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2/. Needs g++ and the headers that the build of the
# deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
objects=()
compilers=()
for source in review/standins-2/*.cpp; do
    object="target/review-2/$(basename "$source" .cpp).o"
    objects+=("$object")
    g++ -std=c++20 -O1 -c "$source" -o "$object" &
    compilers+=("$!")
done
for compiler in "${compilers[@]}"; do
    wait "$compiler"
done
g++ "${objects[@]}" -o target/review-2/lab -pthread
