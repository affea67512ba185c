"""Builders for routers that follow one in-memory store."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from corianderlb_core.message import SharedObject
from corianderlb_router.object_feed import (
    FeedChange,
    FeedChanges,
    FeedListing,
    HistoryGoneError,
    NamedWeights,
    ObjectFeed,
)
from corianderlb_router.serving_state import ServingState
from corianderlb_router.state_follower import StateFollower
from corianderlb_router.store import StoreUnavailableError
from corianderlb_standins.fake_network import FakeHub
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


class MemoryStore:
    """In-memory objects with revisions, shared by the feeds of several routers."""

    def __init__(self) -> None:
        self.revision = 1
        self.tables: dict[str, dict[str, SharedObject]] = {}
        self.history: list[tuple[str, FeedChange]] = []
        self.changed = trio.Event()

    def put(self, kind: str, name: str) -> SharedObject:
        """Write an object."""
        self.revision += 1
        stored = SharedObject(name, self.revision, b"")
        self.tables.setdefault(kind, {})[name] = stored
        self._record_change(kind, FeedChange(stored, False))
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        del self.tables[kind][name]
        gone = SharedObject(name, self.revision, b"")
        self._record_change(kind, FeedChange(gone, True))

    def forget_history(self) -> None:
        """Drop the history of changes so far."""
        self.history.clear()
        self.oldest = self.revision

    oldest = 0

    def _record_change(self, kind: str, change: FeedChange) -> None:
        self.history.append((kind, change))
        self.changed.set()
        self.changed = trio.Event()


class MemoryFeed(ObjectFeed):
    """Feed of one router from a ``MemoryStore``, with faults."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.is_away = False
        self.is_silent = False
        """Whether calls get no answer."""
        self.n_calls = 0
        self.held: trio.Event | None = None
        """Event that delays answers of watches until it is set; None for no delay."""
        self.before_empty_answer: Callable[[], None] | None = None
        """Called once before a watch of weights returns its empty answer."""
        self.weights_delay_s = 0.0
        """Seconds by which changes of weights are delayed for this router alone."""

    async def list(self, kind: str) -> FeedListing:
        await self._reach()
        objects = tuple(self._store.tables.get(kind, {}).values())
        return FeedListing(objects, self._store.revision)

    async def watch(self, kind: str, revision: int, wait_s: float) -> FeedChanges:
        await self._reach()
        if revision < self._store.oldest:
            raise HistoryGoneError("gone")
        with trio.move_on_after(wait_s):
            while not (found := self._since(kind, revision)):
                await self._store.changed.wait()
            revision_then = self._store.revision
            if kind == WEIGHTS and self.weights_delay_s:
                with trio.CancelScope(shield=True):
                    await trio.sleep(self.weights_delay_s)
                return FeedChanges(found, revision_then)
            await self._reach()
            return FeedChanges(found, revision_then)
        if self.is_silent:
            await trio.sleep_forever()
        update = FeedChanges(self._since(kind, revision), self._store.revision)
        if self.held is not None:
            await self.held.wait()
        if kind == WEIGHTS and self.before_empty_answer is not None:
            callback, self.before_empty_answer = self.before_empty_answer, None
            callback()
        return update

    def _since(self, kind: str, revision: int) -> tuple[FeedChange, ...]:
        return tuple(
            change
            for changed_kind, change in self._store.history
            if changed_kind == kind and change.object.revision > revision
        )

    async def _reach(self) -> None:
        self.n_calls += 1
        await trio.sleep(0.004)
        if self.is_silent:
            await trio.sleep_forever()
        if self.is_away:
            raise StoreUnavailableError("away")


class Router:
    """State, feed and follower of one router."""

    def __init__(
        self,
        name: str,
        store: MemoryStore,
        hub: FakeHub,
        decoder: TableDecoder,
        feed: type[MemoryFeed] = MemoryFeed,
    ) -> None:
        self.feed = feed(store)
        self.state: ServingState = a_state(decoder)
        rng = random.Random(name)
        self.follower = StateFollower(self.feed, self.state, hub.join(name), rng)

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self.state.configuration.version if self.state.configuration else 0


class StateCase(TrioTestCase):
    """Test case with routers that share one store."""

    def publish(self, version: int) -> None:
        """Write a configuration to the store."""
        stored = self.store.put(CONFIGURATION, "main")
        cfg = a_configuration(version=version, revision=stored.revision)
        self.decoder.table["main", stored.revision] = cfg

    def enter(self, name: str) -> None:
        """Write the entry of an instance to the store."""
        stored = self.store.put(INSTANCES, name)
        self.decoder.table[name, stored.revision] = an_instance(name, "app")

    def name_weights(self, version: int) -> None:
        """Publish a new weights version in the store."""
        stored = self.store.put(WEIGHTS, MODEL)
        self.decoder.table[MODEL, stored.revision] = NamedWeights(MODEL, version)

    def start(
        self,
        nursery: trio.Nursery,
        n_routers: int,
        instances: tuple[str, ...] = ("s1",),
    ) -> list[Router]:
        """Start routers over one store that holds version 1 and some instances."""
        self.store = MemoryStore()
        self.decoder = TableDecoder()
        self.publish(1)
        for name in instances:
            self.enter(name)
        self.hub = FakeHub(nursery)
        return [self.start_router(nursery, f"r{n}") for n in range(n_routers)]

    def start_router(
        self,
        nursery: trio.Nursery,
        name: str,
        feed: type[MemoryFeed] = MemoryFeed,
    ) -> Router:
        """Start another router, or a new incarnation of a stopped one."""
        router = Router(name, self.store, self.hub, self.decoder, feed)
        nursery.start_soon(router.follower.run)
        return router
