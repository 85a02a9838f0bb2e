#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review/case-$(basename "$here")
[ -x "$program" ] && [ -x target/magnolia-gateway ] || exit 2
folder=$(mktemp -d) || exit 2
timeout --kill-after=2 110 "$program" "$here/record.txt" "$folder"
code=$?
rm -rf "$folder"
[ "$code" -le 1 ] || code=2
exit "$code"
