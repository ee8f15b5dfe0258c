# shellcheck shell=bash
# Functions that run data centres of stand-ins and balancers on loopback; sourced by the demo and the process tests.
# A cell is one data centre with its own platform, fabric, targets, balancers and callers. Each cell has a loopback
# network of its own, 127.N.0.0/16, so that cells of several runs on one machine do not meet:
#   127.N.0.1 platform and fabric, 127.N.1.x balancers, 127.N.2.x targets, 127.N.3.x callers.

: "${bin_dir:?}" "${run_dir:?}"

declare -A pids=() cell_networks=() cell_callers=()

say() { printf '%s %s\n' "$(date +%H:%M:%S.%3N)" "$*" >&2; }

fail() {
    say "FAILED: $*"
    exit 1
}

now_ms() { date +%s%3N; }

# await TEXT SECONDS COMMAND...: repeats the command until it succeeds; fails the run at the deadline.
await() {
    local text=$1 deadline=$(($(now_ms) + $2 * 1000))
    shift 2
    until "$@"; do
        [ "$(now_ms)" -lt "$deadline" ] || fail "waited in vain: $text"
        sleep 0.1
    done
    say "$text"
}

# start_process NAME COMMAND...: standard output to NAME.out, standard error to NAME.log.
start_process() {
    local name=$1
    shift
    "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.log" &
    pids[$name]=$!
    # The shell prints no notice when the process is killed on purpose.
    disown
}

is_running() { kill -0 "${pids[$1]}" 2>/dev/null; }
has_exited() { ! is_running "$1"; }
send_signal() { kill "-$2" "${pids[$1]}"; }

# Ends all processes of the run, by their ids.
stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
}

get_json() { curl --silent --fail --max-time 5 "$1"; }
post_json() { curl --silent --fail --max-time 5 --request POST --data "$2" "$1"; }

network_of() { echo "127.${cell_networks[$1]}"; }
platform_url() { echo "http://$(network_of "$1").0.1:8080"; }
api_url() { echo "$(platform_url "$1")/apis/anvilwalk.example/v1"; }
fabric_url() { echo "http://$(network_of "$1").0.1:7002"; }
target_url() { echo "http://$(network_of "$1").2.$2:8081"; }
caller_url() { echo "http://$(network_of "$1").3.$2:8082"; }
balancer_url() { echo "http://$(network_of "$1").1.$2:6003"; }

answers() { get_json "$1" >/dev/null; }

# start_platform CELL: takes the first free loopback network.
start_platform() {
    local cell=$1 network=$((16 + $$ % 200)) tries
    for ((tries = 0; tries < 200; tries++)); do
        network=$((16 + (network - 15) % 200))
        cell_networks[$cell]=$network
        start_process "$cell-platform" "$bin_dir/standin_platform" --listen "127.$network.0.1:8080"
        until grep -q listens "$run_dir/$cell-platform.out" || has_exited "$cell-platform"; do sleep 0.02; done
        if is_running "$cell-platform"; then
            say "$cell uses $(network_of "$cell").0.0/16"
            return
        fi
    done
    fail "no free loopback network"
}

# vm_create CELL NAME SPEC
vm_create() {
    post_json "$(api_url "$1")/virtualmachines" \
        "$(jq -nc --arg name "$2" --argjson spec "$3" '{metadata:{name:$name},spec:$spec}')" >/dev/null
}

# vm_mark_leaving CELL NAME
vm_mark_leaving() {
    local url
    url="$(api_url "$1")/virtualmachines/$2"
    curl --silent --fail --max-time 5 --request PUT --data "$(get_json "$url" | jq -c '.spec.state = "leaving"')" \
        "$url" >/dev/null
}

# vm_remove CELL NAME
vm_remove() {
    local url version
    url="$(api_url "$1")/virtualmachines/$2"
    version=$(get_json "$url" | jq -r .metadata.resourceVersion)
    curl --silent --fail --max-time 5 --request DELETE "$url?resourceVersion=$version" >/dev/null
}

# start_fabric CELL [OPTION...]
start_fabric() {
    local cell=$1
    shift
    start_process "$cell-fabric" "$bin_dir/standin_fabric" --listen "$(network_of "$cell").0.1:7001" \
        --control "$(network_of "$cell").0.1:7002" --platform "$(platform_url "$cell")" --data-centre "$cell" "$@"
    await "$cell fabric answers" 20 answers "$(fabric_url "$cell")/control"
}

# start_target CELL NUMBER SERVICE ADDRESS [OPTION...]
start_target() {
    local cell=$1 number=$2 service=$3 address=$4 network
    network=$(network_of "$cell")
    shift 4
    start_process "$cell-host-$number" "$bin_dir/standin_target" --host "host-$number" --service "$service" \
        --service-address "$address" --tunnel "$network.2.$number:5555" --http "$network.2.$number:8081" \
        --seed "$number" "$@"
    await "$cell host-$number answers" 20 answers "$(target_url "$cell" "$number")/health"
    vm_create "$cell" "host-$number" "$(jq -nc --arg dc "$cell" --arg host "host-$number" --arg service "$service" \
        --arg tunnel "$network.2.$number:5555" --arg health "$(target_url "$cell" "$number")/health" \
        '{role:"target",dataCentre:$dc,state:"live",host:$host,service:$service,tunnelAddress:$tunnel,healthUrl:$health}')"
}

