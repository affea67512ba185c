"""Checks and the digest of a request that do not depend on its protocol."""

from __future__ import annotations

import hashlib

from corianderlb_core.result import ResultCode

from .caller import CallerExchange, refuse


def check_headers(req: CallerExchange, limit: int) -> None:
    """Refuse a request whose headers exceed the limit in bytes."""
    n_bytes = sum(len(name) + len(value) for name, value in req.raw_headers)
    if n_bytes > limit:
        detail = f"The headers are longer than {limit} bytes."
        raise refuse(ResultCode.HEADERS_TOO_LARGE, detail)


def body_digest(account: str, body: bytes) -> bytes:
    """Return the digest by which all routers identify a request for quarantine."""
    return hashlib.sha256(account.encode() + b"\0" + body).digest()[:16]
