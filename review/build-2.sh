#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after the build of the deploy file. The programs are the
# deploy file's own (build/quartzarch and build/quartzarch_full). The stand-ins are Python and need no build: this
# checks that they and the cases can be read. The standard library is enough.
set -e
cd "$(dirname "$0")/.."
test -x build/quartzarch && test -x build/quartzarch_full || { echo "build the deploy file first"; exit 2; }
python3 -B - <<'CHECK'
import ast, pathlib
for path in [pathlib.Path("review/peers2/peers.py"), *(pathlib.Path(f"review/{n}/case.py") for n in range(6, 11))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print("the stand-ins of review/6 to review/10 are ready")
CHECK
