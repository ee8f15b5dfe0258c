#!/usr/bin/env bash
# Runs the fault soak: real balancer processes among stand-ins for the users' platform. Takes the options of
# anvilwalk_soak (--seed, --seconds, --balancers and others; --help lists them) and --seeds FIRST-LAST for several runs
# one after the other. The reports and logs are left in build/soak/SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
soak=build/bin/anvilwalk_soak
[ -x "$soak" ] || { tools/install.sh; tools/build.sh --target anvilwalk_soak anvilwalk-edge; }
first=1
last=1
options=()
while [ "$#" -gt 0 ]; do
    case $1 in
        --seed) first=$2 last=$2; shift 2 ;;
        --seeds) first=${2%-*} last=${2#*-}; shift 2 ;;
        --help) "$soak" --help; exit 0 ;;
        *) options+=("$1"); shift ;;
    esac
done
failed=()
for seed in $(seq "$first" "$last"); do
    "$soak" --program build/bin/anvilwalk-edge --folder "build/soak/$seed" --seed "$seed" "${options[@]}" \
        || failed+=("$seed")
done
[ "${#failed[@]}" -eq 0 ] || { echo "Failed seeds: ${failed[*]}"; exit 1; }
