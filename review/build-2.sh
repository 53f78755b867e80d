#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start besides the gateway. The gateway itself comes from the build of the
# deploy file. The stand-ins are Python programs on the standard library: compiling them shows that they can be started.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
for folder in ("standins-2", "6", "7", "8", "9", "10"):
    for file in sorted(pathlib.Path(folder).glob("*.py")):
        compile(file.read_text(encoding="utf-8"), str(file), "exec")
        print("compiled", file)
CHECK
test -x ../target/release/petrelshore || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
