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
trap 'rm -rf "$folder"' EXIT
timeout 110 "$standins" false-promise "$program" "$folder" "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
