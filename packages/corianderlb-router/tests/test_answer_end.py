"""Tests of what is known of an answer that ends with its connection."""

from __future__ import annotations

import math
import socket

import trio

from answer_end_builders import (
    DROPPED,
    OPEN,
    REFUSED,
    SILENT,
    UNREACHABLE,
    ScriptedPool,
    StartProbe,
)
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_router.answer_end import (
    MIN_RESTART_S,
    STAY_S,
    AnswerEnd,
    AnswerEnds,
)
from corianderlb_router.connection import SocketStream
from corianderlb_standins.trio_case import RealTimeTestCase, TrioTestCase
from forward_builders import an_instance

CLOSED, DIED, UNKNOWN = AnswerEnd.CLOSED, AnswerEnd.DIED, AnswerEnd.UNKNOWN

ENTRY = an_instance("e1", "llm", born_ms=1)
UNTOLD = an_instance("s1", "app", born_ms=0)

TICK_S = 0.02
"""What two readings of the kernel's coarse clock may differ by."""


async def judge(ends: AnswerEnds, instance=ENTRY, age_s: float = 0.0) -> AnswerEnd:
    """Judge an answer that has ended some time ago."""
    return await ends.judge(instance, trio.current_time() - age_s)


class AnswerEndTest(TrioTestCase):
    async def test_start_of_the_process(self) -> None:
        """Guards against an answer cut by a restart that counts as whole."""
        for born_ms, end in ((1, CLOSED), (2, DIED), (-1, DIED)):
            pool = ScriptedPool(OPEN)
            ends = AnswerEnds(pool, StartProbe(born_ms))
            with self.subTest(born_ms=born_ms):
                self.assertIs(await judge(ends, age_s=5.0), end)
                self.assertEqual(pool.n_asked, 0)

    async def test_connection_to_an_instance_that_does_not_tell_its_start(self) -> None:
        """Guards against a listening socket that outlives its process by a moment."""
        for script, age_s, end in (
            ((OPEN,), 0.0, CLOSED),
            ((REFUSED,), 0.0, DIED),
            ((UNREACHABLE,), 0.0, UNKNOWN),
            ((SILENT,), 0.0, UNKNOWN),
            ((DROPPED, REFUSED), 0.0, DIED),
            ((DROPPED, SILENT), 0.0, UNKNOWN),
            # Beyond the limit of its connections.
            ((DROPPED,), 0.0, CLOSED),
            # The router stood still, and the instance may have restarted meanwhile.
            ((OPEN,), MIN_RESTART_S, UNKNOWN),
            ((DROPPED,), MIN_RESTART_S, UNKNOWN),
            ((REFUSED,), 5.0, DIED),
        ):
            pool = ScriptedPool(*script)
            with self.subTest(script=script, age_s=age_s):
                end_found = await judge(AnswerEnds(pool), UNTOLD, age_s)
                self.assertIs(end_found, end)
                n_open = sum(not conn.has_closed for conn in pool.opened)
                self.assertEqual(n_open, int(script == (OPEN,)))

    async def test_connection_that_outlives_the_answer(self) -> None:
        """Guards against needless doubts and questions of a starved router."""
        for opened_s, ends_after_s, end, n_new in (
            (0.0, math.inf, CLOSED, 0),
            # Younger than the answer, or ended with it.
            (0.7, math.inf, UNKNOWN, 1),
            (0.0, -0.001, UNKNOWN, 1),
            (0.0, 0.01, UNKNOWN, 1),
        ):
            pool = ScriptedPool(OPEN)
            await trio.sleep(opened_s)
            conn = await pool.take("s1:80", True, 1.0)
            await trio.sleep(1.0 - opened_s)
            conn.is_dropped = ends_after_s < 0
            ends = AnswerEnds(pool)
            with self.subTest(opened_s=opened_s, ends_after_s=ends_after_s):
                async with trio.open_nursery() as nursery:

                    async def drop(conn=conn, after_s=ends_after_s) -> None:
                        if 0 < after_s < 1:
                            await trio.sleep(after_s)
                            conn.is_dropped = True

                    nursery.start_soon(drop)
                    self.assertIs(await judge(ends, UNTOLD, 0.5), end)
                self.assertEqual(pool.n_asked, 1 + n_new)

    async def test_one_connection_outlives_its_process(self) -> None:
        """Guards against a lost segment that passes for a process that lives on."""
        for last, end, n_new in ((REFUSED, DIED, 1), (OPEN, CLOSED, 1)):
            pool = ScriptedPool(OPEN, OPEN, OPEN, last)
            conns = [await pool.take("s1:80", True, 1.0) for _ in range(3)]
            await trio.sleep(1.0)
            for conn in conns[1:]:
                conn.is_dropped = True
            with self.subTest(last=last):
                self.assertIs(await judge(AnswerEnds(pool), UNTOLD), end)
                self.assertEqual(pool.n_asked, 3 + n_new)

    async def test_connection_is_left_open_for_the_next_answer(self) -> None:
        """Guards against a new connection for each answer, and one that stays open."""
        pool = ScriptedPool(OPEN)
        ends = AnswerEnds(pool)
        for _ in range(10):
            self.assertIs(await judge(ends, UNTOLD), CLOSED)
            await trio.sleep(1.0)
        self.assertEqual(pool.n_asked, 1)
        await trio.sleep(10.0)
        self.assertIs(await judge(ends, an_instance("s2", "app")), CLOSED)
        self.assertEqual([conn.is_closed for conn in pool.opened], [True, False])

    async def test_probe_that_tells_nothing(self) -> None:
        """Guards against answers in doubt since a question waits for a free slot."""
        for takes_s, tells in ((0.002, True), (0.3, True), (0.3, False)):
            probe, pool = StartProbe(0, takes_s, tells), ScriptedPool(OPEN)
            with self.subTest(takes_s=takes_s, tells=tells):
                self.assertIs(await judge(AnswerEnds(pool, probe)), CLOSED)
                self.assertEqual((probe.n_asked, pool.n_asked), (int(tells), 1))

    async def test_late_answer_to_the_probe(self) -> None:
        """Guards against a doubt although the instance tells its start in time."""
        for script in (OPEN, SILENT, UNREACHABLE):
            ends = AnswerEnds(ScriptedPool(script), StartProbe(1, 0.2))
            self.assertIs(await judge(ends, age_s=MIN_RESTART_S), CLOSED)

    async def test_answers_that_end_together_share_questions(self) -> None:
        """Guards against a question for each answer of an instance."""
        probe = StartProbe(1, 0.01)
        ends, found = AnswerEnds(ScriptedPool(OPEN), probe), []

        async def end() -> None:
            found.append(await judge(ends))

        async with trio.open_nursery() as nursery:
            for _ in range(50):
                nursery.start_soon(end)
                await trio.sleep(0.001)
        self.assertEqual(found, [CLOSED] * 50)
        self.assertLess(probe.n_asked, 8)

    async def test_question_that_was_open_already(self) -> None:
        """Guards against an answer of a process that has died since."""
        probe, found = StartProbe(1, 0.02), []
        ends = AnswerEnds(ScriptedPool(REFUSED), probe)

        async def end() -> None:
            found.append(await judge(ends))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(end)
            await trio.sleep(0.01)
            nursery.start_soon(end)
            await trio.sleep(0.011)
            probe.start_ms = 2
        self.assertEqual((found, probe.n_asked), ([CLOSED, DIED], 2))

    async def test_wait_for_another_question_counts_as_time(self) -> None:
        """Guards against a restart during the wait that passes for the same process."""
        ends, found = AnswerEnds(ScriptedPool(OPEN, takes_s=0.2)), []

        async def end() -> None:
            found.append(await judge(ends, UNTOLD))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(end)
            await trio.sleep(0.01)
            ends._pool.takes_s = 0.001
            nursery.start_soon(end)
        self.assertEqual(found, [UNKNOWN, UNKNOWN])

    async def test_each_end_is_judged_by_its_own_time(self) -> None:
        """Guards against an old end that shares the finding of a new one."""
        ends, found = AnswerEnds(ScriptedPool(OPEN)), {}

        async def end(age_s: float) -> None:
            found[age_s] = await judge(ends, UNTOLD, age_s)

        async with trio.open_nursery() as nursery:
            for age_s in (0.0, 0.01, 1.0):
                nursery.start_soon(end, age_s)
        self.assertEqual(found, {0.0: CLOSED, 0.01: CLOSED, 1.0: UNKNOWN})
        self.assertEqual(ends._pool.n_asked, 1)

    async def test_question_whose_asker_is_cancelled(self) -> None:
        """Guards against answers that wait for good, or for a finding of nobody."""
        probe, found = StartProbe(1, 0.02), []
        ends = AnswerEnds(ScriptedPool(OPEN), probe)

        async def end() -> None:
            found.append(await judge(ends))

        async with trio.open_nursery() as nursery:
            with trio.move_on_after(0.01) as scope:
                nursery.start_soon(end)
                await judge(ends)
        self.assertTrue(scope.cancelled_caught)
        self.assertEqual((found, probe.n_asked), ([CLOSED], 2))

    async def test_connection_is_closed_if_the_asker_is_cancelled(self) -> None:
        """Guards against connections that stay open."""
        pool = ScriptedPool(OPEN)
        with trio.move_on_after(0.01):
            await judge(AnswerEnds(pool), UNTOLD)
        self.assertEqual([conn.is_closed for conn in pool.opened], [True])


