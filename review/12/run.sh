#!/bin/sh
# Exits with 1 if an answer is lost, 0 if none is, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/harness ] && [ -x target/release/geraniummastd ] || exit 2
exec target/review-3/harness stop-behind-pipelined review/12
