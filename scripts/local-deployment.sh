# Functions to run the Kalkan example on this machine; sourced by the other scripts. Every process is
# ended by its id when the script exits.
bin=${BUILD_DIR:-build}/bin
example=examples/kalkan
logs=$(mktemp -d)
pids=()
operators=()
for i in 1 2 3 4 5 6 7 8 9; do
    operators+=(--daemon "http://127.0.0.1:$((7200 + i))")
done
EP_OPERATOR_TOKEN=$(sed -n 's/.*"operatorToken": *"\([^"]*\)".*/\1/p' "$example/center-1.json")
export EP_OPERATOR_TOKEN

finish() {
    [ "${#pids[@]}" -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    echo "all processes have ended; their logs are in $logs"
}
trap finish EXIT

wait_for() { # wait_for SECONDS COMMAND...: repeats the command until it succeeds
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$deadline" ] || { echo "timed out: $*" >&2; return 1; }
        sleep 0.2
    done
}

start_deployment() {
    "$bin/platformstandin" --port 7000 2>"$logs/platform.log" &
    pids+=($!)
    "$bin/workerstandin" --manifest "$example/manifest.json" --speed-spread 2 2>"$logs/workers.log" &
    pids+=($!)
    local settings name
    for settings in "$example"/*-?.json; do
        name=$(basename "$settings" .json)
        "$bin/endivepathd" --settings "$settings" 2>"$logs/$name.log" &
        pids+=($!)
        echo $! >"$logs/$name.pid"
    done
    wait_for 20 curl -sf http://127.0.0.1:7109/v1/healthy
    "$bin/endivepath" manifest submit "$example/manifest.json" --daemon http://127.0.0.1:7201
    wait_for 20 "$bin/endivepath" manifest status "${operators[@]}"
}
