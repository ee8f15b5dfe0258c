#!/usr/bin/env bash
# Runs both example users' services on this machine: streams, bookings, reports and uploads through three balancers
# for each user, while a target drains, a balancer is replaced and another is killed. Prints the report of each user
# and, as its last line, the verdict as JSON. Fails if a planned change broke a flow or a promise was not kept.
# Set ANVILWALK_DEMO_BIN to run without installing and building; logs are left in build/demo.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ -z "${ANVILWALK_DEMO_BIN:-}" ]; then
    tools/install.sh
    tools/build.sh
fi
bin_dir=${ANVILWALK_DEMO_BIN:-$PWD/build/bin}
run_dir=$PWD/build/demo
rm -rf "$run_dir"
mkdir -p "$run_dir"
# shellcheck source=tests/standins/cell.sh
source tests/standins/cell.sh
trap stop_all EXIT

cordeles=lima-a
lakeshore=glk-tol
cells=("$cordeles" "$lakeshore")
stream_hosts=(1 2 3 4 5)
upload_hosts=(6 7)
drained_host=5
streams=500
user_of() { case $1 in "$cordeles") echo cordeles ;; *) echo lakeshore ;; esac }
stream_file() { case $1 in "$cordeles") echo "$run_dir/cordeles/dispatch/anvilwalk.toml" ;; *) echo "$run_dir/lakeshore/routes/anvilwalk.toml" ;; esac }
upload_file() { case $1 in "$cordeles") echo "$run_dir/cordeles/photo-intake/anvilwalk.toml" ;; *) echo "$run_dir/lakeshore/scanner-intake/anvilwalk.toml" ;; esac }
request_kind() { case $1 in "$cordeles") echo booking ;; *) echo report ;; esac }

