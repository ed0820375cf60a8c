#!/bin/sh
# The stand-ins of the review's scripts need the standard library only: nothing is built, the files are checked.
cd "$(dirname "$0")" && python3 -c '
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
'
