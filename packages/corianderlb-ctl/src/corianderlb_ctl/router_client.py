"""Ask the routers' admin paths, with the operators' key."""

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
"""Longest wait for a router's answer, in seconds."""


class RouterUnreachableError(CorianderError):
    """Signal that a router did not answer; it may be gone or cut off."""

    code = ResultCode.NOT_READY


class RouterRefusedError(CorianderError):
    """Signal that a router answered with an error, such as a wrong operator key."""

    code = ResultCode.FORBIDDEN

    def __init__(self, text: str, status: int) -> None:
        super().__init__(text)
        self.status = status


class RouterClient:
    """Call the admin paths of routers."""

    def __init__(self, client: httpx.AsyncClient, operator_key: str) -> None:
        self._client = client
        self._headers = {"authorization": f"Bearer {operator_key}"}

    async def status(self, router: InstanceRecord) -> RouterStatus:
        """Return what the router says about itself."""
        return await self._call(RouterStatus, "GET", router, "/admin/status")

    async def decision(self, router: InstanceRecord, name: str) -> DecisionReport:
        """Return one decision that the router remembers."""
        path = f"/admin/decisions/{name}"
        return await self._call(DecisionReport, "GET", router, path)

    async def drain(self, router: InstanceRecord) -> RouterStatus:
        """Have the router finish its requests and leave."""
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
                f"({type(exc).__name__}); check that it runs"
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
