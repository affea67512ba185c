"""HTTP clients for calls to the store and to instances."""

from __future__ import annotations

from http.cookiejar import CookieJar, DefaultCookiePolicy
from typing import Any, Final

import httpx

from .bounded_transport import AnswerBounds, BoundedTransport

INSTANCE_BOUNDS: Final = AnswerBounds(max_bytes=256 << 10, room_bytes=4 << 20)
"""Bounds of the answers about instances; a report of a thousand adapters is 60 kB."""

STORE_BOUNDS: Final = AnswerBounds(
    max_bytes=4 << 20, room_bytes=12 << 20, start_bytes=256 << 10
)
"""Bounds of the answers of the store, whose pages and objects are of 1 MB at most."""


def make_client(
    transport: httpx.AsyncBaseTransport, bounds: AnswerBounds, **options: Any
) -> httpx.AsyncClient:
    """Return a client for calls whose answers are read whole, within bounds.

    The options are those of ``httpx.AsyncClient``, for example
    ``make_client(transport, INSTANCE_BOUNDS, base_url="http://store:8080")``.
    """
    return make_stream_client(BoundedTransport(transport, bounds), **options)


def make_stream_client(
    transport: httpx.AsyncBaseTransport, **options: Any
) -> httpx.AsyncClient:
    """Return a client for answers that their reader bounds itself.

    It keeps no cookies and reads no environment variables. A cookie of one answer would
    be sent with later requests, also those of other callers, and one outside ASCII
    would fail them all.
    """
    no_cookies = CookieJar(DefaultCookiePolicy(allowed_domains=[]))
    return httpx.AsyncClient(
        transport=transport, cookies=no_cookies, trust_env=False, **options
    )
