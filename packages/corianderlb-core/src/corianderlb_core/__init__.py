"""The router's decision logic, without sockets, clocks or tasks.

Time is passed in as seconds of a monotonic clock, randomness as a ``random.Random``, so
tests and benchmarks can run each decision without a router.
"""

from __future__ import annotations
