#!/usr/bin/env bash
# Runs one scenario with real processes: process-test.sh SCENARIO BIN-DIR LOG-DIR. Each scenario is a function below;
# the conditions are awaited with generous deadlines, so that the verdict does not depend on the machine's speed.
set -euo pipefail
scenario=$1
bin_dir=$2
run_dir=$3/$scenario
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$run_dir"
mkdir -p "$run_dir"
# shellcheck source=cell.sh
source "$here/cell.sh"
trap stop_all EXIT

cell=lima-a
service=cordeles/dispatch
address=203.0.113.10:443
streams=60
bytes=''
# Long enough for a busy machine; a condition that holds earlier ends the wait.
patience=90

# write_service_file DIRECTORY IDLE-DEADLINE
write_service_file() {
    mkdir -p "$1/dispatch"
    cat >"$1/dispatch/anvilwalk.toml" <<EOF
user = "cordeles"
service = "dispatch"
addresses = ["$address/tcp"]
traffic = "stream"
idempotent = false
idle_deadline = "$2"
drain_deadline = "8h"

[targets]
from = "vm-list"
EOF
}

# start_cell: one service with three targets, three balancers and no traffic.
start_cell() {
    local number
    start_platform "$cell"
    start_fabric "$cell" --duplicate 0.005 --delay 0.01 --max-delay-ms 30
    for number in 1 2 3; do start_target "$cell" "$number" "$service" "$address"; done
    write_service_file "$run_dir/services" 300s
    publish "$cell" "$run_dir/services" >"$run_dir/publish.log" 2>&1 || fail "publish: $(cat "$run_dir/publish.log")"
    for number in 1 2 3; do start_balancer "$cell" "$number"; done
    await "three balancers are ready" "$patience" has_ready_balancers "$cell" 3
}

# start_traffic [OPTION...]: of the caller; a later option replaces an earlier one.
start_traffic() {
    start_caller "$cell" 1 "$service" "$address" --streams "$streams" --flows-per-second 20 --deadline-ms 30000 "$@"
    await "$streams streams are open" "$patience" caller_at_least "$cell" 1 .open_streams "$streams"
    await_answers "$cell" 1 100 "$patience"
}

# finish_traffic: fails unless every flow survived and every promise was kept.
finish_traffic() {
    local verdict
    stop_callers "$cell"
    collect_ledgers "$cell"
    verdict=$(summarise 0 "$cell")
    say "verdict: $verdict"
    jq -e '.answered > 0 and ([.broken_flows, .misdelivered, .ran_twice, .refused_but_ran, .answered_not_run,
        .stream_gaps] | all(. == 0))' <<<"$verdict" >/dev/null || fail "a promise was not kept"
}

drain_host() {
    vm_mark_leaving "$cell" "host-$1"
    post_json "$(target_url "$cell" "$1")/control" '{"draining":true}' >/dev/null
}

openings_of() { get_json "$(target_url "$cell" "$1")/ledger" | jq .openings; }
# gets_no_openings HOST: no opening packet reached the host while the caller got 60 more answers.
gets_no_openings() {
    local before
    before=$(openings_of "$1")
    await_answers "$cell" 1 60 "$patience"
    [ "$(openings_of "$1")" = "$before" ]
}

config_of() { get_json "$(api_url "$cell")/configindexes/index"; }
platform_control() { post_json "$(platform_url "$cell")/control" "$1" >/dev/null; }
platform_shows() { get_json "$(platform_url "$cell")/control" | jq -e "$1" >/dev/null; }
metrics_of() { get_json "$(balancer_url "$cell" "$1")/metrics"; }
# metric_is BALANCER NAME VALUE
metric_is() { metrics_of "$1" | awk -v name="$2" -v value="$3" '$1 == name && $2 == value { found = 1 } END { exit !found }'; }
all_balancers_have_config() {
    local number
    for number in 1 2 3; do metric_is "$number" anvilwalk_config_version "$1" || return 1; done
}

# Guards against flows that die with the balancer that happened to carry them.
balancer_killed() {
    start_cell
    start_traffic
    send_signal "$cell-balancer-2" KILL
    await "the fabric avoids balancer-2" "$patience" fabric_avoids "$cell" 2
    await_answers "$cell" 1 200 "$patience"
    finish_traffic
}

