from __future__ import annotations

import json
import unittest

import trio

from corianderlb_core import header
from corianderlb_core.result import ResultCode
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import (
    N_EVENTS,
    FakeCaller,
    FakeInstance,
    FakeRouter,
    Fault,
    with_router,
)


class CompletionRunTest(TrioTestCase):
    async def test_a_stream_arrives_whole(self) -> None:
        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)
            self.assertTrue(caller.finished)

        await with_router(check, FakeInstance("e0"))

    async def test_a_whole_answer_is_put_together(self) -> None:
        async def check(router: FakeRouter) -> None:
            body = b'{"model":"ember-llm","prompt":"hi"}'
            caller = await router.ask(FakeCaller(body=body))
            text = json.loads(caller.answer)["choices"][0]["message"]["content"]
            self.assertEqual(text, "w0 w1 w2 w3 w4 w5 ")

        await with_router(check, FakeInstance("e0"))

    async def test_a_cut_stream_is_resumed_on_the_same_life(self) -> None:
        """A box on the way drops the connection in mid-stream while the engine goes
        on. Without a resume the caller's sentence would stop there, or the whole
        prompt would be computed again."""
        for how in ("close", "end"):
            engine = FakeInstance("e0", faults=[Fault(after=3, how=how)])

            async def check(router: FakeRouter, engine=engine) -> None:
                caller = await router.ask()
                self.assertEqual(caller.answer, caller.whole)
                first, second = engine.received
                self.assertEqual(second.first_index, 3)
                self.assertEqual(
                    first.headers[header.ATTEMPT_ID], second.headers[header.ATTEMPT_ID]
                )

            await with_router(check, engine)

    async def test_a_stream_without_its_terminal_event_is_not_whole(self) -> None:
        """The engine closes cleanly after the last token, before the terminal event.
        A caller would take the answer for whole though nobody confirmed it."""
        fault = Fault(after=N_EVENTS, how="end")
        engine = FakeInstance("e0", faults=[fault])

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)
            self.assertEqual(engine.received[1].first_index, N_EVENTS)

        await with_router(check, engine)

    async def test_a_stream_goes_on_elsewhere_after_a_crash(self) -> None:
        """The engine's process dies in mid-stream. The caller would see half a
        sentence; instead another engine repeats it and only the rest is passed on."""
        first = FakeInstance("e0", faults=[Fault(after=2, how="crash")])
        second = FakeInstance("e1", faults=[Fault(after=2, how="crash")])
        third = FakeInstance("e2")

        async def check(router: FakeRouter) -> None:
            first.faults = [Fault(after=2, how="crash")]
            second.faults = []
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)

        await with_router(check, first, second, third)

    async def test_a_crashed_engine_back_under_its_address_is_another(self) -> None:
        """The engine comes back empty under the same address before the router looks.
        A resume there would be answered from nothing, or run the prompt again on the
        engine that it may have killed."""
        engine = FakeInstance("e0", pause_s=1.0)
        other = FakeInstance("e1")

        async def restart() -> None:
            await trio.sleep(2.5)
            await engine.crash()
            engine.restart()

        async def check(router: FakeRouter) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(restart)
                router.directory.set_retired("e1", True)
                caller = FakeCaller()
                nursery.start_soon(router.ask, caller)
                await trio.sleep(1.0)
                router.directory.set_retired("e1", False)
            self.assertEqual(caller.answer, caller.whole)
            self.assertEqual([req.first_index for req in engine.received], [0, 3])
            self.assertEqual(len(other.received), 1)

        await with_router(check, engine, other)

    async def test_a_silent_connection_is_given_up_with_its_whole_pool(self) -> None:
        """A box on the way has lost track of the connections to an engine: they stay
        open and nothing comes through. Each caller would wait for its own timeout, one
        after the other, on connections that are all dead."""
        engine = FakeInstance("e0")

        async def check(router: FakeRouter) -> None:
            await router.ask()
            engine.faults = [Fault(after=2, how="hang")]
            started = trio.current_time()
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)
            waited_s = trio.current_time() - started
            self.assertLess(waited_s, router.parts.cfg.stall_timeout_s + 1)
            n_before = engine.n_connections
            router_pool = router.client._transport.pool
            self.assertEqual(router_pool._generation["e0:1"], 1)
            self.assertGreaterEqual(n_before, 2)

        await with_router(check, engine)

    async def test_a_long_stream_outlives_any_total_time(self) -> None:
        engine = FakeInstance("e0", pause_s=4.0)

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)
            self.assertEqual(len(engine.received), 1)

        await with_router(check, engine)

    async def test_a_long_queue_is_not_taken_for_silence(self) -> None:
        """A weekly review waits in a busy engine for a minute. Taken for a dead
        connection, it would be sent on from engine to engine, and each of them
        retired while it works."""
        engines = [FakeInstance(f"e{n}", ready_at=60.0) for n in range(2)]

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)
            received = [*engines[0].received, *engines[1].received]
            ids = {req.headers[header.ATTEMPT_ID] for req in received}
            self.assertEqual(len(ids), 1)
            self.assertEqual(
                {router.health.state(e.name) for e in engines}, {"healthy"}
            )

        await with_router(check, *engines)

    async def test_an_engine_that_answers_but_never_begins_is_left(self) -> None:
        """An engine's accelerator hangs while its HTTP side goes on answering. Its
        callers would wait for nothing until their deadlines."""
        engines = [FakeInstance("e0", ready_at=1e6), FakeInstance("e1", ready_at=1e6)]

        async def check(router: FakeRouter) -> None:
            caller = FakeCaller()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.ask, caller)
                await trio.sleep(1.0)
                for engine in engines:
                    engine.ready_at = 1e6 if engine.received else 0.0
            self.assertEqual(caller.answer, caller.whole)
            self.assertLess(trio.current_time(), 140)

        await with_router(check, *engines)

    async def test_an_answer_to_another_attempt_is_never_relayed(self) -> None:
        """Two answers cross inside an upstream. One customer would read the answer to
        the other's prompt."""
        for fault in (Fault(answer_id="other"), Fault(event_id="other")):
            engines = [FakeInstance(f"e{n}", faults=[fault]) for n in range(2)]

            async def check(router: FakeRouter, engines=engines) -> None:
                caller = await router.ask()
                self.assertEqual(caller.answer, caller.whole)
                self.assertNotIn(b"other", caller.answer)
                states = {router.health.state(f"e{n}") for n in range(2)}
                self.assertEqual(states, {"proving"})

            await with_router(check, *engines)

    async def test_a_skipped_token_is_repaired_elsewhere(self) -> None:
        engines = [FakeInstance(f"e{n}", faults=[Fault(swap=3)]) for n in range(2)]

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)

        await with_router(check, *engines, FakeInstance("e2"))

    async def test_an_answer_from_other_weights_is_not_used(self) -> None:
        """An engine still runs last week's weights and does not refuse. The caller
        would get an answer that nobody approved for it."""
        engines = [FakeInstance(f"e{n}", faults=[Fault(weights="w0")]) for n in "01"]

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)
            self.assertEqual(sum(len(found.received) for found in engines), 3)

        await with_router(check, *engines)

    async def test_an_answer_from_an_older_adapter_is_not_used(self) -> None:
        """An adapter has a new version and one engine still has the old one. Its
        weights are right, so nothing but the adapter's name shows the old answer."""
        old = FakeInstance("e0", faults=[Fault(adapter="moisture@a1")])
        new = FakeInstance("e1", faults=[Fault(adapter="moisture@a2")] * 2)

        async def check(router: FakeRouter) -> None:
            for _ in "12":
                body = b'{"model":"moisture","prompt":"hi","stream":true}'
                caller = await router.ask(FakeCaller(body=body))
                self.assertEqual(caller.answer, caller.whole)
            self.assertEqual(len(old.received), 1)
            sent = new.received[0].headers
            self.assertEqual(sent[header.EXPECT_ADAPTER], "moisture@a2")

        await with_router(check, old, new)

    async def test_a_stream_that_cannot_go_on_ends_with_an_error(self) -> None:
        """Every engine breaks off. A connection that merely closed could be taken for
        the end of the answer; an explicit event cannot."""
        faults = [Fault(after=2, how="close") for _ in range(40)]
        engine = FakeInstance("e0", faults=faults)

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.error["code"], ResultCode.STREAM_BROKEN)
            self.assertTrue(caller.whole.startswith(caller.events))
            self.assertNotIn(b"[DONE]", caller.answer)

        await with_router(check, engine)

    async def test_a_refusal_says_truly_that_nothing_ran(self) -> None:
        engine = FakeInstance("e0", faults=[Fault(not_run=True) for _ in range(9)])

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.error["code"], ResultCode.UPSTREAM_REFUSED)
            self.assertEqual(caller.error["ran"], "no")
            self.assertGreaterEqual(int(caller.answer_headers["retry-after"]), 1)

        await with_router(check, engine)

    async def test_a_break_before_the_answer_is_not_called_not_run(self) -> None:
        """An engine takes the request and dies before its first byte. Telling the
        caller that it did not run would be a guess."""
        faults = [Fault(after=0, how="close") for _ in range(40)]

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.error["ran"], "unknown")

        await with_router(check, FakeInstance("e0", faults=faults))

    async def test_a_caller_that_leaves_stops_the_upstream_work(self) -> None:
        """A foreman closes the tablet in mid-answer. The engine would go on computing
        tokens that nobody reads."""
        engine = FakeInstance("e0", pause_s=1.0)

        async def check(router: FakeRouter) -> None:
            caller = FakeCaller()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.ask, caller)
                await trio.sleep(2.5)
                caller.gone.set()
            attempt_id = engine.received[0].headers[header.ATTEMPT_ID]
            self.assertEqual(engine.cancelled, [attempt_id])
            self.assertLess(trio.current_time(), 4)
            self.assertEqual(len(router.in_flight), 0)

        await with_router(check, engine)

    async def test_a_caller_that_does_not_read_holds_bounded_memory(self) -> None:
        """A caller opens a stream and reads nothing. Were the events taken from the
        engine all the same, each such caller would fill the router's memory."""
        engine = FakeInstance("e0", pause_s=0.1)

        async def check(router: FakeRouter) -> None:
            caller = FakeCaller()
            caller.reading = trio.Event()
            with trio.fail_after(router.parts.cfg.caller_stall_timeout_s + 5):
                await router.ask(caller)
            self.assertEqual(caller.answer, b"")
            self.assertEqual(len(engine.cancelled), 1)
            self.assertEqual(len(router.exchanges), 0)

        await with_router(check, engine)

    async def test_a_whole_answer_that_is_not_read_is_given_up(self) -> None:
        async def check(router: FakeRouter) -> None:
            caller = FakeCaller(body=b'{"model":"ember-llm","prompt":"hi"}')
            caller.reading = trio.Event()
            with trio.fail_after(router.parts.cfg.caller_stall_timeout_s + 5):
                await router.ask(caller)
            self.assertEqual(len(router.exchanges), 0)

        await with_router(check, FakeInstance("e0"))

    async def test_the_deadline_ends_a_request_and_its_upstream_work(self) -> None:
        engine = FakeInstance("e0", pause_s=3.0)

        async def check(router: FakeRouter) -> None:
            headers = {header.DEADLINE_MS.replace("-", "_"): "5000"}
            caller = await router.ask(FakeCaller(**headers))
            self.assertEqual(trio.current_time(), 5.0)
            self.assertEqual(caller.error["code"], ResultCode.DEADLINE_EXCEEDED)
            self.assertEqual(len(engine.cancelled), 1)

        await with_router(check, engine)


if __name__ == "__main__":
    unittest.main()
