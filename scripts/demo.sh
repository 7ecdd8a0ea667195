#!/usr/bin/env bash
# Builds everything and runs the main job: both stand-ins, the nine daemons of the Kalkan example, a
# shift audit, its answer and its time line. Ends every process by its id.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/build.sh >/dev/null
bin=${BUILD_DIR:-build}/bin
example=examples/kalkan
logs=$(mktemp -d)
pids=()
finish() {
    [ "${#pids[@]}" -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    echo "all processes have ended; their logs are in $logs"
}
trap finish EXIT

"$bin/platformstandin" --port 7000 2>"$logs/platform.log" &
pids+=($!)
"$bin/workerstandin" --manifest "$example/manifest.json" --speed-spread 2 2>"$logs/workers.log" &
pids+=($!)
for settings in "$example"/*-?.json; do
    "$bin/endivepathd" --settings "$settings" 2>"$logs/$(basename "$settings" .json).log" &
    pids+=($!)
done

EP_OPERATOR_TOKEN=$(sed -n 's/.*"operatorToken": *"\([^"]*\)".*/\1/p' "$example/center-1.json")
export EP_OPERATOR_TOKEN
operators=()
for i in 1 2 3 4 5 6 7 8 9; do
    operators+=(--daemon "http://127.0.0.1:$((7200 + i))")
done
wait_for() { # wait_for SECONDS COMMAND...: repeats the command until it succeeds
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$deadline" ] || { echo "timed out: $*" >&2; return 1; }
        sleep 0.2
    done
}
wait_for 20 curl -sf http://127.0.0.1:7109/v1/healthy
"$bin/endivepath" manifest submit "$example/manifest.json" --daemon http://127.0.0.1:7201
wait_for 20 "$bin/endivepath" manifest status "${operators[@]}"
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
# The first shards are owned a moment after the first manifest.
wait_for 20 curl -sf -X POST --data-binary @"$audit" http://127.0.0.1:7108/v1/requests
curl -sf -X POST --data-binary @"$audit" http://127.0.0.1:7108/v1/requests | head -c 300
echo
if ! "$bin/endivepath" timeline --team landlords --key center:audit-1 "${operators[@]}" >"$logs/timeline.txt"; then
    echo "the time line is not complete"
fi
head -n 12 "$logs/timeline.txt"
