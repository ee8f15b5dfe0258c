# Verdict over the reports of one cell's callers (input: an array) and the ledgers of its targets ($ledgers[0]).
# $killed is the time of the first unplanned failure in milliseconds, or 0 if there was none.
def base: split("/r")[0];
def broke_after_kill:
    $killed > 0 and (if (.cause | startswith("no_progress")) then .sinceMs + 1000 else .atMs end) >= $killed;

($ledgers[0]) as $hosts
# One entry for each request id: answered, refused and how often it ran. Grouping sorts once; sums kept in an object
# take time quadratic in the number of requests.
| ([.[].ids.answered[] | {id: ., answered: 1}] + [.[].ids.refused[] | {id: ., refused: 1}]
    + [$hosts[].ran | to_entries[] | {id: .key, runs: .value}]
    | group_by(.id)
    | map({id: .[0].id, answered: (map(.answered // 0) | add), refused: (map(.refused // 0) | add),
        runs: (map(.runs // 0) | add)})) as $ids
| [.[].broken_flows[]] as $broken
| {
    requests: ([.[].requests] | add),
    answered: ([.[].answered] | add),
    refused: ([.[].refused] | add),
    not_opened: ([.[].not_opened] | add),
    broken_flows: ($broken | length),
    broken_by_planned_change: ([$broken[] | select(broke_after_kill | not)] | length),
    broken_by_cause: (reduce $broken[] as $flow ({}; .[$flow.cause] += 1)),
    misdelivered: (([.[].misdelivered[]] | length) + ([$hosts[].wrongService] | add)),
    ran_twice: ([$ids[] | {base: (.id | base), runs}] | group_by(.base) | map(select((map(.runs) | add) > 1)) | length),
    refused_but_ran: ([$ids[] | select(.refused > 0 and .runs > 0)] | length),
    answered_not_run: ([$ids[] | select(.answered > 0 and .runs == 0)] | length),
    stream_gaps: ([.[].stream_gaps] | add),
    wrong_sizes: ([.[].wrong_sizes] | add),
    resets_by_cause: (reduce ($hosts[].resets | to_entries[]) as $reset ({}; .[$reset.key] += $reset.value))
}
