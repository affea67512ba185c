"""Client of the routers' admin API, authorized by the operator key."""

from __future__ import annotations

from typing import Any, Final, TypeVar

import httpx

from corianderlb_core.codec import from_json
from corianderlb_core.error import CorianderError
from corianderlb_core.identity import InstanceRecord
from corianderlb_core.result import ResultCode
from corianderlb_core.status import DecisionReport, RouterStatus

T = TypeVar("T")

TIMEOUT_S: Final = 5.0
"""Timeout of one call to a router, in seconds."""


class RouterUnreachableError(CorianderError):
    """Raised when a router did not answer; it may have ended or be unreachable."""

    code = ResultCode.NOT_READY


class RouterRefusedError(CorianderError):
    """Raised when a router answers with an error, such as for a wrong key."""

    code = ResultCode.FORBIDDEN

    def __init__(self, text: str, status: int) -> None:
        super().__init__(text)
        self.status = status


class RouterClient:
    """Calls the admin API of routers."""

    def __init__(self, client: httpx.AsyncClient, operator_key: str) -> None:
        self._client = client
        self._headers = {"authorization": f"Bearer {operator_key}"}

    async def status(self, router: InstanceRecord) -> RouterStatus:
        """Return the router's status."""
        return await self._call(RouterStatus, "GET", router, "/admin/status")

    async def decision(
        self, router: InstanceRecord, decision_id: str
    ) -> DecisionReport:
        """Return a recent decision of the router by its id."""
        path = f"/admin/decisions/{decision_id}"
        return await self._call(DecisionReport, "GET", router, path)

    async def drain(self, router: InstanceRecord) -> RouterStatus:
        """Order the router to drain; return its status."""
        return await self._call(RouterStatus, "POST", router, "/admin/drain")

    async def _call(
        self, cls: type[T], method: str, router: InstanceRecord, path: str
    ) -> T:
        url = f"http://{router.address}{path}"
        try:
            answer = await self._client.request(
                method, url, headers=self._headers, timeout=TIMEOUT_S
            )
        except httpx.HTTPError as exc:
            raise RouterUnreachableError(
                f"{router.instance} at {router.address} did not answer "
                f"({type(exc).__name__}); check that it is running"
            ) from exc
        if answer.is_error:
            raise RouterRefusedError(
                f"{router.instance}: {_message(answer)}", answer.status_code
            )
        return from_json(cls, answer.content)


def _message(answer: httpx.Response) -> str:
    try:
        body: Any = answer.json()
        return str(body["error"]["message"])
    except (ValueError, KeyError, TypeError):
        return f"HTTP status {answer.status_code}"
