#!/bin/sh
# Builds what the scripts of the second review start besides the programs of the deploy file. Their
# stand-ins are plain Python without dependencies, so that they only have to compile.
cd "$(dirname "$0")/.." || exit 1
exec python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path("review").glob("[6-9]/*.py")) + sorted(
    pathlib.Path("review").glob("10/*.py")
) + sorted(pathlib.Path("review/common-2").glob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