# Guards against flows of moving slots that are lost with the owner of their records.
balancer_killed_during_drain() {
    start_cell
    start_traffic
    drain_host 3
    await "host-3 gets no openings" "$patience" gets_no_openings 3
    send_signal "$cell-balancer-2" KILL
    await "the fabric avoids balancer-2" "$patience" fabric_avoids "$cell" 2
    await_answers "$cell" 1 200 "$patience"
    finish_traffic
}

# Guards against a balancer that wakes with old tables and sends packets by them.
balancer_paused_during_drain() {
    start_cell
    start_traffic
    send_signal "$cell-balancer-2" STOP
    await "the fabric avoids balancer-2" "$patience" fabric_avoids "$cell" 2
    drain_host 3
    await "host-3 gets no openings" "$patience" gets_no_openings 3
    send_signal "$cell-balancer-2" CONT
    await "the fabric uses balancer-2 again" "$patience" fabric_uses "$cell" 2
    await_answers "$cell" 1 200 "$patience"
    finish_traffic
}

# Guards against half a table change that stays in force, or is repeated, when the object API goes away.
platform_outage_during_drain() {
    start_cell
    start_traffic
    drain_host 3
    platform_control '{"down":true}'
    await "balancers have called the platform in vain" "$patience" platform_shows '.callsWhileDown > 10'
    await_answers "$cell" 1 200 "$patience"
    platform_control '{"down":false}'
    await "host-3 gets no openings" "$patience" gets_no_openings 3
    finish_traffic
}

# Guards against flows of moving slots that lose their record while owner and backup change: three balancers are
# replaced one after another, with many short flows open at any time.
balancers_replaced_during_drain() {
    local old
    start_cell
    start_traffic --flows-per-second 150
    drain_host 3
    await "host-3 gets no openings" "$patience" gets_no_openings 3
    for old in 1 2 3; do
        start_balancer "$cell" $((old + 3))
        await "the fabric uses balancer-$((old + 3))" "$patience" fabric_uses "$cell" $((old + 3))
        send_signal "$cell-balancer-$old" TERM
        await "balancer-$old has stopped" "$patience" has_exited "$cell-balancer-$old"
        vm_remove "$cell" "balancer-$old"
        await_answers "$cell" 1 300 "$patience"
    done
    finish_traffic
}

# Guards against a publish that is applied twice, or reported as failed, because its answer was lost.
publish_answer_lost() {
    start_cell
    write_service_file "$run_dir/changed" 200s
    platform_control '{"loseNextAnswers":1,"loseKind":"configindexes"}'
    publish "$cell" "$run_dir/changed" >"$run_dir/publish.log" 2>&1 || fail "publish: $(cat "$run_dir/publish.log")"
    platform_shows '.lostAnswers == 1' || fail "no answer was lost"
    [ "$(config_of | jq '.spec.publishes | length')" = 2 ] || fail "the index holds $(config_of | jq -c .spec.publishes)"
    await "all balancers have configuration 2" "$patience" all_balancers_have_config 2
}

# Guards against two conflicting publishes that both report success, or that mix.
two_operators_publish() {
    local number status winners=0 index
    start_cell
    platform_control '{"holdKind":"servicerevisions"}'
    for number in 1 2; do
        write_service_file "$run_dir/operator-$number" "20${number}s"
        (
            status=0
            publish "$cell" "$run_dir/operator-$number" >"$run_dir/operator-$number.log" 2>&1 || status=$?
            echo "$status" >"$run_dir/operator-$number.status"
        ) &
    done
    await "both publishes have read the index" "$patience" platform_shows '.held == 2'
    platform_control '{"holdKind":""}'
    for number in 1 2; do
        await "operator $number is done" "$patience" test -s "$run_dir/operator-$number.status"
        status=$(cat "$run_dir/operator-$number.status")
        if [ "$status" = 0 ]; then
            winners=$((winners + 1))
        else
            grep -q "$service" "$run_dir/operator-$number.log" || fail "the loser is not told the service"
        fi
    done
    index=$(config_of | jq -c .spec)
    [ "$winners" = 1 ] || fail "$winners publishes succeeded: $index"
    [ "$(jq '.publishes | length' <<<"$index")" = 2 ] || fail "the index holds $index"
    await "all balancers have configuration 2" "$patience" all_balancers_have_config 2
}

