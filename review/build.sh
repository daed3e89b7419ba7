#!/bin/sh
# The stand-ins are plain Python without dependencies; this checks that they compile.
cd "$(dirname "$0")/.." && for file in review/common/*.py review/[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
