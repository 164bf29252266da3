#!/bin/sh
# The stand-ins of the cases are Python, which needs no build: this checks that it is there and reads them.
set -e
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in standin.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
