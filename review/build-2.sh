#!/bin/sh
# Prepares what the cases 6 to 9 start, after the build of deploy/system.toml. The stand-ins are
# Python programs of this folder without dependencies; this checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
test -x target/release/hemlock-queue || {
    echo "target/release/hemlock-queue is missing: run the build of deploy/system.toml first" >&2
    exit 2
}
for file in review/standin-b/*.py review/[6-9]/case.py; do
    test -e "$file" || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 2
done
