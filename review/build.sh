#!/bin/sh
# The stand-ins are Python scripts that need nothing but the standard library: only checks that
# they can be run.
set -eu
cd "$(dirname "$0")"
for file in standin/*.py */case.py; do
    python3 -c 'import ast, sys, tomllib; ast.parse(open(sys.argv[1]).read())' "$file"
done
