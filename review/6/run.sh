#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 110 target/review-2/standins restarts target/release/geraniummastd review/6/record.txt "$folder"
status=$?
rm -rf "$folder"
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
