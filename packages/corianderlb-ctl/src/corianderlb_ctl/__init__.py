"""The operators' command line: edit the catalogue and read back what is in force."""

from __future__ import annotations
