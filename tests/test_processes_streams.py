"""Streams reach their caller complete when engines or connections fail."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from corianderlb_core.result import ResultCode
from corianderlb_standins.builder import a_model
from corianderlb_standins.fleet import Fleet, running_fleet, until
from corianderlb_standins.fleet_plan import MODEL
from corianderlb_standins.load_client import LoadClient, StreamAnswer
from fleet_case import PROMPT, FleetTestCase, small_plan

N_TOKENS = 60
N_EVENTS = N_TOKENS + 2
SLOW = ("--prefill-s", "0.01", "--token-s", "0.02")


class ProcessesStreamsTest(FleetTestCase):
    async def stream_during(
        self, fleet: Fleet, inject_fault: Callable[[str], Awaitable[None]]
    ) -> tuple[StreamAnswer, str]:
        """Stream once without a fault, then again while ``inject_fault`` runs."""
        async with LoadClient(fleet.routers[0].address) as client:
            expected = await client.stream(PROMPT, N_TOKENS)
            answers: list[StreamAnswer] = []

            async def stream() -> None:
                answers.append(await client.stream(PROMPT, N_TOKENS))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream)
                await until(lambda: self.busy_engine(fleet))
                await trio.sleep(0.2)
                await inject_fault(await self.busy_engine(fleet))
            return answers[0], expected.text

    async def test_engine_is_killed_mid_stream(self) -> None:
        """An engine process is killed while it streams.

        The router must continue the stream on another engine.
        """
        plan = small_plan(engine_arguments=SLOW)
        async with running_fleet(plan) as fleet:

            async def inject_fault(name: str) -> None:
                await fleet.processes[name].kill()

            answer, expected = await self.stream_during(fleet, inject_fault)
            self.assert_complete(answer, expected)

    async def test_connection_stalls_mid_stream(self) -> None:
        """A device between router and engine drops its state of open connections.

        Neither side gets an error; without a stall timeout the caller waits forever.
        """
        plan = small_plan(engine_arguments=SLOW, proxied=frozenset({"engine"}))
        async with running_fleet(plan) as fleet:

            async def inject_fault(name: str) -> None:
                await fleet.set_proxy_fault(name, freeze_now=True)

            answer, expected = await self.stream_during(fleet, inject_fault)
            self.assert_complete(answer, expected)
            resumed = [await fleet.counters(item.name) for item in fleet.engines]
            self.assertEqual(sum(c["calls"].get("resume", 0) for c in resumed), 1)

    async def test_connection_is_reset_mid_stream(self) -> None:
        """A device between router and engine resets the open connections.

        The engine still has the stream, so the router must resume it there.
        """
        plan = small_plan(engine_arguments=SLOW, proxied=frozenset({"engine"}))
        async with running_fleet(plan) as fleet:

            async def inject_fault(name: str) -> None:
                await fleet.set_proxy_fault(name, cut_now=True)

            answer, expected = await self.stream_during(fleet, inject_fault)
            self.assert_complete(answer, expected)
            counted = [await fleet.counters(item.name) for item in fleet.engines]
            self.assertEqual(sum(sum(c["attempts"].values()) for c in counted), 2)

    async def test_engine_is_paused_mid_stream(self) -> None:
        """An engine process is paused while it streams and does not resume.

        Its connections stay open and the kernel accepts new ones, so only the lack of
        progress shows the failure.
        """
        plan = small_plan(engine_arguments=SLOW)
        async with running_fleet(plan) as fleet:

            async def inject_fault(name: str) -> None:
                fleet.processes[name].freeze()

            answer, expected = await self.stream_during(fleet, inject_fault)
            self.assert_complete(answer, expected)

    async def test_engine_corrupts_its_stream(self) -> None:
        """An engine skips or repeats a token, or closes before the end.

        The bytes are well formed; only event ids and the missing terminal event show
        that the answer is wrong.
        """
        faults = [
            {"skip_at": 5},
            {"repeat_at": 5},
            {"close_at": 7},
            {"close_at": N_TOKENS},
            {"close_at": N_TOKENS + 1},
            {"cut_at": 3},
            {"crossed": True},
        ]
        async with (
            running_fleet(small_plan(n_engines=3)) as fleet,
            LoadClient(fleet.routers[0].address) as client,
        ):
            expected = await client.stream(PROMPT, N_TOKENS)
            self.assert_complete(expected)
            for fault in faults:
                with self.subTest(fault):
                    for engine in fleet.engines:
                        await fleet.fault(engine.name, n_affected=0)
                    busy = await self.engine_of(fleet, client)
                    await fleet.fault(busy, **_no_fault(), n_affected=1)
                    await fleet.fault(busy, **fault)
                    answer = await client.stream(PROMPT, N_TOKENS)
                    self.assert_complete(answer, expected.text)

    async def engine_of(self, fleet: Fleet, client: LoadClient) -> str:
        """Return the engine that the prompt is routed to."""
        before = await self.n_attempts(fleet)
        self.assert_complete(await client.stream(PROMPT, 1))
        after = await self.n_attempts(fleet)
        return next(name for name in after if after[name] > before[name])

    async def n_attempts(self, fleet: Fleet) -> dict[str, int]:
        """Return the number of attempts by engine."""
        return {
            item.name: sum((await fleet.counters(item.name))["attempts"].values())
            for item in fleet.engines
        }

    async def test_all_engines_answer_with_old_weights(self) -> None:
        """Engines run old weights and ignore the requested version.

        Their answers look valid; only the version in the response header shows that
        they are stale.
        """
        async with (
            running_fleet(small_plan()) as fleet,
            LoadClient(fleet.routers[0].address) as client,
        ):
            for engine in fleet.engines:
                await fleet.fault(engine.name, ignore_weights=True)
            model = a_model(MODEL, weights_version="w2")
            await fleet.apply(model, reason="new weights")
            answer = await client.stream(
                PROMPT, headers={"corianderlb-deadline-ms": "500"}
            )
            self.assertEqual(answer.text, "")
            self.assertFalse(answer.complete)
            self.assertNotEqual(answer.error["code"], int(ResultCode.OK))


def _no_fault() -> dict[str, object]:
    indices = dict.fromkeys(("skip_at", "repeat_at", "close_at", "cut_at"), -1)
    return {**indices, "crossed": False}
