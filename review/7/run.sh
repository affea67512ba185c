#!/usr/bin/env bash
# Orders that fail after they have run; exits with 1 if the rule is broken.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -B review/7/run.py
