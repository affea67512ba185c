"""HTTP client of the platform's object store, in the protocol of the stand-in."""

from __future__ import annotations

import re
from typing import Final, TypeVar
from urllib.parse import quote

import httpx

from corianderlb_core.codec import DecodeError, from_json
from corianderlb_core.data_class import dataclass

from .store import (
    InstanceList,
    ObjectStore,
    StoreConflictError,
    StoredObject,
    StoreRefusedError,
    WatchResult,
)
from .store_caller import WATCH_GRACE_S, StoreCall, StoreCaller, retry_after_of

T = TypeVar("T")

FRAMING_HEADERS: Final = ("content-length", "transfer-encoding")
"""Headers that tell a whole body from a part of it."""

_REVISION: Final = re.compile("[0-9]{1,18}")


@dataclass(frozen=True)
class _KeyList:
    """Answer to a list."""

    keys: tuple[str, ...]


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
        revision = resp.headers.get("x-revision", "0")
        if not _REVISION.fullmatch(revision):
            raise self.lost(StoreCall.GET, f"the answer has the revision {revision!r}")
        return StoredObject(key, resp.content, _etag(resp), int(revision))

    async def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return the keys under a prefix that sort after ``after``, in order."""
        params = {"prefix": prefix, "after": after, "limit": limit}
        resp = await self.call(StoreCall.LIST, "GET", "/objects", params=params)
        return list(self._decode(StoreCall.LIST, resp, _KeyList).keys)

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
        return self._decode(StoreCall.WATCH, resp, WatchResult)

    async def instances(self) -> InstanceList:
        """Return the platform's list of instances."""
        resp = await self.call(StoreCall.INSTANCES, "GET", "/instances")
        return self._decode(StoreCall.INSTANCES, resp, InstanceList)

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

    def _decode(self, kind: StoreCall, resp: httpx.Response, cls: type[T]) -> T:
        """Decode the answer to a read; one that is no ``cls`` is lost."""
        self._expect(kind, resp, httpx.codes.OK)
        try:
            return from_json(cls, resp.content)
        except DecodeError as exc:
            raise self.lost(kind, exc) from exc


def _path(key: str) -> str:
    """Return the path of an object; slashes in the key are not quoted."""
    return "/objects/" + quote(key, safe="/")


def _etag(resp: httpx.Response) -> str:
    return resp.headers.get("etag", "").strip('"')
