#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs of the standard library, so they are only compiled as
# a check of their syntax; the programs under test come from the build of the deploy file.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'P'
import pathlib, sys
for path in sorted(p for folder in ("common-2", "6", "7", "8", "9", "10") for p in pathlib.Path(folder).glob("*.py")):
    compile(path.read_text(), str(path), "exec")
sys.exit(0)
P
