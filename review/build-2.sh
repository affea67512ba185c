#!/usr/bin/env bash
# Build the stand-ins that the scripts of the second review start: Python modules that
# need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX="$folder" python3 -m compileall -q -f review/second review/[4-8]
