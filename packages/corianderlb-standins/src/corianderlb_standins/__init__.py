"""Stand-ins for the systems around the router; for tests and trials, never shipped."""

from __future__ import annotations
