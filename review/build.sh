#!/bin/sh
# Checks the stand-ins of the scripts. They are Python and need nothing but its standard library, so nothing is built;
# the project's program comes from the build command of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
