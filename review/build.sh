#!/bin/bash
# The stand-ins are Python without packages: nothing is compiled, only checked.
set -euo pipefail
cd "$(dirname "$0")"
for f in lib/*.py */*.py; do python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"; done
