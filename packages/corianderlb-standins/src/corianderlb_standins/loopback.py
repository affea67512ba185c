"""HTTP client for calls between the processes of one machine."""

from __future__ import annotations

from typing import Any

import httpx


def loopback_client(**options: Any) -> httpx.AsyncClient:
    """Return a client for plain HTTP that opens without blocking the event loop.

    By default each client loads the certificates of all authorities. That takes about
    0.1 s, during which no other task of the process runs, so that calls which are timed
    meanwhile seem slow. The options are those of ``httpx.AsyncClient``::

        async with loopback_client(timeout=2.0) as http:
            await http.get("http://127.0.0.1:8080/healthz")
    """
    return httpx.AsyncClient(verify=False, trust_env=False, **options)
