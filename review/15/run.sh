#!/usr/bin/env bash
# Executors crash and start again under their ids, some as another kind.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/cases kindChanged review/15 target/bin/endivepathd
