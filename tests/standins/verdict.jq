# Verdict over the reports of one cell's callers (input: an array) and the ledgers of its targets ($ledgers[0]).
# $killed is the time of the first unplanned failure in milliseconds, or 0 if there was none.
def base: split("/r")[0];
def broke_after_kill:
    $killed > 0 and (if (.cause | startswith("no_progress")) then .sinceMs + 1000 else .atMs end) >= $killed;

($ledgers[0]) as $hosts
| [.[].ids.answered[]] as $answered
| [.[].ids.refused[]] as $refused
| (reduce ($hosts[].ran | to_entries[]) as $run ({}; .[$run.key] += $run.value)) as $ran
| (reduce ($ran | to_entries[]) as $run ({}; .[$run.key | base] += $run.value)) as $ran_by_base
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
    ran_twice: ([$ran_by_base[] | select(. > 1)] | length),
    refused_but_ran: ([$refused[] | select($ran[.] != null)] | length),
    answered_not_run: ([$answered[] | select($ran[.] == null)] | length),
    stream_gaps: ([.[].stream_gaps] | add),
    wrong_sizes: ([.[].wrong_sizes] | add),
    resets_by_cause: (reduce ($hosts[].resets | to_entries[]) as $reset ({}; .[$reset.key] += $reset.value))
}
