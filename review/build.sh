#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python 3 modules that run inside the scripts
# (review/lib, standins/users_platform and tools/oriole_site), so they are only checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.py review/*/*.py standins/users_platform/*.py tools/oriole_site/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
