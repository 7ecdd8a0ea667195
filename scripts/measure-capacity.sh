#!/usr/bin/env bash
# Repeats the measurements that docs/CAPACITY.md is worked out from: cost of control when idle and
# under load, cost of a task start, size and check time of large manifests. Takes about a minute.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/local-deployment.sh
start_deployment
sleep 6

metric() { # metric PORT NAME
    curl -sf -H "Authorization: Bearer $EP_OPERATOR_TOKEN" "http://127.0.0.1:$1/v1/metrics" |
        awk -v name="$2" '$1 == name {print int($2)}'
}
ticks() { awk '{print $14 + $15}' "/proc/$(cat "$logs/$1.pid")/stat"; }
resident() { awk '/VmRSS/ {print int($2 / 1024)}' "/proc/$(cat "$logs/$1.pid")/status"; }
measure() { # measure LABEL SECONDS: one daemon's processor time, peer bytes and memory
    local cpu bytes messages
    cpu=$(ticks center-1)
    bytes=$(metric 7201 endivepath_peer_bytes_sent_total)
    messages=$(metric 7201 endivepath_peer_messages_sent_total)
    sleep "$2"
    echo "$1: center-1 cpu $(awk "BEGIN {print ($(ticks center-1) - $cpu) / $2}") % of a core," \
        "peers $((($(metric 7201 endivepath_peer_bytes_sent_total) - bytes) / $2)) B/s in" \
        "$((($(metric 7201 endivepath_peer_messages_sent_total) - messages) / $2)) messages/s," \
        "memory $(resident center-1) MiB"
}
load() { # load RATE MIX PREFIX
    "$bin/loadgen" --callers http://127.0.0.1:7101 --manifest "$example/manifest.json" --rate "$1" \
        --duration 10 --mix "$2" --team landlords --key-prefix "$3" | sed -n '1,2p; /startedTasks/p; /isClean/p'
}
measure idle 10
load 20 shiftAudit:1:100:10 center:cap-a- & load_pid=$!
sleep 2
measure "jobs, 2000 task starts/s in the domain" 6
wait "$load_pid"
echo "records after the jobs: $(metric 7201 endivepath_records)," \
    "$(metric 7201 endivepath_record_bytes) bytes by the daemon's own account"
load 1000 probeCheck:1:1:10 cap-b- & load_pid=$!
sleep 2
measure "singles, 1000/s at this daemon" 6
wait "$load_pid"
curl -sf http://127.0.0.1:7000/v1/statistics; echo " platform requests and writes since the start"
