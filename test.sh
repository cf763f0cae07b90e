#!/usr/bin/env bash
# Installs missing packages, builds, checks the format, runs the linter and all tests.
set -euo pipefail
cd "$(dirname "$0")"
tools/install_packages
cmake --preset release >/dev/null
cmake --build build
tools/format --check
if [ "${CI:-}" = true ]; then
    tools/lint --all
else
    tools/lint
fi
tools/run_tests
