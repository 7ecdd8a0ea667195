#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it
# without the disruption; SEED repeats a run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x build-review/bin/review-case ] && [ -x target/bin/endivepathd ] || exit 2
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
REVIEW_TMP=$tmp build-review/bin/review-case kills "$folder" "${SEED:-$RANDOM}" &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' TERM INT
wait "$pid"
rc=$?
[ "$rc" -le 1 ] || rc=2
exit "$rc"
