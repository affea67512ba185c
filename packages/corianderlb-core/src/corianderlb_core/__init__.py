"""Decide what the router does, without sockets, clocks or tasks.

Everything here is pure: time comes in as seconds on a monotonic clock, randomness as
a ``random.Random``. A test or a bench can drive each decision without a router.
"""

from __future__ import annotations
