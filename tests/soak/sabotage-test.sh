#!/usr/bin/env bash
# Checks that a run in which a promise is broken on purpose names that promise and fails.
# Arguments: folder of the programs, folder for the run, number of the network, sabotage, promise.
set -uo pipefail
bin=$1 folder=$2 network=$3 sabotage=$4 promise=$5
"$bin/anvilwalk_soak" --program "$bin/anvilwalk-edge" --folder "$folder" --network "$network" --seed 1 --seconds 4 \
    --pause-ms 2000 --sabotage "$sabotage"
status=$?
[ "$status" -eq 1 ] || { echo "expected exit status 1, not $status"; exit 1; }
[ "$(jq "[.breaches[] | select(.promise == \"$promise\")] | length" "$folder/report.json")" -gt 0 ] \
    || { echo "no breach of $promise was found"; exit 1; }
