#!/usr/bin/env bash
# Measures the decisions, the comparison with the baselines and the packet path, and writes the results with the
# machine and the commit to docs/bench/ (results.json, results.md, comparison.md and the plots).
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
tools/build.sh

work=build/bench-results
out=docs/bench
mkdir -p "$work" "$out"
build/bench/anvilwalk_bench --benchmark_out="$work/decisions.json" --benchmark_out_format=json \
    --benchmark_min_time=0.3 --benchmark_repetitions=3 --benchmark_report_aggregates_only=true >"$work/decisions.txt"
build/bin/anvilwalk_compare --json "$work/comparison.json" >"$work/comparison.txt" || true
build/bin/anvilwalk_throughput >"$work/throughput.txt"
bench/measure-fleet.sh "$PWD/build/bin" "$PWD/$work/fleet" >"$work/fleet.json" 2>"$work/fleet.log"

jq -n --arg commit "$(git rev-parse --short HEAD)" \
    --arg cores "$(nproc)" \
    --arg cpu "$(sed -n 's/^model name[^:]*: //p' /proc/cpuinfo | head -n 1)" \
    --arg memory "$(sed -n 's/^MemTotal: *//p' /proc/meminfo)" \
    --arg date "$(date -u +%F)" \
    --rawfile throughput "$work/throughput.txt" \
    --slurpfile decisions "$work/decisions.json" \
    --slurpfile comparison "$work/comparison.json" \
    --slurpfile fleet "$work/fleet.json" '
    { commit: $commit, date: $date, machine: { cores: $cores, cpu: $cpu, memory: $memory },
      decisions: [ $decisions[0].benchmarks[] | select(.aggregate_name == "median")
        | del(.family_index, .per_family_instance_index, .run_name, .run_type, .repetitions, .threads,
              .aggregate_name, .aggregate_unit, .iterations) | .name |= rtrimstr("_median") ],
      comparison: $comparison[0],
      fleet: $fleet[0],
      throughput: ($throughput | split("\n") | map(select(. != ""))) }' >"$out/results.json"

{
    jq -r '"# Results\n\nMachine: \(.machine.cores) cores, \(.machine.cpu), \(.machine.memory). Commit \(.commit),"
        + " \(.date). Command: `tools/bench.sh`.\n\n## Decisions (median of three repetitions)\n\n"
        + "| benchmark | time | counters |\n| --- | --- | --- |"' "$out/results.json"
    jq -r '.decisions[] | "| \(.name) | \(.real_time * 100 | round / 100) \(.time_unit) | "
        + ([to_entries[] | select(.key | IN("name", "real_time", "cpu_time", "time_unit") | not)
            | "\(.key) \(.value * 1000000 | round / 1000000)"] | join(", ")) + " |"' "$out/results.json"
    printf '\n## Real balancers without traffic (6 hosts)\n\n'
    printf '| balancers | core %% each | resident MB each | control bytes/s each | object API calls/s, cell |\n'
    printf '| --- | --- | --- | --- | --- |\n'
    jq -r '.fleet.rest[] | "| \(.balancers) | \(.core_percent_per_balancer) | \(.rss_mb_per_balancer) | "
        + "\(.control_bytes_per_balancer_second) | \(.object_api_calls_per_second) |"' "$out/results.json"
    jq -r '.fleet.publish | "\nFrom accepted to in force on nine balancers, \(.publishes) publishes, a watcher killed in "
        + "the middle: median \(.median_ms) ms, worst \(.worst_ms) ms, \(.object_api_calls_per_publish) object API "
        + "calls a publish with those at rest."' "$out/results.json"
    printf '\n## Packet path against a bare loop\n\n'
    jq -r '.throughput[] | "    " + .' "$out/results.json"
} >"$out/results.md"
{
    printf '# Comparison with the baselines\n\nCommand: `build/bin/anvilwalk_compare`, run by `tools/bench.sh`. Commit %s.\n\n' \
        "$(git rev-parse --short HEAD)"
    sed -n '/^|/p' "$work/comparison.txt"
    printf '\n'
    sed -n '/^Missed/s/^/- /p' "$work/comparison.txt"
} >"$out/comparison.md"

# Data files for the plots.
series() {
    jq -r --arg name "$1" --arg field "$2" '.decisions[] | select(.name | startswith($name + "/"))
        | "\(.name | split("/")[1]) \(.[$field])"' "$out/results.json"
}
series flowTableHit real_time >"$work/hit.dat"
series flowTableMiss real_time >"$work/miss.dat"
series cellAtRest bytes_per_balancer_second >"$work/control.dat"
series tableBuild real_time >"$work/table.dat"
jq -r '.fleet.rest[] | "\(.balancers) \(.control_bytes_per_balancer_second)"' "$out/results.json" >"$work/fleet.dat"
for plot in bench/plots/*.gp; do
    gnuplot -e "data='$work'; output_file='$out/$(basename "$plot" .gp).svg'" "$plot"
done
echo "Results are in $out."