# start_balancer CELL NUMBER: the VM list names it at once; the fabric uses it when it is ready.
start_balancer() {
    local cell=$1 number=$2 address settings
    address="$(network_of "$cell").1.$number"
    settings="$run_dir/$cell-balancer-$number.toml"
    cat >"$settings" <<EOF
[balancer]
id = "balancer-$number"
data_centre = "$cell"
packet_address = "$address:6000"
relay_address = "$address:6001"
control_address = "$address:6002"
threads = 2
flow_capacity = 100000
drain_deadline_seconds = 30

[platform]
url = "$(platform_url "$cell")"
timeout_ms = 1000

[refusal]
gateway = "$(network_of "$cell").0.1:7001"

[metrics]
address = "$address:6003"

[log]
level = "info"
EOF
    start_process "$cell-balancer-$number" "$bin_dir/anvilwalkd" --config "$settings"
    vm_create "$cell" "balancer-$number" "$(jq -nc --arg dc "$cell" --arg id "balancer-$number" \
        --arg packet "$address:6000" --arg control "$address:6002" --arg ready "http://$address:6003/ready" \
        '{role:"entry",dataCentre:$dc,state:"live",balancer:$id,packetAddress:$packet,controlAddress:$control,readyUrl:$ready}')"
}

# publish CELL DIRECTORY [OPERATOR]: publishes the service files of a directory.
publish() { "$bin_dir/anvilwalk" publish --platform "$(platform_url "$1")" --operator "${3:-demo}" "$2"; }

# Parts of a service file.
text_in() { sed -n "s/^$2 *= *\"\([^\"]*\)\".*/\1/p" "$1"; }
service_name() { echo "$(text_in "$1" user)/$(text_in "$1" service)"; }
# First address of the service.
service_address() { sed -n 's/^addresses *= *\[ *"\([0-9.:]*\)\/tcp".*/\1/p' "$1"; }

# ready_balancers CELL: number of balancers that the fabric uses.
ready_balancers() { get_json "$(fabric_url "$1")/control" | jq '[.balancers[] | select(.ready)] | length'; }
has_ready_balancers() { [ "$(ready_balancers "$1")" = "$2" ]; }
# fabric_uses CELL NUMBER
fabric_uses() {
    get_json "$(fabric_url "$1")/control" | jq -e --arg id "balancer-$2" '.balancers[$id].ready == true' >/dev/null
}
fabric_avoids() { ! fabric_uses "$1" "$2"; }

# start_caller CELL NUMBER SERVICE ADDRESS [OPTION...]
start_caller() {
    local cell=$1 number=$2 service=$3 address=$4 network
    network=$(network_of "$cell")
    shift 4
    start_process "$cell-caller-$number" "$bin_dir/standin_caller" --bind "$network.3.$number" \
        --fabric "$network.0.1:7001" --status "$network.3.$number:8082" --service "$service" \
        --service-address "$address" --prefix "$cell-$number" --seed "$number" "$@"
    cell_callers[$cell]="${cell_callers[$cell]:-} $number"
    await "$cell caller-$number answers" 20 answers "$(caller_url "$cell" "$number")/status"
}

# caller_value CELL NUMBER JQ-EXPRESSION
caller_value() { get_json "$(caller_url "$1" "$2")/status" | jq "$3"; }
# caller_at_least CELL NUMBER JQ-EXPRESSION VALUE
caller_at_least() {
    local value
    value=$(caller_value "$1" "$2" "$3") && [ "${value:-0}" -ge "$4" ]
}

# await_answers CELL CALLER COUNT SECONDS: the caller gets COUNT more answers.
await_answers() {
    local before
    before=$(caller_value "$1" "$2" .answered)
    await "$1 caller-$2 got $3 more answers" "$4" caller_at_least "$1" "$2" .answered $((before + $3))
}

# stop_callers CELL: lets open requests end; the reports are in the callers' .out files.
stop_callers() {
    local cell=$1 number
    for number in ${cell_callers[$cell]}; do send_signal "$cell-caller-$number" TERM; done
    for number in ${cell_callers[$cell]}; do
        await "$cell caller-$number has ended" 60 has_exited "$cell-caller-$number"
    done
}

# collect_ledgers CELL: writes the ledgers of all targets of the cell to CELL-ledgers.json.
collect_ledgers() {
    local cell=$1 name
    for name in "${!pids[@]}"; do
        [[ $name == "$cell"-host-* ]] && is_running "$name" || continue
        get_json "$(target_url "$cell" "${name##*-}")/ledger"
        echo
    done | jq -sc . >"$run_dir/$cell-ledgers.json"
}

# summarise KILLED_AT_MS CELL...: prints the JSON verdict over the callers' reports and the targets' ledgers. A flow
# is broken by a planned change unless it broke after the kill. A flow that fell silent broke at its last progress;
# streams get an update every 500 ms, so 1 s is allowed for.
summarise() {
    local killed_at=$1 cell
    shift
    for cell in "$@"; do
        cat "$run_dir/$cell"-caller-*.out | jq -sc --slurpfile ledgers "$run_dir/$cell-ledgers.json" \
            --argjson killed "$killed_at" -f "$(dirname "${BASH_SOURCE[0]}")/verdict.jq"
    done | jq -sc 'reduce .[] as $cell ({}; . as $sum | reduce ($cell | to_entries[]) as $entry ($sum;
        .[$entry.key] = (if .[$entry.key] == null then $entry.value else .[$entry.key] + $entry.value end)))'
}
