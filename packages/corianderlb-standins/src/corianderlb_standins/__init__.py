"""Stand-ins for the systems around the router, for tests and benchmarks only."""

from __future__ import annotations