# Guards against input that ends or stalls the process: garbage on every port.
garbage_on_every_port() {
    local host port packet round
    start_cell
    start_traffic
    host="$(network_of "$cell").1.1"
    RANDOM=${ANVILWALK_SEED:-1}
    say "seed ${ANVILWALK_SEED:-1}"
    for port in 6000 6001; do
        # Too short, another IP version, IP options, wrong length, a fragment, another protocol, unknown address.
        for packet in '\x45' '\x65\x00\x00\x28\x00\x00\x00\x00\x40\x06\x00\x00\x7f\x01\x00\x01\xcb\x00\x71\x0a' \
            '\x46\x00\x00\x2c\x00\x00\x00\x00\x40\x06\x00\x00\x7f\x01\x00\x01\xcb\x00\x71\x0a\x01\x01\x01\x01\x9c\x40\x01\xbb\x00\x00\x00\x00\x00\x00\x00\x00\x50\x02\x00\x00\x00\x00\x00\x00' \
            '\x45\x00\xff\xff\x00\x00\x00\x00\x40\x06\x00\x00\x7f\x01\x00\x01\xcb\x00\x71\x0a\x9c\x40\x01\xbb\x00\x00\x00\x00\x00\x00\x00\x00\x50\x02\x00\x00\x00\x00\x00\x00' \
            '\x45\x00\x00\x28\x00\x00\x20\x00\x40\x06\x00\x00\x7f\x01\x00\x01\xcb\x00\x71\x0a\x9c\x40\x01\xbb\x00\x00\x00\x00\x00\x00\x00\x00\x50\x02\x00\x00\x00\x00\x00\x00' \
            '\x45\x00\x00\x28\x00\x00\x00\x00\x40\x01\x00\x00\x7f\x01\x00\x01\xcb\x00\x71\x0a\x9c\x40\x01\xbb\x00\x00\x00\x00\x00\x00\x00\x00\x50\x02\x00\x00\x00\x00\x00\x00' \
            '\x45\x00\x00\x28\x00\x00\x00\x00\x40\x06\x00\x00\x7f\x01\x00\x01\x01\x02\x03\x04\x9c\x40\x01\xbb\x00\x00\x00\x00\x00\x00\x00\x00\x50\x02\x00\x00\x00\x00\x00\x00'; do
            send_bytes udp "$host" "$port" "$packet"
        done
        for ((round = 0; round < 200; round++)); do
            random_bytes $((RANDOM % 1400 + 1))
            send_bytes udp "$host" "$port" "$bytes"
        done
    done
    for port in 6002 6003; do
        for ((round = 0; round < 20; round++)); do
            random_bytes $((RANDOM % 4000 + 1))
            send_bytes tcp "$host" "$port" "$bytes"
        done
    done
    for reason in truncated bad_length bad_version ip_options fragment unsupported_protocol unknown_address bad_relay_header; do
        await "balancer-1 counts $reason" "$patience" counts_drops 1 "$reason"
    done
    is_running "$cell-balancer-1" || fail "balancer-1 has ended"
    await "the fabric uses balancer-1" "$patience" fabric_uses "$cell" 1
    await_answers "$cell" 1 60 "$patience"
    finish_traffic
}

# random_bytes COUNT: sets bytes in the notation of printf. Not in a subshell, which would reseed RANDOM.
random_bytes() {
    local i byte
    bytes=''
    for ((i = 0; i < $1; i++)); do
        printf -v byte '\\x%02x' $((RANDOM % 256))
        bytes+=$byte
    done
}
# send_bytes PROTOCOL HOST PORT BYTES: cat writes the file at once, so that it becomes one datagram.
send_bytes() {
    printf "$4" >"$run_dir/bytes"
    cat "$run_dir/bytes" 2>/dev/null >"/dev/$1/$2/$3" || true
}
counts_drops() {
    metrics_of "$1" | awk -v reason="reason=\"$2\"" 'index($0, reason) && $NF > 0 { found = 1 } END { exit !found }'
}

declare -F "$scenario" >/dev/null || fail "there is no scenario $scenario"
"$scenario"
say "passed"
