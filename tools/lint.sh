#!/usr/bin/env bash
# Checks format and lint of all own sources. With file arguments, checks these files only.
# A file that passed is not linted again until its preprocessed text or the rules change.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard \
        'packages/*.h' 'packages/*.cpp' 'apps/*.h' 'apps/*.cpp' 'tests/*.h' 'tests/*.cpp' 'bench/*.h' 'bench/*.cpp' \
        'platform/*.h' 'platform/*.cpp' \
        | grep -v '/generated/')
fi
clang-format --dry-run --Werror "${files[@]}"

# clang-tidy 14 knows coroutines but does not say so in the way that the standard library and Boost ask for.
export COROUTINE_ARGS="--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT \
    --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE"

lint_one() {
    local file=$1 command key
    command=$(jq -r --arg file "$PWD/$file" '.[] | select(.file == $file) | .command' build/compile_commands.json)
    [ -n "$command" ] || { echo "$file is not part of the build."; return 1; }
    # Same command with -E in place of -c and without the output and the compiler cache. A header of the random numbers
    # names the time of the compilation, which would make each key a new one.
    command=$(sed -E 's/^[^ ]*ccache //; s/ -o [^ ]+/ /; s/ -c / -E /' <<<"$command")
    command+=" -Wno-builtin-macro-redefined -D__DATE__=0 -D__TIME__=0"
    key=$( (cat .clang-tidy; (cd build && eval "$command" 2>/dev/null)) | sha256sum | cut -d' ' -f1)
    [ -e "build/lint-passed/$key" ] && return 0
    # shellcheck disable=SC2086
    clang-tidy -p build --quiet $COROUTINE_ARGS "$file" 2>/dev/null || { echo "clang-tidy failed on $file."; return 1; }
    touch "build/lint-passed/$key"
}
export -f lint_one
mkdir -p build/lint-passed
for file in "${files[@]}"; do
    case "$file" in tests/fuzz/*) ;; *.cpp) printf '%s\n' "$file" ;; esac
done | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "Format and lint are clean in ${#files[@]} files."
