#!/usr/bin/env bash
# Builds the stand-ins of the cases into build-review/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
pids=()
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Ireview/harness "$source" \
        -o "build-review/case-$number" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
