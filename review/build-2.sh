#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They need no package.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standins-2/main.rs -o target/review-2/standins
