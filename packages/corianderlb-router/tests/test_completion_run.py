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
    async def test_a_stream_arrives_complete(self) -> None:
        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)
            self.assertTrue(caller.finished)

        await with_router(check, FakeInstance("e0"))

    async def test_a_complete_answer_is_assembled(self) -> None:
        async def check(router: FakeRouter) -> None:
            body = b'{"model":"ember-llm","prompt":"hi"}'
            caller = await router.ask(FakeCaller(body=body))
            text = json.loads(caller.answer)["choices"][0]["message"]["content"]
            self.assertEqual(text, "w0 w1 w2 w3 w4 w5 ")

        await with_router(check, FakeInstance("e0"))

    async def test_a_broken_stream_is_resumed_on_the_same_incarnation(self) -> None:
        """The network drops a connection while the engine keeps generating. Guards
        against a truncated answer and a second prefill of the prompt."""
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

    async def test_a_stream_without_its_terminal_event_is_incomplete(self) -> None:
        """The engine closes cleanly before the terminal event. Guards against an
        unconfirmed answer being taken for complete."""
        fault = Fault(after=N_EVENTS, how="end")
        engine = FakeInstance("e0", faults=[fault])

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)
            self.assertEqual(engine.received[1].first_index, N_EVENTS)

        await with_router(check, engine)

    async def test_a_stream_continues_on_another_engine_after_a_crash(self) -> None:
        """An engine crashes during a stream. Another engine repeats the answer and only
        the missing events are forwarded."""
        first = FakeInstance("e0", faults=[Fault(after=2, how="crash")])
        second = FakeInstance("e1", faults=[Fault(after=2, how="crash")])
        third = FakeInstance("e2")

        async def check(router: FakeRouter) -> None:
            first.faults = [Fault(after=2, how="crash")]
            second.faults = []
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)

        await with_router(check, first, second, third)

    async def test_a_restarted_engine_at_the_same_address_is_not_resumed(self) -> None:
        """An engine restarts without its state before the router reconnects. Guards
        against resuming there, or repeating a prompt that may have crashed it."""
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

    async def test_an_unresponsive_connection_retires_its_pool(self) -> None:
        """All pooled connections to an engine stay open but carry no data. Guards
        against one timeout for each dead connection of the pool."""
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

    async def test_a_long_stream_has_no_total_timeout(self) -> None:
        engine = FakeInstance("e0", pause_s=4.0)

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)
            self.assertEqual(len(engine.received), 1)

        await with_router(check, engine)

    async def test_a_long_queue_does_not_count_as_unresponsive(self) -> None:
        """A request is queued on a busy engine for a minute. Guards against retries on
        engine after engine that retire each of them."""
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

    async def test_an_engine_that_never_sends_an_event_is_abandoned(self) -> None:
        """An engine answers HTTP requests but generates nothing. Guards against callers
        waiting until their deadlines."""
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
        """An upstream mixes up two answers. Guards against sending a caller the answer
        to another caller's prompt."""
        for fault in (Fault(answer_id="other"), Fault(event_id="other")):
            engines = [FakeInstance(f"e{n}", faults=[fault]) for n in range(2)]

            async def check(router: FakeRouter, engines=engines) -> None:
                caller = await router.ask()
                self.assertEqual(caller.answer, caller.whole)
                self.assertNotIn(b"other", caller.answer)
                states = {router.health.state(f"e{n}") for n in range(2)}
                self.assertEqual(states, {"proving"})

            await with_router(check, *engines)

    async def test_a_skipped_event_is_retried_on_another_engine(self) -> None:
        engines = [
            FakeInstance(f"e{n}", faults=[Fault(wrong_id_index=3)]) for n in range(2)
        ]

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)

        await with_router(check, *engines, FakeInstance("e2"))

    async def test_an_answer_from_other_weights_is_not_used(self) -> None:
        """An engine answers with old weights instead of refusing. Guards against
        relaying an answer from weights that are not in the catalogue."""
        engines = [FakeInstance(f"e{n}", faults=[Fault(weights="w0")]) for n in "01"]

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)
            self.assertEqual(sum(len(found.received) for found in engines), 3)

        await with_router(check, *engines)

    async def test_an_answer_from_an_older_adapter_is_not_used(self) -> None:
        """One engine still has the old version of an adapter. The weights version is
        correct, so only the adapter header reveals it."""
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

    async def test_a_stream_that_cannot_continue_ends_with_an_error(self) -> None:
        """All attempts break. Guards against a closed connection being taken for the
        end of the answer; the error event is explicit."""
        faults = [Fault(after=2, how="close") for _ in range(40)]
        engine = FakeInstance("e0", faults=faults)

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.error["code"], ResultCode.STREAM_BROKEN)
            self.assertTrue(caller.whole.startswith(caller.events))
            self.assertNotIn(b"[DONE]", caller.answer)

        await with_router(check, engine)

    async def test_a_refusal_reports_that_nothing_ran(self) -> None:
        engine = FakeInstance("e0", faults=[Fault(not_run=True) for _ in range(9)])

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.error["code"], ResultCode.UPSTREAM_REFUSED)
            self.assertEqual(caller.error["ran"], "no")
            self.assertGreaterEqual(int(caller.answer_headers["retry-after"]), 1)

        await with_router(check, engine)

    async def test_an_engine_gets_nothing_in_the_rest_that_it_asks_for(self) -> None:
        """Guards against other callers' requests, and repeats, in that time."""
        faults = [Fault(not_run=True, retry_after="30") for _ in range(9)]
        engine = FakeInstance("e0", faults=faults)

        async def check(router: FakeRouter) -> None:
            await router.ask()
            n_received = len(engine.received)
            for _ in range(3):
                caller = await router.ask()
                self.assertEqual(caller.error["code"], ResultCode.NO_UPSTREAM)
                self.assertEqual(caller.error["ran"], "no")
                self.assertGreaterEqual(int(caller.answer_headers["retry-after"]), 20)
            self.assertEqual(len(engine.received), n_received)

        await with_router(check, engine)

    async def test_a_break_before_the_answer_is_reported_as_unknown(self) -> None:
        """The connection breaks before the first event. Guards against reporting that
        the request did not run, which is unknown."""
        faults = [Fault(after=0, how="close") for _ in range(40)]

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.error["ran"], "unknown")

        await with_router(check, FakeInstance("e0", faults=faults))

    async def test_a_disconnected_caller_cancels_the_upstream_work(self) -> None:
        """Guards against an engine generating tokens after its caller disconnected."""
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

    async def test_a_caller_that_does_not_read_uses_bounded_memory(self) -> None:
        """A caller opens a stream and never reads. Guards against buffering the events
        without a limit."""
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

    async def test_a_complete_answer_that_is_not_read_times_out(self) -> None:
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
