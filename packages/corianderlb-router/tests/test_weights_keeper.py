"""Orders to engines: one holder, two loads at once, answers that get lost."""

from __future__ import annotations

import random

import trio
import trio.testing

from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import WeightsNews, WeightsWord
from corianderlb_core.settings import OrderSettings
from corianderlb_core.weights_roll import PATIENCE_S, EnginePhase
from corianderlb_router.engine_board import EngineBoard
from corianderlb_router.engine_orders import (
    EngineOrders,
    EngineReport,
    OrderAnswer,
    WeightsOrder,
)
from corianderlb_router.health_board import HealthBoard
from corianderlb_router.lease_duty import LeaseDuty
from corianderlb_router.lease_holder import LeaseHolder
from corianderlb_router.object_feed import FeedListing, NamedWeights
from corianderlb_router.store import StoredObject
from corianderlb_router.weights_keeper import WeightsKeeper
from corianderlb_standins.fake_network import FakeHub
from corianderlb_standins.fake_store import FakeStore
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import (
    CONFIGURATION,
    INSTANCES,
    MODEL,
    WEIGHTS,
    TableDecoder,
    a_configuration,
    a_state,
    an_instance,
)
from test_lease_duty import CutStore

TERMS = OrderSettings(lease_s=3.5, margin_s=0.5, send_s=0.5, flight_s=3.5)


class Engines(EngineOrders):
    """Load weights in 0.8 s; some orders get lost, late or never answered."""

    def __init__(self, nursery: trio.Nursery, *names: str) -> None:
        self._nursery = nursery
        self.versions = dict.fromkeys(names, 1)
        self.busy: set[str] = set()
        self.dead: set[str] = set()
        self.n_orders = dict.fromkeys(names, 0)
        self.tokens: list[int] = []
        self.holders: list[tuple[float, str]] = []
        self.most_at_once = 0
        self.lose_answers = 0
        self.load_s = 0.8

    async def report(self, engine: ForwardInstance) -> EngineReport | None:
        await trio.sleep(0.005)
        name = engine.instance
        if name in self.dead:
            return None
        version = {MODEL: self.versions[name]}
        return EngineReport(version, name in self.busy, self.n_orders[name])

    async def order(self, engine: ForwardInstance, order: WeightsOrder) -> OrderAnswer:
        await trio.sleep(0.005)
        name = engine.instance
        if self.tokens and order.token < max(self.tokens):
            return OrderAnswer.OUTDATED
        if name in self.busy or order.expected not in (None, self.n_orders[name]):
            return OrderAnswer.BUSY
        self.tokens.append(order.token)
        self.holders.append((trio.current_time(), order.holder))
        self.n_orders[name] += 1
        self._nursery.start_soon(self._load, name, order.version)
        if self.lose_answers:
            self.lose_answers -= 1
            await trio.sleep(0.5)
            return OrderAnswer.UNKNOWN
        return OrderAnswer.TAKEN

    async def _load(self, name: str, version: int) -> None:
        self.busy.add(name)
        self.most_at_once = max(self.most_at_once, len(self.busy - self.dead))
        await trio.sleep(self.load_s)
        self.busy.discard(name)
        if name not in self.dead:
            self.versions[name] = version


class CountingStore(FakeStore):
    """Count the looks at an object."""

    def __init__(self) -> None:
        super().__init__()
        self.n_gets = 0

    async def get(self, key: str) -> StoredObject | None:
        self.n_gets += 1
        return await super().get(key)


