#!/usr/bin/env bash
# Case 7: a replica's 503 without Stackmast-Not-Executed is passed on as a promise.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$root/target/release/stackmast-platform"
standins="$root/review/standins-2/target/release/review-standins-2"
for file in "$program" "$standins"; do
    [ -x "$file" ] || { echo "not built: $file" >&2; exit 2; }
done
folder="$(mktemp -d)" || exit 2
end_all() {
    while read -r process; do
        # Only a process of this run: its number may have been given to another one since.
        grep -qs "^STACKMAST_SETTINGS=$folder/" <(tr '\0' '\n' 2>/dev/null < "/proc/$process/environ") && kill -KILL "$process"
    done < <(cat "$folder/processes" 2>/dev/null)
    rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
timeout 110 "$standins" false-promise "$program" "$folder" "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
