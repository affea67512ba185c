"""Tests of streams that may only go on at the software version that began them."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from corianderlb_core.codec import to_cbor
from corianderlb_core.identity import InstanceId
from corianderlb_core.stream_origin import (
    UNKNOWN_VERSION,
    StoredStreams,
    StreamRecord,
    stream_key,
)
from corianderlb_router.forward_dispatcher import ForwardDispatcher
from corianderlb_router.store import StoredObject
from corianderlb_router.stream_origins import StreamOrigins
from corianderlb_router.stream_records import StreamRecords
from corianderlb_standins.fake_store import FakeStore
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller
from forward_builders import (
    ForwardRouter,
    Upstream,
    UpstreamNetwork,
    a_fleet,
    a_late_answer,
    a_router,
    a_router_in,
    a_stream,
    an_instance,
    break_off,
)

PROMPT = "a:100,own:50"


def list_versions(router: ForwardRouter, revision: int = 30, **software: str) -> None:
    """List engines with a software version each."""
    engines = [
        an_instance(name, "llm", software_version=version, revision=revision)
        for name, version in software.items()
    ]
    router.list_instances(*engines, revision=revision)


def list_with_newcomer(router: ForwardRouter, since_s: float) -> None:
    """List an engine of v1 and one of v2, which started some seconds ago."""
    born_ms = round((time.time() - since_s) * 1000)
    old = an_instance("e1", "llm", software_version="v1", revision=40)
    new = an_instance("e2", "llm", software_version="v2", revision=40, born_ms=born_ms)
    router.list_instances(old, new, revision=40)


async def watch_one_version(*routers: ForwardRouter) -> None:
    """List one version for longer than streams can last."""
    for router in routers:
        list_versions(router, e1="v1")
        router.parts.origins._observe()
    await trio.sleep(30)


async def resume(
    router: ForwardRouter, after: int = 2, resumes: str = "q1", **headers: str
) -> FakeCaller:
    """Take up a stream after some events."""
    named = {"x_id": "q2", "x_after": str(after), "x_prompt": PROMPT, **headers}
    if resumes:
        named["x_resumes"] = resumes
    caller = await router.ask("/long/7", **named)
    await trio.sleep(0)
    return caller


def n_requests(upstreams: dict[str, Upstream]) -> dict[str, int]:
    """Return the number of requests that reached each upstream."""
    return {name: len(known.requests) for name, known in upstreams.items()}


class RepeatTest(TrioTestCase):
    async def test_repeat_within_an_answer_keeps_the_version(self) -> None:
        """Guards against an answer with events of two software versions."""
        for _ in range(5):
            upstreams = {f"e{n}": Upstream([break_off], closes=True) for n in (1, 2, 3)}
            async with a_router(**upstreams) as router:
                list_versions(router, e1="v1", e2="v2", e3="v2")
                await router.ask("/long/7", x_prompt=PROMPT)
                software = {"e1": "v1", "e2": "v2", "e3": "v2"}
                sent = [name for name, n in n_requests(upstreams).items() if n]
                self.assertEqual(len({software[name] for name in sent}), 1)

    async def test_stream_without_an_event_is_free(self) -> None:
        """Guards against a stream that is kept from engines before it has begun."""
        refuses = Upstream([b""], closes=True)
        async with a_router(e1=refuses, e2=Upstream([a_stream(1, 3)])) as router:
            list_versions(router, e1="v1", e2="v2")
            for number in range(6):
                caller = await router.ask("/long/7", x_prompt=PROMPT, x_id=f"q{number}")
                self.assertEqual(caller.status, 200)

    async def test_instance_restarts_before_the_request_is_sent(self) -> None:
        """Guards against a rest of the version that a restarted instance had before."""
        wall = [1000.0]
        upstreams = {"e1": Upstream([]), "e2": Upstream([a_stream(3, 4)])}
        async with a_router(**upstreams) as router:
            router.parts.origins._wall_clock = lambda: wall[0]
            old = an_instance("e1", "llm", software_version="v1", revision=30)
            router.list_instances(old, revision=30)

            async def break_off_as_new(stream: trio.abc.Stream) -> None:
                await stream.send_all(a_stream(1, 2, ends=False))
                await trio.sleep(0.1)
                terms = {"software_version": "v2", "born_ms": 1_001_500}
                other = an_instance("e2", "llm", software_version="v1", revision=40)
                new = an_instance("e1", "llm", revision=40, **terms)
                router.list_instances(new, other, revision=40)
                router.parts.origins._observe()
                await stream.aclose()

            async def connect(address: str) -> trio.abc.Stream:
                wall[0] += 2.0
                return await UpstreamNetwork.connect(router.network, address)

            upstreams["e1"].script = [break_off_as_new]
            router.network.connect = connect
            caller = await router.ask("/long/7", x_prompt=PROMPT)
            self.assertEqual((caller.status, caller.finished), (200, False))
            self.assertEqual(n_requests(upstreams)["e2"], 0)


class ResumeTest(TrioTestCase):
    async def test_no_router_keeps_a_version_that_was_replaced(self) -> None:
        """Guards against a peer that was told of the first attempt of a stream only."""
        upstreams = {"e1": Upstream([]), "e2": Upstream([])}
        async with a_fleet(12, **upstreams) as routers:
            for router in routers:
                list_versions(router, e1="v1", e2="v2")
            parts, key = routers[0].parts, stream_key("acme", "q1")
            route = parts.state.configuration.routes[0]
            for instance in parts.state.all_instances():
                parts.origins.began(key, instance, route)
                await trio.sleep(1)
            last = instance.software_version
            known = {router.parts.origins.version_of(key) for router in routers}
            self.assertEqual(known - {None}, {last})
            # Another process has begun it, whose entry doesn't come.
            started_ms = round(time.time() * 1000)
            self.assertFalse(await parts.origins.confirm(key, instance, started_ms))
            await trio.sleep(1)
            known = {router.parts.origins.version_of(key) for router in routers}
            self.assertEqual(known - {None}, {UNKNOWN_VERSION})

    async def test_resumed_stream_goes_to_its_version(self) -> None:
        upstreams = {f"e{n}": Upstream([a_stream(1, 2)]) for n in (1, 2, 3, 4)}
        async with a_fleet(2, **upstreams) as (first, second):
            for router in (first, second):
                list_versions(router, e1="v1", e2="v1", e3="v2", e4="v2")
            for number in range(8):
                request_id = f"s{number}"
                before = n_requests(upstreams)
                await first.ask("/long/7", x_prompt=PROMPT, x_id=request_id)
                await trio.testing.wait_all_tasks_blocked()
                between = n_requests(upstreams)
                began = [name for name in before if between[name] > before[name]]
                for engine in upstreams.values():
                    engine.script = [a_stream(3, 4)]
                caller = await resume(second, resumes=request_id, x_id=f"r{number}")
                after = n_requests(upstreams)
                went_on = [name for name in before if after[name] > between[name]]
                self.assertEqual(caller.status, 200)
                versions = {"e1": "v1", "e2": "v1", "e3": "v2", "e4": "v2"}
                self.assertEqual(versions[began[0]], versions[went_on[0]])
                for engine in upstreams.values():
                    engine.script = [a_stream(1, 2)]

    async def test_unknown_stream_is_refused_among_several_versions(self) -> None:
        """Guards against taking up a stream that no reachable router knows."""
        upstreams = {"e1": Upstream([a_stream(3, 4)]), "e2": Upstream([a_stream(3, 4)])}
        async with a_router(**upstreams) as router:
            list_versions(router, e1="v1", e2="v2")
            for resumes in ("never", ""):
                caller = await resume(router, resumes=resumes)
                self.assertEqual(caller.status, 503)
                self.assertIn("retry-after", caller.answer_headers)
            self.assertEqual(n_requests(upstreams), {"e1": 0, "e2": 0})

    async def test_unknown_stream_goes_on_where_one_version_serves(self) -> None:
        upstreams = {"e1": Upstream([a_stream(3, 4)]), "e2": Upstream([a_stream(3, 4)])}
        async with a_router(**upstreams) as router:
            list_versions(router, e1="v1", e2="v1")
            for resumes in ("never", ""):
                caller = await resume(router, resumes=resumes)
                self.assertEqual(caller.status, 200)

    async def test_stream_of_another_account_is_unknown(self) -> None:
        """Guards against learning of another account's streams by their ids."""
        script = [a_stream(1, 2), a_stream(3, 4)]
        upstreams = {"e1": Upstream(script[:]), "e2": Upstream(script[:])}
        async with a_router(**upstreams) as router:
            list_versions(router, e1="v1", e2="v2")
            await router.ask("/long/7", x_prompt=PROMPT, x_id="q1")
            self.assertEqual((await resume(router, x_key="key-w")).status, 503)
            self.assertEqual((await resume(router)).status, 200)

    async def test_version_is_gone(self) -> None:
        """Guards against callers that wait for an engine that will not come."""
        upstreams = {"e1": Upstream([a_stream(1, 2)]), "e2": Upstream([a_stream(3, 4)])}
        async with a_router(**upstreams) as router:
            list_versions(router, e1="v1")
            await router.ask("/long/7", x_prompt=PROMPT, x_id="q1")
            list_versions(router, revision=40, e2="v2")
            began_at = trio.current_time()
            caller = await resume(router)
            self.assertEqual(caller.status, 503)
            self.assertLess(trio.current_time() - began_at, 0.05)
            self.assertEqual(n_requests(upstreams)["e2"], 0)

    async def test_version_replaced_just_now(self) -> None:
        """Guards against streams begun before there was a second version to tell."""
        upstreams = {"e1": Upstream([a_stream(3, 4)]), "e2": Upstream([a_stream(3, 4)])}
        async with a_router(**upstreams) as router:
            list_versions(router, e1="v1")
            # The first observation; the router that began the stream is gone.
            router.parts.origins._observe()
            list_with_newcomer(router, since_s=0.1)
            self.assertEqual((await resume(router)).status, 200)
            self.assertEqual(n_requests(upstreams), {"e1": 1, "e2": 0})
            await trio.sleep(3.0)
            self.assertEqual((await resume(router, resumes="q9")).status, 503)

    async def test_peer_that_does_not_answer(self) -> None:
        """Guards against a resumed stream that waits for a peer until its deadline."""
        upstreams = {"e1": Upstream([a_stream(3, 4)]), "e2": Upstream([a_stream(3, 4)])}
        async with a_fleet(2, **upstreams) as (first, second):
            for router in (first, second):
                list_versions(router, e1="v1", e2="v2")
            second.peers.cut_off()
            began_at = trio.current_time()
            caller = await resume(first)
            self.assertEqual(caller.status, 503)
            self.assertLess(trio.current_time() - began_at, 0.5)

    async def test_entry_that_arrives_before_the_first_event(self) -> None:
        """Guards against events of an instance that has just restarted."""
        late = a_late_answer(a_stream(3, 4), 0.2)
        upstreams = {"e1": Upstream([a_stream(1, 2)]), "e2": Upstream([a_stream(3, 4)])}
        async with a_router(**upstreams) as router:
            list_versions(router, e1="v1")
            await router.ask("/long/7", x_prompt=PROMPT, x_id="q1")
            list_versions(router, revision=40, e1="v1", e2="v2")
            upstreams["e1"].script = [late]
            callers: list[FakeCaller] = []

            async def resume_late() -> None:
                callers.append(await resume(router))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(resume_late)
                await trio.sleep(0.1)
                reborn = an_instance(
                    "e1", "llm", software_version="v2", born_ms=9, revision=50
                )
                router.list_instances(reborn, revision=50)
            self.assertEqual(callers[0].answer.count(b"id: "), 0)
            self.assertEqual(n_requests(upstreams), {"e1": 2, "e2": 0})

    async def test_refused_connection_until_the_entry_is_renewed(self) -> None:
        """Guards against an instance that may have restarted with other software."""
        script = [a_stream(1, 2), a_stream(3, 4)]
        engine, other = Upstream(script[:]), Upstream(script[:])
        async with a_router(e1=engine, e2=other) as router:
            list_versions(router, e1="v1", e2="v2")
            await router.ask("/long/7", x_prompt=PROMPT, x_id="q1")
            began = "e1" if engine.requests else "e2"
            versions = {"e1": "v1", "e2": "v2"}
            instance = router.state.instance(began)
            router.parts.origins.record_doubt(instance)
            self.assertEqual((await resume(router)).status, 503)
            list_versions(router, revision=40, **versions)
            self.assertEqual((await resume(router)).status, 200)


