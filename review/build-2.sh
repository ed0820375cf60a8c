#!/bin/sh
# The stand-ins of the second review's scripts need the standard library only: nothing is built, the files are checked.
cd "$(dirname "$0")" && python3 -c '
import ast, pathlib
for path in (pathlib.Path("standins_2.py"), *(pathlib.Path(str(n), "case.py") for n in range(6, 11))):
    if path.exists():
        ast.parse(path.read_text(), str(path))
'
