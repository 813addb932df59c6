#!/bin/bash
# The stand-ins of cases 11 to 15 are Python files in common-3/ that need only the standard library.
# Checks that they can be read; there is nothing to build.
cd "$(dirname "$0")" || exit 1
for file in common-3/stand_ins.py 1[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