class ClockErrorTest(TrioTestCase):
    """An instance that restarts with other software, and whose clock is wrong."""

    async def version_after(self, error_s: float, restart_s: float) -> str:
        """Return the version at which a stream goes on that e1 began; empty if at none.

        The entry of the restarted e1 arrives 1 s after the stream began. e1 started
        ``restart_s`` after that moment, and its clock is ahead by ``error_s``.
        """
        script = [a_stream(1, 2), a_stream(3, 4)]
        upstreams = {"e1": Upstream(script[:]), "e2": Upstream([a_stream(3, 4)])}
        now = time.time()
        async with a_router(**upstreams) as router:
            origins = router.parts.origins
            origins._wall_clock = lambda: now
            list_versions(router, e1="v1")
            origins._observe()
            await router.ask("/long/7", x_prompt=PROMPT, x_id="q1")
            now += 1.0
            born_ms = round((now - 1.0 + restart_s + error_s) * 1000)
            fields = {"software_version": "v2", "born_ms": born_ms, "revision": 40}
            other = an_instance("e2", "llm", software_version="v1", revision=40)
            reborn = an_instance("e1", "llm", **fields)
            router.list_instances(reborn, other, revision=40)
            await resume(router)
        went_on = n_requests(upstreams)
        return "v2" if went_on["e1"] == 2 else "v1" if went_on["e2"] else ""

    async def test_stream_of_before_the_restart(self) -> None:
        """Guards against the rest of a stream from software that didn't begin it."""
        for error_s in (-60.0, -2.0, 0.0, 2.0, 60.0):
            with self.subTest(error_s=error_s):
                version = await self.version_after(error_s, restart_s=0.9)
                self.assertIn(version, ("v1", "") if error_s else ("v1",))

    async def test_stream_of_after_the_restart(self) -> None:
        """Guards against the version of an entry that is older than the instance."""
        for error_s in (-60.0, -2.0, 0.0, 2.0, 60.0):
            with self.subTest(error_s=error_s):
                version = await self.version_after(error_s, restart_s=-0.1)
                self.assertIn(version, ("v2", ""))


