"""HTTP client for calls to the store and to instances."""

from __future__ import annotations

from http.cookiejar import CookieJar, DefaultCookiePolicy
from typing import Any

import httpx


def make_client(**options: Any) -> httpx.AsyncClient:
    """Return a client that keeps no cookies and reads no environment variables.

    A cookie of one answer would be sent with later requests, also those of other
    callers, and one outside ASCII would fail them all. The options are those of
    ``httpx.AsyncClient``, for example ``make_client(base_url="http://store:8080")``.
    """
    no_cookies = CookieJar(DefaultCookiePolicy(allowed_domains=[]))
    return httpx.AsyncClient(cookies=no_cookies, trust_env=False, **options)
