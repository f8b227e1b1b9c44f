#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review/release/lost_answer_before_move
if [ ! -x "$program" ] || [ ! -x target/release/carobhaven ]; then
    echo "not built: $program or the project's program"
    exit 2
fi
started=$(mktemp) || exit 2
RECORD="$folder/record.txt" STARTED="$started" timeout -k 5 110 "$program"
code=$?
if [ "$code" -gt 1 ]; then
    # It ended early; what it started may still run.
    while read -r id; do kill -KILL "$id" 2>/dev/null; done <"$started"
    code=2
fi
rm -f "$started"
exit "$code"