class OutOfStepTest(TrioTestCase):
    """A router whose view of the instances is some seconds old."""

    async def test_router_is_cut_off_while_a_version_joins(self) -> None:
        """Guards against a stream of a version that a router hasn't heard of."""
        upstreams = {"e1": Upstream([a_stream(3, 4)]), "e2": Upstream([a_stream(1, 2)])}
        async with a_fleet(2, **upstreams) as (first, second):
            await watch_one_version(first, second)
            second.peers.cut_off()
            list_versions(first, revision=40, e2="v2")
            await first.ask("/long/7", x_prompt=PROMPT, x_id="q1")
            for resumes in ("q1", ""):
                self.assertEqual((await resume(second, resumes=resumes)).status, 503)
            self.assertEqual(n_requests(upstreams), {"e1": 0, "e2": 1})

    async def test_router_was_paused_while_a_version_joined(self) -> None:
        """Guards against an old view that peers could correct."""
        upstreams = {"e1": Upstream([a_stream(3, 4)]), "e2": Upstream([a_stream(3, 4)])}
        async with a_fleet(2, **upstreams) as (first, second):
            await watch_one_version(first, second)
            list_with_newcomer(first, since_s=5)
            for resumes in ("of a router that is gone", ""):
                self.assertEqual((await resume(second, resumes=resumes)).status, 503)
            self.assertEqual(n_requests(upstreams), {"e1": 0, "e2": 0})

    async def test_instance_restarts_while_its_router_stands_still(self) -> None:
        """Guards against a stream that goes on at an instance with other software."""
        upstreams = {"e1": Upstream([a_stream(1, 2), a_stream(3, 4)])}
        async with a_router(**upstreams) as router:
            list_versions(router, e1="v1")
            await router.ask("/long/7", x_prompt=PROMPT, x_id="q1")
            origins, has_read = router.parts.origins, []

            async def refresh() -> bool:
                reborn = an_instance(
                    "e1", "llm", software_version="v2", born_ms=1 << 45, revision=50
                )
                router.list_instances(reborn, revision=50)
                has_read.append(True)
                return True

            origins._is_current, origins._refresh = lambda: bool(has_read), refresh
            self.assertEqual((await resume(router)).status, 503)
            self.assertEqual(n_requests(upstreams), {"e1": 1})

    async def test_stands_still_before_the_repeat_of_an_answer(self) -> None:
        """Guards against a begun answer that goes on by what was read long before."""
        upstreams = {f"e{n}": Upstream([break_off], closes=True) for n in (1, 2)}
        async with a_router(**upstreams) as router:
            list_versions(router, e1="v1", e2="v1")
            origins = router.parts.origins
            origins._is_current = lambda: sum(n_requests(upstreams).values()) < 1
            caller = await router.ask("/long/7", x_prompt=PROMPT)
            self.assertEqual((caller.status, caller.finished), (200, False))
            self.assertEqual(sum(n_requests(upstreams).values()), 1)

    async def test_router_hears_late_that_a_version_joined(self) -> None:
        """Guards against taking the version that was alone until a router looked."""
        upstreams = {"e1": Upstream([a_stream(3, 4)]), "e2": Upstream([a_stream(3, 4)])}
        async with a_router(**upstreams) as router:
            await watch_one_version(router)
            list_with_newcomer(router, since_s=5)
            self.assertEqual((await resume(router)).status, 503)
            self.assertEqual(n_requests(upstreams), {"e1": 0, "e2": 0})

    async def test_last_router_reads_the_instances_again(self) -> None:
        """Guards against streams that are lost where all other routers are gone."""
        upstreams = {"e1": Upstream([a_stream(3, 4)])}
        async with a_fleet(2, **upstreams) as (first, second):
            await watch_one_version(first, second)
            second.peers.cut_off()

            async def refresh() -> bool:
                list_versions(second, revision=40, e1="v1")
                return True

            second.parts.origins._refresh = refresh
            self.assertEqual((await resume(second, resumes="unknown")).status, 200)


