"""HTTP client of the platform's object store, in the protocol of the stand-in."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final
from urllib.parse import quote

import httpx

from corianderlb_core.codec import DecodeError, from_plain, plain_from_json

from .store import (
    InstanceList,
    ObjectStore,
    StoreConflictError,
    StoredObject,
    StoreRefusedError,
    StoreUnavailableError,
    WatchResult,
)
from .store_caller import WATCH_GRACE_S, StoreCall, StoreCaller, retry_after_of

FRAMING_HEADERS: Final = ("content-length", "transfer-encoding")
"""Headers that tell a whole body from a part of it."""


class HttpObjectStore(StoreCaller, ObjectStore):
    """Client of the object store at a URL.

    For example ``await HttpObjectStore("http://127.0.0.1:9000").get("changes/1")``
    returns the object, or None when there is none. Close it with ``aclose``.
    """

    async def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        resp = await self.call(StoreCall.GET, "GET", _path(key))
        if resp.status_code == httpx.codes.NOT_FOUND:
            return None
        self._expect(StoreCall.GET, resp, httpx.codes.OK)
        if not any(name in resp.headers for name in FRAMING_HEADERS):
            # Other answers are JSON, of which a part cannot be decoded.
            raise self.lost(StoreCall.GET, "the answer has no length")
        revision = int(resp.headers.get("x-revision", 0))
        return StoredObject(key, resp.content, _etag(resp), revision)

    async def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return the keys under a prefix that sort after ``after``, in order."""
        params = {"prefix": prefix, "after": after, "limit": limit}
        resp = await self.call(StoreCall.LIST, "GET", "/objects", params=params)
        plain = self._json(StoreCall.LIST, resp)
        return [str(key) for key in plain["keys"]]

    async def create(self, key: str, value: bytes) -> str:
        """Create the object and return its version; conflict if it exists."""
        headers = {"if-none-match": "*"}
        resp = await self.call(
            StoreCall.CREATE, "PUT", _path(key), content=value, headers=headers
        )
        self._expect(StoreCall.CREATE, resp, httpx.codes.CREATED)
        return _etag(resp)

    async def update(self, key: str, value: bytes, version: str) -> str:
        """Replace the object if it still has that version; return the new version."""
        headers = {"if-match": f'"{version}"'}
        resp = await self.call(
            StoreCall.UPDATE, "PUT", _path(key), content=value, headers=headers
        )
        self._expect(StoreCall.UPDATE, resp, httpx.codes.OK)
        return _etag(resp)

    async def delete(self, key: str, version: str) -> None:
        """Delete the object if it still has that version."""
        headers = {"if-match": f'"{version}"'}
        resp = await self.call(StoreCall.DELETE, "DELETE", _path(key), headers=headers)
        self._expect(StoreCall.DELETE, resp, httpx.codes.NO_CONTENT)

    async def watch(self, prefix: str, revision: int, timeout_s: float) -> WatchResult:
        """Wait until a key under the prefix changes after a revision."""
        params = {"prefix": prefix, "revision": revision, "timeout_s": timeout_s}
        resp = await self.call(
            StoreCall.WATCH,
            "GET",
            "/watch",
            params=params,
            timeout_s=timeout_s + WATCH_GRACE_S,
        )
        plain = self._json(StoreCall.WATCH, resp)
        return WatchResult(tuple(plain["keys"]), int(plain["revision"]))

    async def instances(self) -> InstanceList:
        """Return the platform's list of instances."""
        resp = await self.call(StoreCall.INSTANCES, "GET", "/instances")
        plain = self._json(StoreCall.INSTANCES, resp)
        try:
            return from_plain(InstanceList, plain, strict=False)
        except DecodeError as exc:
            raise StoreUnavailableError(f"instances: {exc}") from exc

    def raise_for_failure(self, kind: StoreCall, resp: httpx.Response) -> None:
        """Raise for status codes that mean the same for every kind of call."""
        status = resp.status_code
        if status == httpx.codes.PRECONDITION_FAILED:
            raise StoreConflictError(
                f"{kind.value}: the object exists or has changed; read it again"
            )
        if status == httpx.codes.TOO_MANY_REQUESTS:
            raise self.unavailable(kind, f"status {status}", retry_after_of(resp))
        if status >= httpx.codes.INTERNAL_SERVER_ERROR:
            raise self.lost(kind, f"status {status}")
        missing = kind is StoreCall.GET and status == httpx.codes.NOT_FOUND
        if status >= httpx.codes.BAD_REQUEST and not missing:
            self.n_failed[kind] += 1
            raise StoreRefusedError(
                f"{kind.value}: request rejected with status {status}"
            )

    def _expect(self, kind: StoreCall, resp: httpx.Response, status: int) -> None:
        if resp.status_code != status:
            raise self.lost(kind, f"status {resp.status_code}, expected {status}")

    def _json(self, kind: StoreCall, resp: httpx.Response) -> Mapping[str, Any]:
        self._expect(kind, resp, httpx.codes.OK)
        try:
            plain = plain_from_json(resp.content)
        except DecodeError as exc:
            raise self.lost(kind, exc) from exc
        if not isinstance(plain, dict):
            raise self.lost(kind, "the answer is not a JSON object")
        return plain


def _path(key: str) -> str:
    """Return the path of an object; slashes in the key are not quoted."""
    return "/objects/" + quote(key, safe="/")


def _etag(resp: httpx.Response) -> str:
    return resp.headers.get("etag", "").strip('"')
