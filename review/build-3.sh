#!/usr/bin/env bash
# Prepares the stand-ins of the scripts 11 to 15. They are Python and have nothing to compile but their syntax.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-2/*.py 1[1-5]/case.py tried-3/*/case.py; do
  if [ -f "$file" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
  fi
done