class StreamRecordTest(TrioTestCase):
    """Routers that were all killed while several versions served."""

    @asynccontextmanager
    async def restarted_routers(
        self,
        store: FakeStore,
        after_s: float,
        n_streams: int = 4,
        born_ms: int = 1,
        version: str = "",
    ) -> AsyncIterator[tuple[ForwardRouter, dict[str, Upstream], dict[str, str]]]:
        """Begin streams, kill all routers after some time, and start them again.

        Yields a new router, the engines, and the engine that began each stream. The
        engines have another start or version when it reads the instances again.
        """
        upstreams = {f"e{n}": Upstream([a_stream(1, 2)]) for n in (1, 2)}
        async with trio.open_nursery() as nursery:
            network = UpstreamNetwork(nursery, upstreams)
            first = a_recording_router(network, store, "r1")
            list_versions(first, e1="v1", e2="v2")
            nursery.start_soon(first.parts.origins.run)
            began = {}
            for number in range(n_streams):
                before = n_requests(upstreams)
                await first.ask("/long/7", x_prompt=PROMPT, x_id=f"s{number}")
                now = n_requests(upstreams)
                began[f"s{number}"] = next(n for n in now if now[n] > before[n])
            await trio.sleep(after_s)
            nursery.cancel_scope.cancel()
        async with trio.open_nursery() as nursery:
            for engine in upstreams.values():
                engine.script = [a_stream(3, 4)]
                engine.requests.clear()
            second = a_recording_router(
                UpstreamNetwork(nursery, upstreams), store, "r2"
            )
            list_versions(second, e1="v1", e2="v2")

            async def refresh() -> bool:
                engines = [
                    an_instance(
                        name,
                        "llm",
                        software_version=version or known,
                        revision=50,
                        born_ms=born_ms,
                    )
                    for name, known in (("e1", "v1"), ("e2", "v2"))
                ]
                second.list_instances(*engines, revision=50)
                return True

            second.parts.origins._refresh = refresh
            nursery.start_soon(second.parts.origins.run)
            yield second, upstreams, began
            nursery.cancel_scope.cancel()

    async def test_streams_go_on_at_their_version(self) -> None:
        """Guards against streams that are lost, or joined from two versions."""
        async with self.restarted_routers(FakeStore(), 1.0) as (router, engines, began):
            for number, (stream, engine) in enumerate(began.items()):
                before = n_requests(engines)[engine]
                caller = await resume(router, resumes=stream, x_id=f"t{number}")
                self.assertEqual(caller.status, 200)
                self.assertEqual(n_requests(engines)[engine], before + 1)

    async def test_router_whose_clock_is_ahead(self) -> None:
        """Guards against records that seem to have expired to another machine."""
        for error_s in (2.0, 60.0):
            store, now = FakeStore(), time.time() + error_s
            async with self.restarted_routers(store, 1.0) as (router, engines, began):
                # A release has replaced the instances of v1.
                born_ms = round((time.time() - 3.0) * 1000)
                reborn, other = (
                    an_instance(name, "llm", software_version="v2", **fields)
                    for name, fields in (("e1", {"born_ms": born_ms}), ("e2", {}))
                )
                router.list_instances(reborn, other, revision=40)
                origins = router.parts.origins
                for clock_user in (origins, origins._records):
                    clock_user._wall_clock = lambda now=now: now
                for stream in (s for s, engine in began.items() if engine == "e1"):
                    caller = await resume(router, resumes=stream)
                    with self.subTest(error_s=error_s, stream=stream):
                        self.assertEqual(caller.status, 503)
                self.assertEqual(n_requests(engines), {"e1": 0, "e2": 0})

    async def test_stream_that_was_not_recorded_yet(self) -> None:
        """Guards against a guess where no record can have been written."""
        store = FakeStore()
        store.faults.delay_s = 0.2
        async with self.restarted_routers(store, 0.1) as (router, engines, _):
            store.faults.delay_s = 0.0
            self.assertEqual((await resume(router, resumes="s3")).status, 503)
            self.assertEqual(record_state(router, "s3"), "absent")
            self.assertEqual(n_requests(engines), {"e1": 0, "e2": 0})

    async def test_stream_recorded_right_after_its_begin(self) -> None:
        """Guards against the loss of streams begun just before all routers ended."""
        async with self.restarted_routers(FakeStore(), 0.1) as (router, engines, began):
            for number, (stream, engine) in enumerate(began.items()):
                before = n_requests(engines)[engine]
                caller = await resume(router, resumes=stream, x_id=f"t{number}")
                self.assertEqual(caller.status, 200)
                self.assertEqual(n_requests(engines)[engine], before + 1)

    async def test_engine_restarted_before_a_stream_was_settled(self) -> None:
        """Guards against a stream of two versions whose engine's entry came late."""
        for born_ms, version in ((2, "v3"), (2, ""), (1, "v3")):
            restarted = self.restarted_routers(
                FakeStore(), 0.1, born_ms=born_ms, version=version
            )
            async with restarted as (router, engines, _):
                for number in range(4):
                    caller = await resume(router, resumes=f"s{number}")
                    self.assertEqual(caller.status, 503)
                    self.assertEqual(record_state(router, f"s{number}"), "unsettled")
                self.assertEqual(n_requests(engines), {"e1": 0, "e2": 0})

    async def test_instances_cannot_be_read(self) -> None:
        """Guards against trust in an entry that may be older than the stream."""
        async with self.restarted_routers(FakeStore(), 0.1) as (router, engines, _):

            async def refresh() -> bool:
                return False

            router.parts.origins._refresh = refresh
            self.assertEqual((await resume(router, resumes="s3")).status, 503)
            self.assertEqual(n_requests(engines), {"e1": 0, "e2": 0})

    async def test_store_is_away(self) -> None:
        """Guards against a caller that waits for the store until its deadline."""
        store = FakeStore()
        async with self.restarted_routers(store, 1.0) as (router, engines, _):
            store.faults.delay_s = 30.0
            asked_at = trio.current_time()
            self.assertEqual((await resume(router, resumes="s0")).status, 503)
            self.assertLess(trio.current_time() - asked_at, 1.5)
            self.assertEqual(record_state(router, "s0"), "unread")
            self.assertEqual(n_requests(engines), {"e1": 0, "e2": 0})

    async def test_records_that_cannot_be_read(self) -> None:
        """Guards against one record that hides all others."""
        store = FakeStore()
        store.objects["streams/other"] = StoredObject("streams/other", b"\xff", "1")
        async with self.restarted_routers(store, 1.0) as (router, _, began):
            self.assertEqual((await resume(router, resumes="s0")).status, 200)

    async def test_records_that_differ(self) -> None:
        """Guards against a choice between two versions that claim a stream."""
        store = FakeStore()
        key = stream_key("acme", "s0")
        other = StreamRecord(
            round(time.time() * 1000),
            60_000,
            (StoredStreams("llm", "v1", key), StoredStreams("llm", "v2", key)),
        )
        value = to_cbor(other)
        store.objects["streams/other"] = StoredObject("streams/other", value, "1")
        async with self.restarted_routers(store, 1.0) as (router, engines, _):
            self.assertEqual((await resume(router, resumes="s0")).status, 503)
            self.assertEqual(record_state(router, "s0"), "differs")

    async def test_restarted_router_keeps_what_it_recorded(self) -> None:
        """Guards against a restart that overwrites the streams before it."""
        store = FakeStore()
        async with self.restarted_routers(store, 1.0) as (router, engines, began):
            again = a_recording_router(router.network, store, "r1")
            list_versions(again, e1="v1", e2="v2")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(again.parts.origins.run)
                await again.ask("/long/7", x_prompt=PROMPT, x_id="new")
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()
            for number, stream in enumerate(("s0", "new")):
                caller = await resume(router, resumes=stream, x_id=f"t{number}")
                self.assertEqual(caller.status, 200)


def record_state(router: ForwardRouter, stream: str) -> str:
    """Return what a router logs of the record of a stream that it refused."""
    records = router.parts.origins._records
    assert records is not None
    return records.state_of(stream_key("acme", stream))


def a_recording_router(
    network: UpstreamNetwork, store: FakeStore, name: str
) -> ForwardRouter:
    """Build a router without peers that records its streams in a store."""
    router = a_router_in(network, name=name)
    records = StreamRecords(store, InstanceId(name), lambda: 1, random.Random(1))
    origins = StreamOrigins(router.state, router.peers, records=records)
    router.parts = dataclasses.replace(router.parts, origins=origins)
    router.dispatcher = ForwardDispatcher(router.parts, router.exchanges)
    return router
