"""Stand-in for the platform's metadata store."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from .http_server import Exchange, Request

PREFIX = "/v1/objects/"


class Store:
    """Serves objects with revisions, lists and watches."""

    def __init__(self) -> None:
        self._revision = 10
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object; one that is the same stays as it is."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self._revision += 1
        created = known["metadata"]["created"] if known else self._revision
        metadata = {
            "name": name,
            "revision": self._revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind][name] = item
        self._publish(kind, item, removed=False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._revision += 1
        item = self._objects[kind].pop(name)
        self._publish(kind, item, removed=True)

    def _publish(self, kind: str, item: dict[str, Any], removed: bool) -> None:
        event = {"object": item, "removed": removed}
        self._history.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, req: Request, exchange: Exchange) -> None:
        """Answer one call."""
        kind, _, name = req.path.removeprefix(PREFIX).partition("/")
        if req.method == "GET" and "watch" in req.query:
            await self._watch(req, exchange, kind)
        elif req.method == "GET" and not name:
            after = req.query.get("after", "")
            known = sorted(self._objects.get(kind, {}).items())
            items = [item for key, item in known if key > after]
            await exchange.send_json(
                200,
                {"items": items, "has-more": False, "store-revision": self._revision},
            )
        elif req.method == "GET":
            found = self._objects.get(kind, {}).get(name)
            await exchange.send_json(200 if found else 404, found or {})
        else:
            status, answer = self._write(req, kind, name)
            await exchange.send_json(status, answer)

    async def _watch(self, req: Request, exchange: Exchange, kind: str) -> None:
        since = int(req.query["watch"])
        until = asyncio.get_running_loop().time()
        until += int(req.query.get("wait-ms", 0)) / 1000
        while not (events := self._events(kind, since)):
            left_s = until - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        await exchange.send_json(
            200, {"events": events, "store-revision": self._revision}
        )

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            event
            for revision, changed, event in self._history
            if changed == kind and revision > since
        ]

    def _write(self, req: Request, kind: str, name: str) -> tuple[int, dict[str, Any]]:
        body = json.loads(req.body) if req.body else {}
        metadata = body.get("metadata", {})
        known = self._objects.setdefault(kind, {})
        if req.method == "POST":
            name = metadata["name"]
            if name in known:
                return 409, known[name]
            return 200, self.put(kind, name, body.get("spec"))
        if name not in known:
            return 404, {}
        wanted = metadata.get("revision") or req.query.get("revision")
        if wanted and int(wanted) != known[name]["metadata"]["revision"]:
            return 409, known[name]
        if req.method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, self.put(kind, name, body.get("spec"))
