#!/usr/bin/env bash
# Installs missing packages, builds, starts a small site on loopback and runs the steps of
# tools/demo on it. With --serve, only starts the site and keeps it running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")"
tools/install_packages
cmake --preset release >/dev/null
cmake --build build >/dev/null
exec tools/demo "$@"
