#!/bin/bash
# Prepares the stand-ins of the cases 4 to 8. They are Python programs that need the standard library only, so
# there is nothing to compile: this checks that the interpreter is there and reads them.
set -eu
cd "$(dirname "$0")"
python=/usr/bin/python3
[ -x "$python" ] || python=python3
export PYTHONDONTWRITEBYTECODE=1
for file in lib2/*.py [4-8]/case.py; do
  [ -e "$file" ] || continue
  "$python" - "$file" <<'CHECK'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
CHECK
done
[ -x ../target/aspenwick ] || echo "target/aspenwick is missing: build it as deploy/service.toml says" >&2
echo "the stand-ins are ready"
