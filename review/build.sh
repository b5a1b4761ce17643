#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies: building them means to
# check that the interpreter compiles them. The programs under test are built by
# the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import glob
for name in sorted(glob.glob("common/*.py") + glob.glob("*/case.py")):
    with open(name) as file:
        compile(file.read(), name, "exec")
    print("checked", name)
P
