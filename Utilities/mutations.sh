#!/bin/bash
# Mutation test: disables one mechanism at a time in a copy of the tree and checks that a test fails.
# Each line of mutations.txt holds: guarantee @ file @ sed expression @ test command that must fail.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"
cmake -S "$copy" -B "$copy/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
targets="mango_control mango_entry mango_operator mango_stand_in mango_load run_scenario unit_tests"
cmake --build "$copy/build" --target $targets > /dev/null
scenario() {
    build/bin/run_scenario --script "Tests/Cases/$1.lua" --prelude Tests/Cases/prelude.lua \
        --programs build/bin --port 28000
}
survived=0
while IFS="@" read -r promise file expression command; do
    [[ -z $promise || $promise == \#* ]] && continue
    promise=${promise// /}
    file=${file// /}
    cp "$copy/$file" "$copy/original"
    sed -i -E "$expression" "$copy/$file"
    if cmp -s "$copy/original" "$copy/$file"; then
        echo "$promise: the mutation changes nothing in $file"
        survived=1
    elif ! cmake --build "$copy/build" --target $targets > "$copy/log" 2>&1; then
        echo "$promise: does not build"
        tail -n 5 "$copy/log"
        survived=1
    elif (cd "$copy" && eval "$command") > "$copy/log" 2>&1; then
        echo "$promise: NOT noticed by $command"
        survived=1
    else
        echo "$promise: noticed by$command: $(grep -m1 -E 'FAILED|violated|^P[0-9]+:|Failure' "$copy/log" | cut -c1-150)"
    fi
    cp "$copy/original" "$copy/$file"
done < Utilities/mutations.txt
exit "$survived"
