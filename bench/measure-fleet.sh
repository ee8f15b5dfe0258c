#!/usr/bin/env bash
# Measures real balancers without traffic: processor time, memory and control bytes at rest against the size of the
# cell, and with nine balancers the time from an accepted publish until it is in force everywhere, with one watcher
# killed in the middle, and the calls to the object API. Prints JSON. Usage: bench/measure-fleet.sh BIN_DIR RUN_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
bin_dir=$1
run_dir=$2
mkdir -p "$run_dir"
# shellcheck source=tests/standins/cell.sh
source tests/standins/cell.sh
trap stop_all EXIT

rest_seconds=10
publishes=15
hosts=6

metric() { curl --silent --max-time 5 "$(balancer_url "$1" "$2")/metrics" | awk -v name="$3" '$1 == name { print $2 }'; }
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/${pids[$1]}/stat"; }
rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/${pids[$1]}/status"; }
api_calls() { get_json "$(platform_url "$1")/control" | jq '[.calls[] | .[]] | add'; }
config_version() { metric "$1" "$2" anvilwalk_config_version; }

write_service() {
    mkdir -p "$run_dir/$1-service"
    sed "s/^new_flows_per_second.*/new_flows_per_second = $2/" examples/cordeles/dispatch/anvilwalk.toml \
        >"$run_dir/$1-service/anvilwalk.toml"
}

start_cell() {
    local cell=$1 size=$2 number
    start_platform "$cell"
    start_fabric "$cell"
    write_service "$cell" 3000
    for ((number = 1; number <= hosts; number++)); do
        start_target "$cell" "$number" cordeles/dispatch 203.0.113.10:443
    done
    publish "$cell" "$run_dir/$cell-service" >&2
    for ((number = 1; number <= size; number++)); do start_balancer "$cell" "$number"; done
    await "$cell has $size ready balancers" 60 has_ready_balancers "$cell" "$size"
    sleep 3
}

# Sums over the balancers of a cell.
sum_over() {
    local cell=$1 size=$2 number total=0
    shift 2
    for ((number = 1; number <= size; number++)); do total=$(($(printf '%.0f' "$("$@" "$cell" "$number")") + total)); done
    echo "$total"
}
balancer_cpu() { cpu_ticks "$1-balancer-$2"; }
balancer_rss() { rss_kb "$1-balancer-$2"; }
balancer_control_bytes() { metric "$1" "$2" anvilwalk_control_bytes_sent_total; }

measure_rest() {
    local cell=$1 size=$2 cpu bytes calls
    cpu=$(sum_over "$cell" "$size" balancer_cpu)
    bytes=$(sum_over "$cell" "$size" balancer_control_bytes)
    calls=$(api_calls "$cell")
    sleep "$rest_seconds"
    cpu=$(($(sum_over "$cell" "$size" balancer_cpu) - cpu))
    bytes=$(($(sum_over "$cell" "$size" balancer_control_bytes) - bytes))
    calls=$(($(api_calls "$cell") - calls))
    jq -nc --argjson size "$size" --argjson cpu "$cpu" --argjson bytes "$bytes" --argjson calls "$calls" \
        --argjson seconds "$rest_seconds" --argjson ticks "$(getconf CLK_TCK)" \
        --argjson rss "$(sum_over "$cell" "$size" balancer_rss)" --argjson hosts "$hosts" '
        { balancers: $size, hosts: $hosts,
          core_percent_per_balancer: (100 * $cpu / $ticks / $seconds / $size * 100 | round / 100),
          rss_mb_per_balancer: ($rss / 1024 / $size * 10 | round / 10),
          control_bytes_per_balancer_second: ($bytes / $seconds / $size | round),
          object_api_calls_per_second: ($calls / $seconds * 10 | round / 10) }'
}

# Milliseconds until every balancer of the list has the version; the resolution is one round of reads.
await_version() {
    local cell=$1 version=$2 start=$3 number
    shift 3
    for number in "$@"; do
        until [ "$(printf '%.0f' "$(config_version "$cell" "$number")")" -ge "$version" ]; do sleep 0.01; done
    done
    echo $(($(now_ms) - start))
}

measure_publish() {
    local cell=$1 round times=() accepted calls live=(1 2 3 4 5 6 7 8 9)
    calls=$(api_calls "$cell")
    for ((round = 1; round <= publishes; round++)); do
        write_service "$cell" $((3000 + round))
        publish "$cell" "$run_dir/$cell-service" >&2
        accepted=$(now_ms)
        if [ "$round" -eq $((publishes / 2)) ]; then
            # The writer of the first table is a watcher of the object API.
            watcher=$(get_json "$(api_url "$cell")/leases/$cell" | jq -r '.spec.holder' | sed 's/balancer-//')
            send_signal "$cell-balancer-$watcher" KILL
            mapfile -t live < <(printf '%s\n' "${live[@]}" | grep -vx "$watcher")
        fi
        times+=("$(await_version "$cell" $((round + 1)) "$accepted" "${live[@]}")")
    done
    calls=$(($(api_calls "$cell") - calls))
    printf '%s\n' "${times[@]}" | jq -sc --argjson calls "$calls" '
        { publishes: length, median_ms: (sort | .[length / 2 | floor]), worst_ms: max, all_ms: .,
          object_api_calls_per_publish: ($calls / length * 10 | round / 10) }'
}

rest=()
for size in 3 9 16; do
    declare -A pids=()
    start_cell "cell-$size" "$size"
    rest+=("$(measure_rest "cell-$size" "$size")")
    [ "$size" -eq 9 ] && publish_times=$(measure_publish "cell-$size")
    stop_all
done
printf '%s\n' "${rest[@]}" | jq -s --argjson publish "$publish_times" '{ rest: ., publish: $publish }'
