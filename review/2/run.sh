#!/bin/sh
cd "$(dirname "$0")" || exit 2
python3 -c "import asyncio, tomllib; asyncio.timeout" || exit 2
exec python3 run.py
