"""Multi-process tests of prompt placement while engines and routers fail."""

from __future__ import annotations

from corianderlb_core import header
from corianderlb_standins.fleet import OPERATOR_KEY, Fleet, running_fleet, until
from corianderlb_standins.fleet_plan import KV_CACHE, FleetPlan, default_entries
from corianderlb_standins.load_client import LoadClient, StreamAnswer, nested_prompt
from corianderlb_standins.trio_case import RealTimeTestCase

PROMPTS = [
    nested_prompt("northwest-charcoal", f"kiln-{i}", f"batch-{i}") for i in range(6)
]


async def send_prompt(fleet: Fleet, router: int, prompt: str) -> StreamAnswer:
    """Send a prompt through one router."""
    async with LoadClient(fleet.routers[router].address) as client:
        return await client.stream(prompt, n_tokens=4)


async def attempts_by_engine(fleet: Fleet) -> dict[str, int]:
    """Return the number of attempts that each running engine has received."""
    found = {}
    for engine in fleet.engines:
        if engine.exit_code is None:
            counters = await fleet.counters(engine.name)
            found[engine.name] = sum(counters["attempts"].values())
    return found


async def engine_of(fleet: Fleet, prompt: str) -> str:
    """Return the engine that a prompt goes to."""
    before = await attempts_by_engine(fleet)
    await send_prompt(fleet, 0, prompt)
    after = await attempts_by_engine(fleet)
    return next(name for name, n in after.items() if n > before.get(name, 0))


async def epoch_of(fleet: Fleet, name: str) -> int:
    """Return the epoch of an engine that the first router considers usable, or 0."""
    status = await fleet.status(fleet.routers[0])
    known = [u for u in status["upstreams"] if u["instance"] == name and u["usable"]]
    return known[0]["epoch"] if known else 0


async def candidate_of(
    fleet: Fleet, answer: StreamAnswer, name: str
) -> tuple[int, int]:
    """Return the epoch and expected hits of an engine in a decision."""
    decision_id = answer.headers[header.DECISION_ID]
    url = f"http://{fleet.routers[0].address}/admin/decisions/{decision_id}"
    headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
    decision = (await fleet.http.get(url, headers=headers)).json()
    candidates = {found["instance"]: found for found in decision["candidates"]}
    return candidates[name]["epoch"], candidates[name]["expected_hits"]


class PlacementProcessesTest(RealTimeTestCase):
    async def test_restarted_router_finds_the_pieces(self) -> None:
        """A router restarts and loses its state about the engines' caches.

        Prompts placed on other engines would be computed again.
        """
        async with running_fleet(FleetPlan(n_services=0, n_routers=2)) as fleet:
            for prompt in PROMPTS:
                self.assertTrue((await send_prompt(fleet, 0, prompt)).complete)
            await fleet.routers[1].kill()
            await fleet.restart("router-2")
            await fleet.wait_until_ready(fleet.routers[1])
            for prompt in PROMPTS:
                answer = await send_prompt(fleet, 1, prompt)
                self.assertEqual(answer.cached_tokens, 4000)

    async def test_engine_that_comes_back_empty(self) -> None:
        """An engine crashes and restarts at the same address with an empty cache.

        If its old cache entries still counted, prompts would queue there for pieces
        that must be computed again. All answers must be complete meanwhile.
        """
        async with running_fleet(FleetPlan(n_services=0, n_routers=1)) as fleet:
            name = await engine_of(fleet, PROMPTS[0])
            warm = await send_prompt(fleet, 0, PROMPTS[0])
            self.assertEqual((await candidate_of(fleet, warm, name))[1], 4)
            old = await epoch_of(fleet, name)
            await fleet.processes[name].kill()
            during_outage = await send_prompt(fleet, 0, PROMPTS[0])
            await fleet.restart(name)

            async def is_back() -> bool:
                return await epoch_of(fleet, name) > old

            await until(is_back)
            answers = [await send_prompt(fleet, 0, PROMPTS[0]) for _ in range(4)]
            for answer in (during_outage, *answers):
                self.assertTrue(answer.complete and answer.is_in_order, answer)
            epoch, hits = await candidate_of(fleet, answers[0], name)
            self.assertGreater(epoch, old)
            self.assertEqual(hits, 0)
            self.assertEqual(answers[-1].cached_tokens, 4000)

    async def test_leaving_engine_gets_no_new_work(self) -> None:
        """An engine reports that it is leaving while the platform lists it as live.

        Requests sent there would be cut. One router reads the report and must
        announce it to the others.
        """
        async with running_fleet(FleetPlan(n_services=0, n_routers=3)) as fleet:
            name = await engine_of(fleet, PROMPTS[0])
            await fleet.fault(name, leaving=True)

            async def gets_no_attempts() -> bool:
                before = (await attempts_by_engine(fleet))[name]
                for router in range(3):
                    await send_prompt(fleet, router, PROMPTS[0])
                return (await attempts_by_engine(fleet))[name] == before

            # Upper bound for the poll of the engine and the gossip between routers.
            await until(gets_no_attempts, timeout_s=15.0)
            before = (await attempts_by_engine(fleet))[name]
            for number in range(12):
                answer = await send_prompt(fleet, number % 3, PROMPTS[number % 6])
                self.assertTrue(answer.complete)
            self.assertEqual((await attempts_by_engine(fleet))[name], before)

    async def test_pieces_of_a_lost_engine_are_imported(self) -> None:
        """An engine crashes, and its successor lacks the pieces of its prompts.

        It must import them from the KV cache upstream instead of computing them again.
        """
        entries = default_entries(kv_cache=KV_CACHE, import_s_per_piece=0.002)
        plan = FleetPlan(n_services=0, n_routers=1, with_kv_cache=True, entries=entries)
        async with running_fleet(plan) as fleet:
            name = await engine_of(fleet, PROMPTS[0])

            async def exported() -> bool:
                return (await fleet.counters("kv-cache-1"))["pieces"] >= 4

            await until(exported)
            await fleet.processes[name].kill()

            first = await send_prompt(fleet, 0, PROMPTS[0])
            self.assertTrue(first.complete)
            imports = [
                (await fleet.counters(engine.name))["calls"].get("import", 0)
                for engine in fleet.engines
                if engine.exit_code is None
            ]
            self.assertGreater(sum(imports), 0)
            self.assertEqual(first.cached_tokens, 4000)
