"""Operator command line: edit the catalogue and inspect what the routers use."""

from __future__ import annotations
