#!/usr/bin/env bash
# Builds what the scripts of review/11 and later start beside the programs of
# deploy/system.toml. The stand-ins are Python programs that use the standard
# library only, so they are only checked here.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in [*pathlib.Path("common-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/*.py")]:
    compile(path.read_text(), str(path), "exec")
print("the stand-ins are ready")
PYTHON
