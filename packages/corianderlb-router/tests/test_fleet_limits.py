"""Fleet-wide limits across four routers, also with lost messages and lost routers.

The bounds asserted here are the tolerance that ``corianderlb_core.allowance`` states.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from corianderlb_core.catalogue import Catalogue, Limits, ServiceClass
from corianderlb_core.identity import AccountId, InstanceId, InstanceRecord, Role
from corianderlb_core.load import LoadReport
from corianderlb_core.rendezvous import primary_node
from corianderlb_core.request import Refusal
from corianderlb_core.result import ResultCode
from corianderlb_core.settings import AdmissionSettings
from corianderlb_router.interface import (
    CatalogueInForce,
    CatalogueSource,
    Slot,
)
from corianderlb_router.limiter import Limiter
from corianderlb_router.store import InstanceList
from corianderlb_router.upstream_directory import PlatformDirectory
from corianderlb_standins.builder import a_catalogue, an_account, some_facts
from corianderlb_standins.fake_network import FakeHub
from corianderlb_standins.trio_case import TrioTestCase

ROUTERS = ("r1", "r2", "r3", "r4")
ENTRY = "account/northwest-charcoal"


class FixedCatalogue(CatalogueSource):
    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue

    def current(self) -> CatalogueInForce:
        return CatalogueInForce(self.catalogue, "", 0.0)


def a_directory(n_instances: int) -> PlatformDirectory:
    directory = PlatformDirectory()
    records = [
        InstanceRecord(
            instance=InstanceId(f"yard-app-{n}"),
            role=Role.UPSTREAM,
            zone="zone-a",
            region="pnw",
            address="",
            upstream="yard-app",
        )
        for n in range(n_instances)
    ]
    directory.apply_instance_list(InstanceList(1, tuple(records)))
    return directory


class FleetLimitTest(TrioTestCase):
    hub: FakeHub
    limiters: dict[str, Limiter]

    @asynccontextmanager
    async def running(
        self,
        limits: Limits,
        n_instances: int = 100,
        routers: tuple[str, ...] = ROUTERS,
        **cfg: float,
    ) -> AsyncIterator[None]:
        entries = (an_account(limits=limits), an_account("small-shop"))
        catalogue = FixedCatalogue(a_catalogue(*entries))
        async with trio.open_nursery() as nursery:
            self.hub = FakeHub(nursery, random.Random(5))
            self.limiters = {
                name: Limiter(
                    InstanceId(name),
                    catalogue,
                    a_directory(n_instances),
                    self.hub.join(name),
                    AdmissionSettings(**cfg),
                )
                for name in routers
            }
            for limiter in self.limiters.values():
                nursery.start_soon(limiter.run)
            yield
            nursery.cancel_scope.cancel()

    async def flood(
        self, per_s: float, duration_s: float, hold_s: float = 0.0
    ) -> dict[str, int]:
        """Send requests to random routers; return how many each admitted."""
        admitted = dict.fromkeys(self.limiters, 0)

        async def one(name: str) -> None:
            slot = await self.admit(name)
            if isinstance(slot, Slot):
                admitted[name] += 1
                await trio.sleep(hold_s)
                slot.release(0)

        rng = random.Random(2)
        until = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(one, rng.choice(list(self.limiters)))
                await trio.sleep(rng.expovariate(per_s))
        return admitted

    async def admit(self, name: str, **fields: object) -> Slot | Refusal:
        deadline = trio.current_time() + 30.0
        facts = some_facts(**{"deadline": deadline, **fields})
        return await self.limiters[name].admit(facts)

    def primary_node(self) -> str:
        found = primary_node(ENTRY.encode(), ROUTERS)
        assert found is not None
        return found

    async def test_primary_that_answers_late(self) -> None:
        """Guard against refusals below the limit while the primary answers slowly."""
        for delay_s in (0.16, 0.3, 0.7):
            with self.subTest(delay_s=delay_s):
                self.assertEqual(await self.refused_with(delay_s), [])

    async def refused_with(self, delay_s: float) -> list[tuple[str, ResultCode]]:
        """Return the refusals far below the limit at a message delay of ``delay_s``."""
        refused: list[tuple[str, ResultCode]] = []
        async with self.running(Limits(concurrent=500, requests_per_s=500.0)):
            self.hub.delay_s = delay_s

            async def one(name: str) -> None:
                slot = await self.admit(name)
                if isinstance(slot, Refusal):
                    refused.append((name, slot.code))
                    return
                await trio.sleep(1.0)
                slot.release(0)

            async with trio.open_nursery() as nursery:
                for number in range(200):
                    nursery.start_soon(one, ROUTERS[number % 4])
                    await trio.sleep(0.03)
        return refused

    async def test_rate_over_all_routers(self) -> None:
        async with self.running(Limits(requests_per_s=20.0)):
            admitted = await self.flood(per_s=80.0, duration_s=15.0)
        self.assertLessEqual(sum(admitted.values()), 20 * 15 + 20 + 4)
        self.assertGreaterEqual(sum(admitted.values()), 20 * 15 * 0.9)
        self.assertGreaterEqual(min(admitted.values()), 20 * 15 / 4 * 0.5)

    async def test_traffic_within_the_rate_is_admitted(self) -> None:
        async with self.running(Limits(requests_per_s=20.0)):
            admitted = await self.flood(per_s=10.0, duration_s=15.0)
            refused = [one.accounts()[0].n_refused for one in self.limiters.values()]
        self.assertLessEqual(sum(refused), sum(admitted.values()) * 0.02)

    async def test_rate_holds_while_messages_are_lost(self) -> None:
        """Guard against each router using the whole limit while messages are lost."""
        async with self.running(Limits(requests_per_s=20.0)):
            self.hub.loss = 0.3
            admitted = await self.flood(per_s=80.0, duration_s=15.0)
        most = 20 * 15 * (1 + 3 / 4) + 20 + 4
        self.assertLessEqual(sum(admitted.values()), most)
        self.assertGreaterEqual(sum(admitted.values()), 20 * 15 * 0.5)

    async def test_rate_holds_when_one_router_is_cut_off(self) -> None:
        """A router without peers serves its share; the fleet stays within tolerance."""
        async with self.running(Limits(requests_per_s=20.0)):
            cut = next(name for name in ROUTERS if name != self.primary_node())
            self.hub.cut.add(cut)
            admitted = await self.flood(per_s=80.0, duration_s=15.0)
        self.assertGreaterEqual(admitted[cut], 20 * 15 / 4 * 0.8)
        self.assertLessEqual(sum(admitted.values()), 20 * 15 * 1.25 + 40 + 4)

    async def test_primary_fails(self) -> None:
        async with self.running(Limits(requests_per_s=20.0)):
            await self.flood(per_s=80.0, duration_s=5.0)
            gone = self.primary_node()
            self.limiters.pop(gone)
            self.hub.cut.add(gone)
            during_outage = await self.flood(per_s=80.0, duration_s=5.0)
            self.hub.dead.add(gone)
            after = await self.flood(per_s=80.0, duration_s=10.0)
        # Three of four shares while it is unresponsive, and all once it is not listed.
        self.assertLessEqual(sum(during_outage.values()), 20 * 5 + 20 + 4)
        self.assertGreaterEqual(sum(during_outage.values()), 20 * 5 * 0.5)
        self.assertLessEqual(sum(after.values()), 20 * 10 + 2 * 20 + 4)
        self.assertGreaterEqual(sum(after.values()), 20 * 10 * 0.8)

    async def test_running_requests_over_all_routers(self) -> None:
        """Guard against the primary granting slots again before their grant expires."""
        for loss in (0.0, 0.3):
            with self.subTest(loss=loss):
                async with self.running(Limits(concurrent=20)):
                    self.hub.loss = loss
                    most = await self._most_running(loss)
                self.assertLessEqual(most, 20 if loss == 0.0 else 20 * (1 + 3 / 4))

    async def _most_running(self, loss: float) -> int:
        most = 0

        async def watch() -> None:
            nonlocal most
            while True:
                running = [a.accounts() for a in self.limiters.values()]
                most = max(most, sum(r[0].n_running for r in running if r))
                await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            admitted = await self.flood(per_s=80.0, duration_s=15.0, hold_s=0.3)
            nursery.cancel_scope.cancel()
        self.assertGreater(sum(admitted.values()), 20 * 15 / 0.3 * 0.4)
        return most

    async def test_tokens_are_settled(self) -> None:
        async with self.running(Limits(tokens_per_s=1000.0)):
            slot = await self.admit("r1", prompt_tokens=100)
            assert isinstance(slot, Slot)
            slot.release(5000)
            slot.release(5000)
            refusal = await self.admit("r1", prompt_tokens=100)
            assert isinstance(refusal, Refusal)
            self.assertEqual(refusal.code, ResultCode.RATE_LIMITED)
            await trio.sleep(refusal.retry_after_s + 4.0)
            self.assertIsInstance(await self.admit("r1", prompt_tokens=100), Slot)

    async def test_many_requests_at_once_within_the_limits(self) -> None:
        """Guard against refusals of a burst that arrives before the first grant."""
        for is_remote in (True, False):
            async with self.running(Limits(requests_per_s=500.0, concurrent=200)):
                name = next(
                    n for n in ROUTERS if (n != self.primary_node()) is is_remote
                )
                outcomes: list[Slot | Refusal] = []

                async def send_request(
                    name: str, outcomes: list[Slot | Refusal]
                ) -> None:
                    outcomes.append(await self.admit(name))

                async with trio.open_nursery() as nursery:
                    for _ in range(20):
                        nursery.start_soon(send_request, name, outcomes)
                refused = [one for one in outcomes if isinstance(one, Refusal)]
                self.assertEqual(refused, [])

    async def test_calls_without_tokens_beside_a_token_limit(self) -> None:
        """Guard against a token limit refusing requests that use no tokens."""
        async with self.running(Limits(tokens_per_s=1000.0)):
            for _ in range(20):
                slot = await self.admit("r1", prompt_tokens=0)
                assert isinstance(slot, Slot)
                slot.release(0)

    async def test_requests_over_the_limit_do_not_flood_the_primary(self) -> None:
        async with self.running(Limits(requests_per_s=1.0)):
            remote = next(name for name in ROUTERS if name != self.primary_node())
            await self.admit(remote)
            before = self.hub.n_messages
            async with trio.open_nursery() as nursery:
                for _ in range(200):
                    nursery.start_soon(self.admit, remote)
                    await trio.sleep(0.005)
            # One request and one grant every 50 ms, not one pair for each caller.
            self.assertLess(self.hub.n_messages - before, 50)

    async def test_two_places_for_two_routers(self) -> None:
        async with self.running(Limits(concurrent=2)):
            first = await self.admit("r1")
            self.assertIsInstance(first, Slot)
            self.assertIsInstance(await self.admit("r2"), Slot)
            refusal = await self.admit("r3")
            assert isinstance(refusal, Refusal)
            self.assertEqual(refusal.code, ResultCode.TOO_MANY_CONCURRENT)
            self.assertGreater(refusal.retry_after_s, 0)

    async def test_caller_disconnects_in_the_queue(self) -> None:
        """Guard against a disconnected caller keeping its queue place or its slot."""
        cfg = {"concurrent_per_instance": 1}
        async with self.running(Limits(concurrent=2), 1, ("r1",), **cfg):
            slot = await self.admit("r1")
            assert isinstance(slot, Slot)
            with trio.move_on_after(1):
                await self.admit("r1")
            gate = self.limiters["r1"].gates["yard-app"]
            self.assertEqual(len(gate.queue), 0)
            self.assertEqual(self.limiters["r1"].accounts()[0].n_running, 1)
            slot.release(0)
            self.assertIsInstance(await self.admit("r1"), Slot)
            self.assertEqual(gate.n_running, 1)

    async def test_refused_request_is_out_of_every_queue(self) -> None:
        cfg = {"concurrent_per_instance": 1}
        async with self.running(Limits(), 1, ("r1",), **cfg):
            slot = await self.admit("r1")
            late = await self.admit("r1", deadline=trio.current_time() + 1.0)
            assert isinstance(late, Refusal)
            self.assertEqual(late.code, ResultCode.DEADLINE_UNREACHABLE)
            gate = self.limiters["r1"].gates["yard-app"]
            self.assertEqual((len(gate.queue), gate.n_running), (0, 1))
            assert isinstance(slot, Slot)
            slot.release(0)
            self.assertEqual(gate.n_running, 0)

    async def test_engines_have_too_much_queued_for_a_deadline(self) -> None:
        """A request that cannot meet its deadline is refused, unless it is urgent.

        Urgent requests skip the engines' queues.
        """
        directory = a_directory(2)
        for engine in directory.instances("yard-app"):
            report = LoadReport(epoch=1, queued_prefill_s=20.0)
            directory.apply_report(engine.instance, report, trio.current_time())
        async with trio.open_nursery() as nursery:
            limiter = Limiter(
                InstanceId("r1"),
                FixedCatalogue(a_catalogue(an_account())),
                directory,
                FakeHub(nursery).join("r1"),
                estimate_s=directory.shortest_wait_s,
            )
            deadline = trio.current_time() + 5.0
            refusal = await limiter.admit(some_facts(deadline=deadline))
            assert isinstance(refusal, Refusal)
            self.assertEqual(refusal.code, ResultCode.DEADLINE_UNREACHABLE)
            self.assertAlmostEqual(refusal.retry_after_s, 15.0)
            urgent = some_facts(deadline=deadline, service_class=ServiceClass.URGENT)
            self.assertIsInstance(await limiter.admit(urgent), Slot)

    async def test_small_account_is_not_delayed_by_a_large_one(self) -> None:
        """Guard against a large account's queue delaying other accounts."""
        order: list[str] = []

        async def send_request(account: str, service_class: ServiceClass) -> None:
            slot = await self.admit(
                "r1", account=AccountId(account), service_class=service_class
            )
            assert isinstance(slot, Slot)
            order.append(account)
            await trio.sleep(0.05)
            slot.release(0)

        cfg = {"concurrent_per_instance": 1}
        async with self.running(Limits(), 1, ("r1",), **cfg):
            async with trio.open_nursery() as nursery:
                for _ in range(50):
                    nursery.start_soon(
                        send_request, "northwest-charcoal", ServiceClass.STANDARD
                    )
                await trio.sleep(0.01)
                nursery.start_soon(send_request, "small-shop", ServiceClass.STANDARD)
        self.assertLess(order.index("small-shop"), 4)
