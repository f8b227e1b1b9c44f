#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. Writes record.txt in its folder.
# With TROUBLE=0 it does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review/release/first_request_at_stop
[ -x "$program" ] && [ -x target/release/carobhaven ] || exit 2
exec "$program" "$folder/record.txt" "${TROUBLE:-1}"