# The example files name the scanner hosts by address; the copies name the hosts of this run.
copy_service_files() {
    local cell=$1 number place=11
    cp -r "examples/$(user_of "$cell")" "$run_dir/"
    for number in "${upload_hosts[@]}"; do
        sed -i -e "s|\"10.2.1.$place:5555\"|\"$(network_of "$cell").2.$number:5555\"|" \
            -e "s|\"http://10.2.1.$place:8080/health\"|\"$(target_url "$cell" "$number")/health\"|" \
            "$run_dir/$(user_of "$cell")"/*/anvilwalk.toml
        place=$((place + 1))
    done
}

start_cell() {
    local cell=$1 number
    start_platform "$cell"
    copy_service_files "$cell"
    start_fabric "$cell" --loss 0.001 --duplicate 0.005 --delay 0.01 --max-delay-ms 30
    for number in "${stream_hosts[@]}"; do
        start_target "$cell" "$number" "$(service_name "$(stream_file "$cell")")" \
            "$(service_address "$(stream_file "$cell")")"
    done
    for number in "${upload_hosts[@]}"; do
        start_target "$cell" "$number" "$(service_name "$(upload_file "$cell")")" \
            "$(service_address "$(upload_file "$cell")")"
    done
    publish "$cell" "$run_dir/$(user_of "$cell")" >&2 || fail "publish for $cell"
    for number in 1 2 3; do start_balancer "$cell" "$number"; done
}

start_traffic() {
    local cell=$1
    start_caller "$cell" 1 "$(service_name "$(stream_file "$cell")")" "$(service_address "$(stream_file "$cell")")" \
        --kind "$(request_kind "$cell")" --streams "$streams" --flows-per-second 40 --deadline-ms 10000
    start_caller "$cell" 2 "$(service_name "$(upload_file "$cell")")" "$(service_address "$(upload_file "$cell")")" \
        --kind photo --flows-per-second 10 --deadline-ms 10000
}

# Open flows of the targets of a service, except the drained one.
imbalance() {
    local cell=$1 number
    shift
    for number in "$@"; do
        [ "$number" = "$drained_host" ] || get_json "$(target_url "$cell" "$number")/health"
    done | jq -s '[.[].openFlows] | if add > 0 then (max / (add / length) * 1000 | round / 1000) else null end'
}

openings_after_drain() {
    get_json "$(target_url "$1" "$drained_host")/ledger" | jq '.openingsAfterDrainMs | length'
}
# No opening packet reached the drained host since the last call, which was at least 2 s ago.
drain_is_quiet() {
    local openings
    openings=$(openings_after_drain "$1")
    if [ "$openings" != "${last_openings[$1]:-}" ]; then
        last_openings[$1]=$openings
        quiet_since[$1]=$(now_ms)
    fi
    [ $(($(now_ms) - quiet_since[$1])) -ge 2000 ]
}
declare -A last_openings=() quiet_since=()

say "Phase 1: start both users' platforms, fabrics, hosts and balancers, and publish their services."
for cell in "${cells[@]}"; do start_cell "$cell"; done
for cell in "${cells[@]}"; do await "$cell has three ready balancers" 30 has_ready_balancers "$cell" 3; done

say "Phase 2: open streams, bookings, reports and uploads."
for cell in "${cells[@]}"; do start_traffic "$cell"; done
for cell in "${cells[@]}"; do
    await "$cell holds $streams streams" 40 caller_at_least "$cell" 1 .open_streams "$streams"
    await_answers "$cell" 1 100 30
done

say "Phase 3: drain host-$drained_host of each user."
for cell in "${cells[@]}"; do
    vm_mark_leaving "$cell" "host-$drained_host"
    post_json "$(target_url "$cell" "$drained_host")/control" '{"draining":true}' >/dev/null
done
for cell in "${cells[@]}"; do
    await "$cell host-$drained_host has had no opening packet for 2 s" 20 drain_is_quiet "$cell"
done

say "Phase 4: replace balancer-1 of each user by balancer-4."
for cell in "${cells[@]}"; do start_balancer "$cell" 4; done
for cell in "${cells[@]}"; do
    await "$cell balancer-4 is ready" 30 fabric_uses "$cell" 4
    send_signal "$cell-balancer-1" TERM
done
for cell in "${cells[@]}"; do
    await "$cell balancer-1 has stopped" 40 has_exited "$cell-balancer-1"
    vm_remove "$cell" balancer-1
    await_answers "$cell" 1 100 30
    await_answers "$cell" 2 20 30
done

say "Phase 5: kill balancer-2 of each user."
killed_at=$(now_ms)
for cell in "${cells[@]}"; do send_signal "$cell-balancer-2" KILL; done
for cell in "${cells[@]}"; do
    await "$cell fabric avoids balancer-2" 10 fabric_avoids "$cell" 2
    vm_remove "$cell" balancer-2
    # About 5 s of traffic, more than the 1.8 s after which the dead balancer is replaced.
    await_answers "$cell" 1 400 40
    await_answers "$cell" 2 100 40
done

say "Phase 6: reports and verdict."
imbalances='{}'
for cell in "${cells[@]}"; do
    for kind in stream upload; do
        file=$("${kind}_file" "$cell")
        hosts="${kind}_hosts[@]"
        imbalances=$(jq -c --arg service "$(service_name "$file")" --argjson value "$(imbalance "$cell" "${!hosts}")" \
            '.[$service] = $value' <<<"$imbalances")
    done
done
for cell in "${cells[@]}"; do
    "$bin_dir/anvilwalk" report --platform "$(platform_url "$cell")" || fail "report for $cell"
done
late=0
for cell in "${cells[@]}"; do
    stop_callers "$cell"
    collect_ledgers "$cell"
    late=$((late + $(jq '[.[].openingsAfterDrainMs[] | select(. > 3000)] | length' "$run_dir/$cell-ledgers.json")))
done
verdict=$(summarise "$killed_at" "${cells[@]}" | jq -c --argjson imbalance "$imbalances" --argjson late "$late" \
    '. + {openings_later_than_3s_after_drain: $late, imbalance: $imbalance}')
echo "$verdict" >"$run_dir/verdict.json"
echo "$verdict"
jq -e '[.broken_by_planned_change, .misdelivered, .ran_twice, .refused_but_ran] == [0, 0, 0, 0] and .answered > 0' \
    <<<"$verdict" >/dev/null
