#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15. They are Python programs that need no package; this only
# checks that the interpreter can read them.
cd "$(dirname "$0")/standin-c" || exit 1
exec python3 -B -c '
import pathlib
for path in sorted(pathlib.Path(".").glob("*.py")) + sorted(pathlib.Path("..").glob("1[1-5]/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("ok", path.name)
'
