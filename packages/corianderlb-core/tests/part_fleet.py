"""Build fleets of routers that tell each other which engines read which parts."""

from __future__ import annotations

import random
from collections.abc import Iterable

from corianderlb_core.engine_choice import EngineView, choose_engine
from corianderlb_core.part_gossip import (
    PartGossip,
    engine_digest,
    pack,
    share_passed_on,
)
from corianderlb_core.part_index import PartIndex
from corianderlb_core.prefill_estimate import PrefillEstimator
from forward_data import a_prompt, a_query, an_instance

PART = ("part", 5_000)
READ_S = 0.1
"""Time that an engine takes to prefill the part."""

ENGINES = tuple(an_instance(f"e{n}", born_ms=n) for n in range(30))
DIGESTS = {engine_digest(x.incarnation_key): x.incarnation_key for x in ENGINES}


class PartRouter:
    """A router with its index and the routers that it is linked to."""

    def __init__(self, seed: int) -> None:
        self.name = f"router-{seed}"
        self.index = PartIndex()
        self.gossip = PartGossip(self.index, random.Random(seed))
        self.links: list[PartRouter] = []
        self.views = [EngineView(item, PrefillEstimator(64), 1) for item in ENGINES]


class PartFleet:
    """Routers that send updates at intervals, and what their engines hold."""

    def __init__(
        self,
        n_routers: int,
        n_links: int = 16,
        delay_s: float = 0.0,
        loss: float = 0.0,
        told: bool = True,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.told = told
        """Whether parts are told to the whole fleet, or to linked routers only."""
        self.interval_s = 0.012 * n_routers
        self.delay_s, self.loss = delay_s, loss
        self.routers = [PartRouter(seed + n) for n in range(n_routers)]
        for router in self.routers:
            for peer in self.rng.sample(self.routers, n_links // 2):
                if peer is not router and peer not in router.links:
                    router.links.append(peer)
                    peer.links.append(router)
        self.ready_at: dict[tuple[str, str], float] = {}
        """By address of the engine and part: when its prefill ends."""
        self.n_again = 0
        self.n_bytes = 0
        self._arrivals: list[tuple[float, PartRouter, bytes, str]] = []

    def ask(self, now: float, part: tuple[str, int] = PART) -> None:
        """Place a prompt with a part at a random router whose engines are all busy."""
        router = self.rng.choice(self.routers)
        for view in router.views:
            # Queues that are not those of the part's holder draw prompts elsewhere.
            view.estimator.peers.clear()
            view.estimator.sent("q", self.rng.randrange(20_000), now)
        query = a_query(
            a_prompt(part), now=now, objective_left_s=9, reads_once=self.told
        )
        choice = choose_engine(query, router.views, router.index, self.rng)
        assert choice is not None
        self._read(choice.view.instance.address, choice.fetch_from, part, now)
        incarnation = choice.view.instance.incarnation_key
        parts = query.prompt.shared_parts
        router.gossip.record_read(choice.scope, parts, incarnation, True)

    def _read(
        self, engine: str, source: str, part: tuple[str, int], now: float
    ) -> None:
        if (engine, part[0]) in self.ready_at:
            return
        if self.ready_at.get((source, part[0]), now + 1) <= now:
            self.ready_at[engine, part[0]] = now
            return
        if any(name == part[0] for _, name in self.ready_at):
            self.n_again += part[1]
        self.ready_at[engine, part[0]] = now + READ_S

    def tell(self, now: float, routers: Iterable[PartRouter] | None = None) -> None:
        """Let routers send their updates, and deliver what has arrived by now."""
        for router in self.routers if routers is None else routers:
            packed = pack(router.gossip.take())
            for peer in router.links:
                self.n_bytes += len(packed)
                if peer in self.routers and self.rng.random() >= self.loss:
                    arrival = (now + self.delay_s, peer, packed, router.name)
                    self._arrivals.append(arrival)
        due = [arrival for arrival in self._arrivals if arrival[0] <= now]
        self._arrivals = [item for item in self._arrivals if item[0] > now]
        for _, peer, packed, sender in due:
            n_others = len(self.routers) - 1
            reach = len(peer.links) / n_others if self.told else 1.0
            share = share_passed_on(n_others, reach)
            peer.gossip.hear(packed, DIGESTS, share, sender)

    def play(self, for_s: float, per_s: float) -> int:
        """Ask for the part at a steady rate; return the tokens prefilled again."""
        now, next_tell = 0.0, 0.0
        while now < for_s:
            now += 1 / per_s
            if now >= next_tell:
                self.tell(now)
                next_tell = now + self.interval_s
            self.ask(now)
        return self.n_again

    def part_in_two(self) -> None:
        """Cut the links between the first and the second half of the routers."""
        middle = len(self.routers) // 2
        for half in (self.routers[:middle], self.routers[middle:]):
            for router in half:
                router.links = [peer for peer in router.links if peer in half]

    def n_aware(self, part: int) -> int:
        """Return how many routers know a holder of a part, by its digest."""
        return sum(router.index.n_holders(part) > 0 for router in self.routers)
