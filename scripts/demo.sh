#!/usr/bin/env bash
# Builds everything and runs the main job: both stand-ins, the nine daemons of the Kalkan example, a
# shift audit, its answer and its time line. Ends every process by its id.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/build.sh >/dev/null
source scripts/local-deployment.sh
start_deployment
"$bin/endivepath" manifest status "${operators[@]}"

audit="$logs/audit.json"
{
    printf '{"team":"landlords","key":"center:audit-1","kind":"shiftAudit","tasks":['
    for i in $(seq 1 100); do
        [ "$i" -eq 1 ] || printf ','
        printf '{"probe":%d,"runMs":100}' "$i"
    done
    printf ']}'
} >"$audit"
echo "a shift audit of 100 tasks, submitted at an entry host of another failure domain:"
# The shards are owned, and slots usable, a few seconds after the first manifest.
wait_for 20 curl -sf -X POST --data-binary @"$audit" http://127.0.0.1:7108/v1/requests
curl -sf -X POST --data-binary @"$audit" http://127.0.0.1:7108/v1/requests | head -c 300
echo
"$bin/endivepath" timeline --team landlords --key center:audit-1 "${operators[@]}" >"$logs/timeline.txt"
echo "its time line, $(wc -l <"$logs/timeline.txt") lines, begins:"
head -n 12 "$logs/timeline.txt"
