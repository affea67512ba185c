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
from forward_builders import (
    ForwardRouter,
    Upstream,
    a_router,
    a_stream,
    an_instance,
    break_off,
    break_off_after,
)
from test_stream_origins import list_versions, n_requests, resume

PROMPT = "a:100,own:50"

BORN_MS = 1 << 45


class Probe(InstanceProbe):
    """Tells of each instance when it started."""

    def __init__(self, **born_ms: int) -> None:
        self.born = born_ms
        self.asked: list[str] = []
        self.takes_s = 0.05

    @property
    def n_asked(self) -> int:
        """Number of questions."""
        return len(self.asked)

    async def answers(self, instance: ForwardInstance) -> bool:
        """Return whether an instance is known."""
        return instance.instance in self.born

    async def born_ms(self, instance: ForwardInstance) -> int:
        """Return the start of an instance after some time; 0 if it is not known."""
        self.asked.append(instance.instance)
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

    async def go_on(
        self, age_s: float, entry: str = "", entry_s: float = 0.1, ends: bool = False
    ) -> tuple[str, bool]:
        """Return where a stream goes on that e1 broke off, and whether it ends.

        The process of e1 started ``age_s`` before its request was sent. It is listed as
        an earlier one of v1, and as one of ``entry`` from ``entry_s`` after the break.
        ``ends`` tells that it has ended then, and is asked for nothing.
        """
        rest, began_at = a_stream(3, 4), trio.current_time()
        started_ms, breaks_s = BORN_MS - round(age_s * 1000), 0.1 + max(0.0, -age_s)
        upstreams = {"e1": Upstream([break_off_after(2, breaks_s), rest])}
        probe = Probe(e1=started_ms)
        upstreams |= {name: Upstream([rest]) for name in ("e2", "e3")}
        old = an_instance("e1", "llm", software_version="v1", born_ms=1)
        others = [
            an_instance(name, "llm", software_version=version, revision=30)
            for name, version in (("e2", "v1"), ("e3", "v2"))
        ]
        fields = {"software_version": entry, "born_ms": started_ms, "revision": 32}
        new = an_instance("e1", "llm", **fields)
        async with trio.open_nursery() as nursery, a_router(**upstreams) as router:
            router.parts.origins._wall_clock = lambda: (
                BORN_MS / 1000 + trio.current_time() - began_at
            )
            use_probe(router, probe)
            router.list_instances(old, revision=30)

            async def list_later() -> None:
                await trio.sleep(breaks_s / 2)
                router.list_instances(old, *others, revision=31)
                upstreams["e1"].alive = not ends
                await trio.sleep(breaks_s / 2 + entry_s)
                if entry:
                    router.list_instances(new, *others, revision=32)

            nursery.start_soon(list_later)
            caller = await router.ask("/long/7", x_prompt=PROMPT, x_id="q1")
        self.assertEqual("e1" in probe.asked, not ends)
        software = {"e1": entry, "e2": "v1", "e3": "v2"}
        n_rests = {**n_requests(upstreams), "e1": n_requests(upstreams)["e1"] - 1}
        went_on = [software[name] for name, n in n_rests.items() if n]
        return "".join(went_on), caller.finished

    async def test_stream_begun_before_the_new_entry_breaks(self) -> None:
        """Guards against the rest of a new stream from the version of an old entry."""
        self.assertEqual(await self.go_on(0.2), ("", False))
        self.assertEqual(await self.go_on(0.2, "v2"), ("v2", True))
        self.assertEqual(await self.go_on(0.2, "v1", 2.0), ("v1", True))
        # Its clock may be wrong.
        self.assertEqual(await self.go_on(0.2, "v2", 2.0), ("", False))

    async def test_stream_begun_well_before_the_restart_breaks(self) -> None:
        """Guards against cutting each stream whose instance has come back."""
        self.assertEqual(await self.go_on(-1.0), ("v1", True))
        self.assertEqual(await self.go_on(0.2, ends=True), ("v1", True))

    async def test_new_stream_after_an_answer_broke_off(self) -> None:
        """Guards against new streams by an old entry until the store counts as lost."""
        self.paused_until = -math.inf
        for started_ms, n_asked, n_sent in ((BORN_MS, 3, 2), (1, 1, 5), (0, 3, 5)):
            probe = Probe()
            upstreams = {"e1": Upstream([break_off, a_stream(1, 2)])}
            with self.subTest(started_ms=started_ms):
                async with a_router(**upstreams) as router:
                    use_probe(router, probe)
                    await router.ask("/long/7", x_prompt=PROMPT, x_id="q0")
                    probe.born["e1"], probe.asked = started_ms, []
                    for number in range(1, 4):
                        await trio.sleep(1.0)
                        await router.ask("/long/7", x_prompt=PROMPT, x_id=f"q{number}")
                    found = min(probe.n_asked, 3), n_requests(upstreams)["e1"]
                    self.assertEqual(found, (n_asked, n_sent))

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
