#!/bin/sh
# Prepares what the scripts of review/6 to review/10 start beside the program of the deploy file. All
# stand-ins are Python: those of the project in standins/users_platform, and those of the cases. They
# need no build; this checks that each can be compiled.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast
import glob
for path in sorted(glob.glob("standins/users_platform/*.py") + glob.glob("review/lib-2/*.py")
                   + glob.glob("review/[6-9]/*.py") + glob.glob("review/10/*.py")):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print("the stand-ins can be compiled")
PY
