#!/bin/sh
# Exits with 1 if requests on the added route are not served, 0 if they are, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/harness ] && [ -x target/release/geraniummastd ] || exit 2
exec target/review-3/harness unanswered-orders review/11