class Keeper:
    """Hold one router's keeper and its state."""

    def __init__(
        self,
        name: str,
        store,
        hub: FakeHub,
        engines: Engines,
        must_settle: bool = False,
    ) -> None:
        self.decoder = TableDecoder()
        self.state = a_state(self.decoder)
        peers = hub.join(name)
        board = EngineBoard(
            self.state, HealthBoard(random.Random(1)), peers, random.Random(1)
        )
        self.board = board
        lease = LeaseHolder(store, "weights", InstanceId(name), 0, TERMS)
        self.reaches_store = True
        self.duty = LeaseDuty(
            lease,
            name,
            peers,
            random.Random(name),
            lambda: self.reaches_store,
            lambda: len(hub.networks) - len(hub.dead),
            must_settle=must_settle,
        )
        self.keeper = WeightsKeeper(self.duty, name, self.state, board, engines)
        cfg = self.decoder.put(a_configuration(), "main", 10)
        self.state.apply_listing(CONFIGURATION, FeedListing((cfg,), 10))
        listed = tuple(
            self.decoder.put(an_instance(found, "llm"), found)
            for found in engines.versions
        )
        self.state.apply_listing(INSTANCES, FeedListing(listed, 20))

    def begin_run(self, name: str) -> None:
        """Have an engine run a request of this router that does not end."""
        view = self.board.view(self.state.instance(name), MODEL)
        view.pace.sent("run", 100, trio.current_time(), 100)
        view.pace.first_token("run", trio.current_time())

    def list_engine(self, name: str, version: int) -> None:
        """Have the store list an engine with newer weights."""
        engine = an_instance(name, "llm", weights=((MODEL, version),))
        stored = self.decoder.put(engine, name, 20 + version)
        self.state.apply_listing(INSTANCES, FeedListing((stored,), 20 + version))

    def name_weights(self, version: int) -> None:
        """Have the store name a version."""
        stored = self.decoder.put(NamedWeights(MODEL, version), MODEL, 20 + version)
        self.state.apply_listing(WEIGHTS, FeedListing((stored,), 20 + version))


