"""The router process."""

from __future__ import annotations
