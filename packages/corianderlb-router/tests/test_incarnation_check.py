"""Tests of streams whose instances have restarted since their entry was read."""

from __future__ import annotations

import dataclasses
import math

import trio

from corianderlb_core.forwarding import ForwardInstance
from corianderlb_router.forward_dispatcher import ForwardDispatcher
from corianderlb_router.incarnation_check import IncarnationCheck
from corianderlb_router.path_watch import InstanceProbe
from corianderlb_router.stream_origins import StreamOrigins
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import ForwardRouter, Upstream, a_router, a_stream, an_instance
from test_stream_origins import list_versions, n_requests, resume

PROMPT = "a:100,own:50"

BORN_MS = 1 << 45


class Probe(InstanceProbe):
    """Tells of each instance when it started."""

    def __init__(self, **born_ms: int) -> None:
        self.born = born_ms
        self.n_asked = 0
        self.takes_s = 0.05

    async def answers(self, instance: ForwardInstance) -> bool:
        """Return whether an instance is known."""
        return instance.instance in self.born

    async def born_ms(self, instance: ForwardInstance) -> int:
        """Return the start of an instance after some time; 0 if it is not known."""
        self.n_asked += 1
        await trio.sleep(self.takes_s)
        return self.born.get(instance.instance, 0)


def use_probe(router: ForwardRouter, probe: Probe) -> None:
    """Have a router ask its instances."""
    check = IncarnationCheck(probe)
    router.parts = dataclasses.replace(router.parts, incarnations=check)
    router.dispatcher = ForwardDispatcher(router.parts, router.exchanges)


class IncarnationCheckTest(TrioTestCase):
    async def test_instance_serves_before_its_entry(self) -> None:
        """Guards against a stream that goes on at other software under one name."""
        for born_ms, n_sent in ((BORN_MS, 1), (-1, 1), (0, 2), (1, 2)):
            upstreams = {"e1": Upstream([a_stream(1, 2), a_stream(3, 4)])}
            with self.subTest(born_ms=born_ms):
                async with a_router(**upstreams) as router:
                    list_versions(router, e1="v1")
                    entry = an_instance(
                        "e1", "llm", software_version="v1", born_ms=1, revision=30
                    )
                    router.list_instances(entry, revision=30)
                    use_probe(router, Probe(e1=born_ms))
                    await router.ask("/long/7", x_prompt=PROMPT, x_id="q1")
                    caller = await resume(router)
                    self.assertEqual(caller.status, 200 if n_sent == 2 else 503)
                    self.assertEqual(n_requests(upstreams), {"e1": n_sent})

    async def begin_streams(
        self, probe: Probe, n_streams: int = 3, is_gone: bool | None = None
    ) -> dict[str, int]:
        """Begin streams at e1, or at e2 if that refuses; return who ran how many."""
        upstreams = {name: Upstream([a_stream(1, 2)]) for name in ("e1", "e2")}
        async with a_router(**upstreams) as router:
            origins = StreamOrigins(
                router.state,
                router.peers,
                may_lack_restarts=lambda seen_at: seen_at < self.paused_until,
            )
            router.parts = dataclasses.replace(router.parts, origins=origins)
            use_probe(router, probe)
            for name in upstreams if is_gone is not None else ():
                origins.record_doubt(router.state.instance(name), is_gone)
            for number in range(n_streams):
                await trio.sleep(1.0)
                caller = await router.ask("/long/7", x_prompt=PROMPT, x_id=f"q{number}")
                self.assertEqual((caller.status, caller.finished), (200, True))
        return n_requests(upstreams)

    async def test_new_stream_while_the_entry_may_be_old(self) -> None:
        """Guards against a new stream that is bound to the version of an old entry."""
        self.paused_until = math.inf
        for born_ms in (BORN_MS, -1):
            sent = await self.begin_streams(Probe(e1=born_ms, e2=1))
            self.assertEqual(sent, {"e1": 0, "e2": 3})

    async def test_new_stream_at_an_instance_that_tells_no_start(self) -> None:
        """Guards against refusing all new streams where no instance can be asked."""
        self.paused_until = math.inf
        sent = await self.begin_streams(Probe())
        self.assertEqual(sum(sent.values()), 3)

    async def test_new_streams_ask_no_more_than_they_must(self) -> None:
        """Guards against a question for each new stream."""
        never = -math.inf
        cases = (never, None, 0), (0.0, None, 2), (never, True, 2), (never, False, 0)
        for paused_until, is_gone, n_asked in cases:
            with self.subTest(paused_until=paused_until, is_gone=is_gone):
                self.paused_until, probe = paused_until, Probe(e1=1, e2=1)
                await self.begin_streams(probe, 12, is_gone)
                self.assertLessEqual(probe.n_asked, n_asked)
                self.assertEqual(probe.n_asked > 0, n_asked > 0)

    async def test_streams_that_come_together_share_an_answer(self) -> None:
        """Guards against a question for each stream of an instance that broke off."""
        probe = Probe(e1=2)
        check, entry = IncarnationCheck(probe), an_instance("e1", "llm", born_ms=1)
        found: list[bool] = []

        async def ask() -> None:
            found.append(await check.has_restarted(entry))

        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(ask)
        self.assertEqual((found, probe.n_asked), ([True] * 20, 1))
        await trio.sleep(1.0)
        await ask()
        self.assertEqual(probe.n_asked, 2)

    async def test_request_that_asks_is_given_up(self) -> None:
        """Guards against an answer that nobody has heard."""
        probe = Probe(e1=2)
        check, entry = IncarnationCheck(probe), an_instance("e1", "llm", born_ms=1)
        found: list[bool] = []

        async def ask() -> None:
            found.append(await check.has_restarted(entry))

        async def give_up(scope: trio.CancelScope) -> None:
            with scope:
                await check.has_restarted(entry)

        async with trio.open_nursery() as nursery:
            scope = trio.CancelScope()
            nursery.start_soon(give_up, scope)
            await trio.sleep(0.01)
            nursery.start_soon(ask)
            await trio.sleep(0.01)
            scope.cancel()
        self.assertEqual((found, probe.n_asked), ([True], 2))
