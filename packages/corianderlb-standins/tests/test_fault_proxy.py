"""Tests of the proxy that injects connection faults."""

from __future__ import annotations

import json
from types import SimpleNamespace

import trio

from corianderlb_standins._asgi import Call
from corianderlb_standins.fault_proxy import FaultProxy
from corianderlb_standins.trio_case import TrioTestCase


class OpenConnection(SimpleNamespace):
    __hash__ = object.__hash__


def a_connection() -> OpenConnection:
    return OpenConnection(frozen=False, scope=trio.CancelScope())


class FaultProxyTest(TrioTestCase):
    async def set_fault(self, **fields: bool) -> tuple[OpenConnection, ...]:
        """Set a fault; return the connections opened before it and on its answer."""
        proxy = FaultProxy("127.0.0.1:1")
        earlier, later = a_connection(), a_connection()
        proxy._connections.add(earlier)

        async def send(message: dict) -> None:
            proxy._connections.add(later)
            await trio.sleep(0.1)

        body = json.dumps(fields).encode()
        call = Call("POST", "/debug/fault", {}, {}, body, None, send)
        await proxy._route(call)
        return earlier, later

    async def test_connection_opened_on_the_answer_is_not_frozen(self) -> None:
        """Guards against a fault of old connections that stalls a new one for good."""
        earlier, later = await self.set_fault(freeze_now=True)
        self.assertEqual((earlier.frozen, later.frozen), (True, False))

    async def test_connection_opened_on_the_answer_is_not_cut(self) -> None:
        earlier, later = await self.set_fault(cut_now=True)
        cut = (earlier.scope.cancel_called, later.scope.cancel_called)
        self.assertEqual(cut, (True, False))