class WeightsKeeperTest(TrioTestCase):
    def start(
        self, nursery: trio.Nursery, n_routers: int = 1, n_engines: int = 5
    ) -> list[Keeper]:
        """Start routers over one store and some engines."""
        self.engines = Engines(nursery, *(f"e{n}" for n in range(n_engines)))
        self.hub = FakeHub(nursery)
        self.store = store = CountingStore()
        keepers = [
            Keeper(f"r{n}", store, self.hub, self.engines) for n in range(n_routers)
        ]
        self.scopes = []
        for keeper in keepers:
            scope = trio.CancelScope()
            self.scopes.append(scope)
            nursery.start_soon(run_in, scope, keeper.keeper.run)
        return keepers

    async def test_all_engines_get_the_version_two_at_a_time(self) -> None:
        async with trio.open_nursery() as nursery:
            (keeper,) = self.start(nursery)
            await trio.sleep(1)
            keeper.name_weights(2)
            await trio.sleep(3.5)
            self.assertEqual(set(self.engines.versions.values()), {2})
            self.assertEqual(self.engines.most_at_once, 2)
            self.assertEqual(len(self.engines.tokens), 5)
            nursery.cancel_scope.cancel()

    async def test_order_without_an_answer_is_not_given_twice(self) -> None:
        # The engine takes an order and its answer is lost. Given again at once it
        # would load twice, and lose its cache and its place for nothing.
        async with trio.open_nursery() as nursery:
            (keeper,) = self.start(nursery)
            await trio.sleep(1)
            self.engines.lose_answers = 3
            keeper.name_weights(2)
            await trio.sleep(6)
            self.assertEqual(set(self.engines.versions.values()), {2})
            self.assertEqual(len(self.engines.tokens), 5)
            nursery.cancel_scope.cancel()

    async def test_engine_that_dies_while_it_loads_frees_its_place(self) -> None:
        # Two engines die in the middle of a load. The others must not wait for their
        # entries to lapse.
        async with trio.open_nursery() as nursery:
            (keeper,) = self.start(nursery)
            await trio.sleep(1)
            keeper.name_weights(2)
            await trio.sleep(0.3)
            self.engines.dead |= set(self.engines.busy)
            self.assertEqual(len(self.engines.dead), 2)
            await trio.sleep(4)
            alive = set(self.engines.versions) - self.engines.dead
            self.assertEqual({self.engines.versions[name] for name in alive}, {2})
            nursery.cancel_scope.cancel()

    async def test_successor_waits_out_the_lease(self) -> None:
        # The holder dies. Another router goes on, with a greater fencing token, and
        # never within a lease's time of the holder's last order.
        async with trio.open_nursery() as nursery:
            keepers = self.start(nursery, n_routers=2)
            await trio.sleep(6)
            for keeper in keepers:
                keeper.name_weights(2)
            await trio.sleep(0.5)
            first = self.engines.holders[0][1]
            self.scopes[int(first[1])].cancel()
            self.hub.dead.add(first)
            await trio.sleep(9)
            times = {holder: at for at, holder in reversed(self.engines.holders)}
            last_of_first = max(at for at, who in self.engines.holders if who == first)
            (second,) = set(times) - {first}
            self.assertGreaterEqual(times[second] - last_of_first, 3.0)
            self.assertEqual(set(self.engines.versions.values()), {2})
            self.assertEqual(self.engines.tokens, sorted(self.engines.tokens))
            nursery.cancel_scope.cancel()

    async def test_holder_that_froze_and_is_still_seen(self) -> None:
        # The holder's machine is suspended as weights are named; its connections stay
        # open, so the others still see it. Engines must not answer from the replaced
        # weights for longer than the lease and a few looks at it take.
        for seed in range(6):
            async with trio.open_nursery() as nursery:
                keepers = self.start(nursery, n_routers=3)
                await trio.sleep(20 + 0.7 * seed)
                holder = next(k for k in keepers if k.keeper.is_holder)
                self.scopes[keepers.index(holder)].cancel()
                for keeper in keepers:
                    keeper.name_weights(2)
                start = trio.current_time()
                while set(self.engines.versions.values()) != {2}:
                    await trio.sleep(0.05)
                # Three rounds of loads take 2.7 s of these.
                self.assertLess(trio.current_time() - start, 9.0)
                nursery.cancel_scope.cancel()

    async def test_leaving_holder_gives_the_lease_back(self) -> None:
        # Routers restart one after the other. If each successor waited out a lease,
        # nobody would give orders for most of that time.
        async with trio.open_nursery() as nursery:
            keepers = self.start(nursery, n_routers=2)
            await trio.sleep(6)
            holder = next(k for k in keepers if k.keeper.is_holder)
            other = next(k for k in keepers if k is not holder)
            await holder.keeper.release()
            self.hub.dead.add("r0" if holder is keepers[0] else "r1")
            await trio.sleep(2)
            self.assertTrue(other.keeper.is_holder)
            nursery.cancel_scope.cancel()

    async def test_patience_with_runs_counts_over_all_holders(self) -> None:
        """Guard against each new holder that waits for an engine's runs anew."""
        async with trio.open_nursery() as nursery:
            keepers = self.start(nursery, n_routers=3, n_engines=2)
            await trio.sleep(6)
            for keeper in keepers:
                nursery.start_soon(keeper.board.weights.run)
                keeper.begin_run("e1")
                keeper.name_weights(2)
            named_at = trio.current_time()
            for _ in range(2):
                await trio.sleep(PATIENCE_S / 2)
                self.assertFalse(self.engines.n_orders["e1"])
                holder = next(k for k in keepers if k.keeper.is_holder)
                await holder.keeper.release()
                self.hub.dead.add(f"r{keepers.index(holder)}")
            while not self.engines.n_orders["e1"]:
                await trio.sleep(0.05)
            self.assertLess(trio.current_time() - named_at, PATIENCE_S + 3.0)
            nursery.cancel_scope.cancel()

    async def test_load_that_waits_long_for_runs_to_end(self) -> None:
        """Guard against word of a load that lapses while the load goes on."""
        async with trio.open_nursery() as nursery:
            keepers = self.start(nursery, n_routers=2, n_engines=2)
            await trio.sleep(6)
            self.engines.load_s = 9.0
            for keeper in keepers:
                nursery.start_soon(keeper.board.weights.run)
                keeper.name_weights(2)
            while not self.engines.busy:
                await trio.sleep(0.05)
            name = min(self.engines.busy)
            for _ in range(85):
                await trio.sleep(0.1)
                for keeper in keepers:
                    engine = keeper.state.instance(name)
                    phase = keeper.board.weights.phase(engine)
                    self.assertIs(phase, EnginePhase.LOADING)
            nursery.cancel_scope.cancel()

    async def test_router_that_holds_the_lease_again(self) -> None:
        """Guard against phases of an engine that date from an earlier holding."""
        async with trio.open_nursery() as nursery:
            self.engines = Engines(nursery, "e0", "e1")
            hub, shared = FakeHub(nursery), FakeStore()
            stores = [CutStore(shared), CutStore(shared)]
            keepers = [
                Keeper(f"r{n}", store, hub, self.engines)
                for n, store in enumerate(stores)
            ]
            for keeper in keepers:
                nursery.start_soon(keeper.keeper.run)
                nursery.start_soon(keeper.board.weights.run)
            await trio.sleep(6)
            for keeper in keepers:
                keeper.begin_run("e1")
                keeper.name_weights(2)
            await trio.sleep(2)
            first = next(n for n in (0, 1) if keepers[n].keeper.is_holder)
            for n in (first, 1 - first):
                stores[n].is_cut = True
                while not keepers[1 - n].keeper.is_holder:
                    await trio.sleep(0.05)
                stores[n].is_cut = False
                if n == first:
                    while self.engines.versions["e1"] < 2:
                        await trio.sleep(0.05)
                    await trio.sleep(1)
                    for keeper in keepers:
                        keeper.name_weights(3)
            await trio.sleep(3)
            self.assertEqual(self.engines.versions, {"e0": 3, "e1": 2})
            self.assertEqual(self.engines.n_orders["e1"], 1)
            nursery.cancel_scope.cancel()

    async def test_standbys_of_a_large_fleet_look_no_more_often(self) -> None:
        # Thirty routers wait for the lease while engines have weights that were
        # replaced. Each look is a call to the store, which is paid by the call.
        async with trio.open_nursery() as nursery:
            keepers = self.start(nursery, n_routers=30)
            await trio.sleep(10)
            for engine in list(self.engines.versions):
                self.engines.dead.add(engine)
            for keeper in keepers:
                keeper.name_weights(2)
            await trio.sleep(5)
            n_before = self.store.n_gets
            await trio.sleep(20)
            self.assertLess(self.store.n_gets - n_before, 200)
            holder = next(k for k in keepers if k.keeper.is_holder)
            self.scopes[keepers.index(holder)].cancel()
            self.hub.dead.add(f"r{keepers.index(holder)}")
            await trio.sleep(6)
            live = [k for k in keepers if k is not holder]
            self.assertEqual(sum(k.keeper.is_holder for k in live), 1)
            nursery.cancel_scope.cancel()


