#!/usr/bin/env bash
# One process is cut off from the others; the registrations of two have versions that are equal
# modulo 65,536.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/cases sameToken review/15 target/bin/endivepathd
