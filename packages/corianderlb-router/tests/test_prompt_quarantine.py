"""Tests of the quarantine of prompt parts over several routers."""

from __future__ import annotations

from dataclasses import dataclass

import trio
import trio.testing

from corianderlb_core.identity import InstanceId
from corianderlb_core.message import SuspectPart
from corianderlb_core.quarantine import (
    PART_CRASH_LIMIT,
    PART_SETTLE_S,
    PROBE_S,
    part_digest,
)
from corianderlb_core.rendezvous import rank
from corianderlb_core.request import Refusal
from corianderlb_core.result import ResultCode
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import MODEL, ForwardRouter, Upstream, a_fleet, a_stream

REFUSAL = Refusal(ResultCode.QUARANTINED, "quarantined", 60.0)
BAD_PROMPT = "first:100,bad:50,own{}:50"
SOUND_PROMPT = "first:100,site:50,own{}:50"
HOLD_S = 60.0


@dataclass(frozen=True)
class Named:
    """A member of the fleet, of which only the name matters."""

    instance: InstanceId


async def crash_engines(
    routers: list[ForwardRouter], n_crashes: int = PART_CRASH_LIMIT
) -> None:
    """Let the routers in turn report crashes with the bad part in flight."""
    parts = [
        SuspectPart(part_digest(MODEL, "first"), 2, 50, 0),
        SuspectPart(part_digest(MODEL, "bad"), 1, 50, 1),
    ]
    for number in range(n_crashes):
        quarantine = routers[number % len(routers)].parts.quarantine
        quarantine.report_crash(InstanceId(f"e{number}"), 1, (), parts)
        await trio.sleep(0.5)
    await trio.sleep(PART_SETTLE_S)


async def ask(router: ForwardRouter, prompt: str, number: int) -> int:
    """Send a request; return the status of its answer."""
    request_id, own = f"q{number}", prompt.format(number)
    caller = await router.ask("/quick/1", x_id=request_id, x_prompt=own)
    await trio.testing.wait_all_tasks_blocked()
    return caller.status


class PromptQuarantineTest(TrioTestCase):
    async def test_all_routers_refuse_the_part_and_nothing_else(self) -> None:
        """Guards against each router that lets its own instances crash first."""
        engine = Upstream([a_stream(1, 3)])
        async with a_fleet(3, e1=engine) as routers:
            await crash_engines(routers)
            for number, router in enumerate(routers):
                self.assertEqual(await ask(router, BAD_PROMPT, number), 503)
            self.assertEqual(len(engine.requests), 0)
            for number, router in enumerate(routers):
                self.assertEqual(await ask(router, SOUND_PROMPT, 10 + number), 200)

    async def test_complete_answers_keep_a_part_in_use(self) -> None:
        """Guards against unrelated crashes that are counted over complete answers."""
        engine = Upstream([a_stream(1, 3)])
        async with a_fleet(3, e1=engine) as routers:
            for number in range(4):
                await crash_engines(routers, n_crashes=2)
                for router in routers:
                    self.assertEqual(await ask(router, BAD_PROMPT, number), 200)

    async def test_one_router_probes_when_the_quarantine_is_over(self) -> None:
        """Guards against a request of each router that reaches instances then."""
        engine = Upstream([a_stream(1, 3)])
        async with a_fleet(3, e1=engine) as routers:
            await crash_engines(routers)
            for number, router in enumerate(routers):
                self.assertEqual(await ask(router, BAD_PROMPT, number), 503)
            await trio.sleep(HOLD_S)
            digest = part_digest(MODEL, "bad")
            for router in routers:
                names = [other.parts.cfg.node for other in routers]
                router.peers.members = lambda names=names: [
                    Named(InstanceId(name)) for name in names
                ]
            prober = rank(digest, sorted(r.parts.cfg.node for r in routers))[0]
            others = [r for r in routers if r.parts.cfg.node != prober]
            for number, router in enumerate(others):
                self.assertEqual(await ask(router, BAD_PROMPT, 20 + number), 503)
            self.assertEqual(len(engine.requests), 0)
            (own,) = [r for r in routers if r.parts.cfg.node == prober]
            self.assertEqual(await ask(own, BAD_PROMPT, 30), 200)
            for number, router in enumerate(others):
                self.assertEqual(await ask(router, BAD_PROMPT, 40 + number), 200)

    async def test_request_quarantined_while_it_waits(self) -> None:
        """Guards against queued requests that crash instances later."""
        engine = Upstream([a_stream(1, 3)])
        async with a_fleet(2, e1=engine) as routers:
            router = routers[0]
            router.permits.may_send = lambda instance: False
            waiting: list[int] = []

            async def wait() -> None:
                waiting.append(await ask(router, BAD_PROMPT, 1))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await trio.sleep(0.01)
                router.parts.quarantine.part_refusal = lambda parts: REFUSAL
                del router.permits.may_send
            self.assertEqual(waiting, [503])
            self.assertEqual(len(engine.requests), 0)

    async def test_probe_that_never_ends_is_followed_by_another(self) -> None:
        async with a_fleet(1, e1=Upstream([a_stream(1, 3)])) as (router,):
            await crash_engines([router])
            quarantine = router.parts.quarantine
            parts = (part_digest(MODEL, "bad"),)
            self.assertIsNotNone(quarantine.admit(b"a", parts))
            await trio.sleep(HOLD_S)
            self.assertIsNone(quarantine.admit(b"b", parts))
            refusal = quarantine.admit(b"c", parts)
            self.assertEqual(refusal.code, ResultCode.QUARANTINED)
            await trio.sleep(PROBE_S)
            self.assertIsNone(quarantine.admit(b"d", parts))