class WeightsWordTest(TrioTestCase):
    async def test_words_on_two_engines_overtake_each_other(self) -> None:
        # Many engines load at once, and the holder's words reach a router over several
        # others. If an earlier word on another engine were dropped, the router would
        # keep away from an engine that has long finished its load.
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            keeper = Keeper("r1", FakeStore(), hub, Engines(nursery, "e1", "e2"))
            e1 = keeper.state.instance("e1")
            words = [
                WeightsWord("e1", 1, MODEL, 1, EnginePhase.LOADING, 10),
                WeightsWord("e2", 1, MODEL, 2, EnginePhase.SERVING, 12),
                WeightsWord("e1", 1, MODEL, 2, EnginePhase.SERVING, 11),
                WeightsWord("e1", 1, MODEL, 1, EnginePhase.LOADING, 10),
            ]
            for word in words:
                news = WeightsNews((word,))
                await keeper.board.weights.on_weights_news(InstanceId("r9"), news)
            self.assertIs(keeper.board.weights.phase(e1), EnginePhase.SERVING)
            self.assertEqual(keeper.board.view(e1, MODEL).weights_version, 2)

    async def test_word_that_lapsed_and_comes_again_moves_runs(self) -> None:
        # The holder is lost while an engine is being emptied, and its word lapses. An
        # answer begins there; the next holder goes on emptying it. The answer must
        # notice, or it keeps the engine from its load for as long as it lasts.
        async with trio.open_nursery() as nursery:
            keeper = Keeper("r1", FakeStore(), FakeHub(nursery), Engines(nursery, "e1"))
            e1 = keeper.state.instance("e1")
            weights = keeper.board.weights
            weights.set_phase(e1, EnginePhase.EMPTYING)
            await trio.sleep(10)
            self.assertIs(weights.phase(e1), EnginePhase.SERVING)
            nursery.start_soon(weights.wait_leaving, e1)
            await trio.sleep(1)
            weights.set_phase(e1, EnginePhase.EMPTYING)
            with trio.fail_after(1):
                await weights.wait_leaving(e1)
            await trio.testing.wait_all_tasks_blocked()
            self.assertFalse(nursery.child_tasks)

    async def test_word_of_a_load_that_is_over(self) -> None:
        """Guard against word of a load that lay in a buffer while the load ended."""
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            keeper = Keeper("r1", FakeStore(), hub, Engines(nursery, "e1"))
            word = WeightsWord("e1", 1, MODEL, 1, EnginePhase.LOADING, 10)
            news = WeightsNews((word,))
            await keeper.board.weights.on_weights_news(InstanceId("r9"), news)
            e1 = keeper.state.instance("e1")
            self.assertIs(keeper.board.weights.phase(e1), EnginePhase.LOADING)
            keeper.list_engine("e1", 2)
            e1 = keeper.state.instance("e1")
            self.assertIs(keeper.board.weights.phase(e1), EnginePhase.SERVING)


async def run_in(scope: trio.CancelScope, step) -> None:
    """Run a step until its scope is cancelled."""
    with scope:
        await step()