class OutlivedAnswerTest(TrioTestCase):
    """What becomes of the process that ended an answer, some time after the end."""

    async def judge_after(
        self,
        goes_after_s: float,
        pool: ScriptedPool,
        probe: StartProbe | None,
        instance: ForwardInstance = ENTRY,
    ) -> tuple[AnswerEnd, float]:
        """Return what is found of an answer, and the time that took."""
        ends, ended_at = AnswerEnds(pool, probe), trio.current_time()
        async with trio.open_nursery() as nursery:

            async def go() -> None:
                await trio.sleep(goes_after_s)
                pool.script = [REFUSED]
                for conn in pool.opened:
                    conn.is_dropped = True
                if probe is not None:
                    probe.start_ms, probe.responds = 0, False

            nursery.start_soon(go)
            end = await ends.judge(instance, ended_at, ended_at + STAY_S)
            took_s = trio.current_time() - ended_at
            nursery.cancel_scope.cancel()
        return end, took_s

    async def test_process_that_ends_its_answers_first(self) -> None:
        """Guards against answers that are whole since their process exits later."""
        for goes_after_s in (0.03, 0.05, 0.3, 1.0):
            for instance, probe in (
                (ENTRY, StartProbe(1)),
                (ENTRY, StartProbe(0)),
                (UNTOLD, StartProbe(0)),
                (UNTOLD, None),
            ):
                with self.subTest(goes_after_s=goes_after_s, instance=instance):
                    pool = ScriptedPool(OPEN)
                    end, took_s = await self.judge_after(
                        goes_after_s, pool, probe, instance
                    )
                    self.assertIs(end, DIED)
                    self.assertLess(took_s, goes_after_s + 0.5)

    async def test_process_that_is_replaced_meanwhile(self) -> None:
        """Guards against the next process that passes for the one that has ended."""
        for instance, end in ((ENTRY, DIED), (UNTOLD, UNKNOWN)):
            pool, probe = ScriptedPool(OPEN), StartProbe(2)
            async with trio.open_nursery() as nursery:

                async def replace(pool=pool) -> None:
                    await trio.sleep(0.2)
                    pool.opened[0].is_dropped = True

                nursery.start_soon(replace)
                ended_at = trio.current_time()
                found = await AnswerEnds(pool, probe).judge(
                    instance, ended_at, ended_at + STAY_S
                )
            self.assertIs(found, end)

    async def test_process_that_drops_new_connections_as_it_exits(self) -> None:
        """Guards against a dropped connection, and the next process, as one process."""
        pool = ScriptedPool(DROPPED, OPEN, OPEN)
        ended_at = trio.current_time()
        found = await AnswerEnds(pool).judge(UNTOLD, ended_at, ended_at + STAY_S)
        self.assertIs(found, UNKNOWN)

    async def test_listening_socket_that_outlives_its_process(self) -> None:
        """Guards against a connection that no process has accepted."""
        for responds, end in ((False, UNKNOWN), (True, CLOSED)):
            probe = StartProbe(0, responds=responds)
            pool = ScriptedPool(OPEN)
            for instance in (ENTRY, UNTOLD):
                found, _ = await self.judge_after(math.inf, pool, probe, instance)
                self.assertIs(found, end)

    async def test_instance_that_lives_on_and_marks_no_end(self) -> None:
        """Guards against a question, or a connection, for each of its answers."""
        for instance, probe in ((ENTRY, StartProbe(1, 0.01)), (UNTOLD, None)):
            pool, found = ScriptedPool(OPEN), []
            ends = AnswerEnds(pool, probe)

            async def end(ends=ends, instance=instance, found=found) -> None:
                ended_at = trio.current_time()
                found.append(await ends.judge(instance, ended_at, ended_at + STAY_S))

            async with trio.open_nursery() as nursery:
                for _ in range(1000):
                    nursery.start_soon(end)
                    await trio.sleep(0.01)
            self.assertEqual(found, [CLOSED] * 1000)
            n_probes = probe.n_asked if probe else 0
            with self.subTest(instance=instance):
                self.assertLess(pool.n_asked, 10)
                self.assertLess(n_probes, 1000 / 5)
                n_open = sum(not conn.is_closed for conn in pool.opened)
                self.assertLess(n_open, 5)


class SilentSocketTest(RealTimeTestCase):
    async def test_age_of_the_end_of_a_connection(self) -> None:
        """Guards against an end that counts as new after a pause of this process."""
        for waits_s, age_s in ((0.0, 0.3), (0.3, 0.0)):
            with (
                self.subTest(waits_s=waits_s),
                socket.create_server(("127.0.0.1", 0)) as listener,
            ):
                stream = SocketStream(socket.create_connection(listener.getsockname()))
                remote, _ = listener.accept()
                await stream.send_all(b"request")
                remote.sendall(b"part")
                self.assertEqual(await stream.receive_some(), b"part")
                await trio.sleep(waits_s)
                remote.recv(100)
                earliest = trio.current_time()
                remote.close()
                latest = trio.current_time()
                await trio.sleep(age_s)
                self.assertEqual(await stream.receive_some(), b"")
                least_s = trio.current_time() - latest - TICK_S
                found_s = stream.silent_s
                self.assertGreater(found_s, least_s)
                self.assertLess(found_s, trio.current_time() - earliest + TICK_S)
                stream.close()
                self.assertEqual(stream.silent_s, 0.0)
