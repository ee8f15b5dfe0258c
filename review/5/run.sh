#!/usr/bin/env bash
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=build-review/case-$(basename "$here")
[ -x "$program" ] && [ -x target/bin/anvilwalk-edge ] || exit 2
exec "$program" "$here"
