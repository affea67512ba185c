"""Tells the peers of answers that ended without a mark, and hears of theirs.

An instance may end all its answers at one moment and live on. A router sees few of
them; with what its peers see it can tell whether an end coincides with others::

    announcements.record_end(instance, ended_at, is_marked=False, open_for_s=4.2)
    await trio.sleep(1.0)
    if announcements.coincides(instance, ended_at):
        ...  # The answer may be a part.

Nothing is sent of answers with a mark of their end.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import Final

import trio

from corianderlb_core.end_coincidence import EndCoincidence
from corianderlb_core.end_gossip import EndGossip
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import AnswerEndsUpdate
from corianderlb_core.part_gossip import engine_digest
from corianderlb_core.part_index import IncarnationKey

from .interface import PeerNetwork
from .pause_watch import PauseWatch
from .serving_state import ServingState

INTERVAL_S: Final = 0.2
"""Shortest interval between two updates. What is passed on takes two or three of them,
well within the time for which an end is held back."""


USUAL_SHARE: Final = 0.5
"""Share of marked ends above which an end without a mark is unusual."""

N_REMEMBERED: Final = 200
"""Ends of an upstream that count for that share, about."""


class MarkedShare:
    """Share of the answers of each upstream that have a mark of their end."""

    def __init__(self) -> None:
        self._n_all: Counter[str] = Counter()
        self._n_marked: Counter[str] = Counter()

    def record(self, upstream: str, is_marked: bool) -> None:
        """Record the end of an answer; older ones count less and less."""
        self._n_all[upstream] += 1
        self._n_marked[upstream] += is_marked
        if self._n_all[upstream] >= N_REMEMBERED:
            self._n_all[upstream] //= 2
            self._n_marked[upstream] //= 2

    def share(self, upstream: str) -> float:
        """Return the share; 0 for an upstream whose answers are not known."""
        return self._n_marked[upstream] / max(1, self._n_all[upstream])


class EndAnnouncements:
    """Ends of answers at all instances, as this router and its peers have seen them."""

    def __init__(
        self, state: ServingState, peers: PeerNetwork, rng: random.Random
    ) -> None:
        self._state = state
        self._peers = peers
        self._ends = EndCoincidence()
        self._gossip = EndGossip(self._ends, rng)
        self._marks = MarkedShare()
        self._pauses = PauseWatch()
        self._has_news = trio.Event()
        self._by_digest: dict[int, IncarnationKey] = {}
        self._digests_of_change = -1
        peers.subscribe(AnswerEndsUpdate, self.on_update)

    def record_end(
        self,
        instance: ForwardInstance,
        ended_at: float,
        is_marked: bool,
        open_for_s: float,
    ) -> None:
        """Record that an answer of an instance has ended, or was cut.

        A cut answer has no mark of its end; one that this router or its caller has
        ended isn't recorded. ``open_for_s`` is the time from the head of the answer to
        its end.
        """
        key = instance.incarnation_key
        self._gossip.record(key, ended_at, is_marked, open_for_s)
        self._wake()

    def record_framing(self, instance: ForwardInstance, has_mark: bool) -> None:
        """Record whether a whole answer had a mark of its end."""
        self._marks.record(instance.upstream, has_mark)

    def coincides(self, instance: ForwardInstance, ended_at: float) -> bool:
        """Return whether a recorded end came together with others beyond chance.

        Peers tell theirs within about half a second.
        """
        return self._ends.coincides(instance.incarnation_key, ended_at)

    def marks_ends(self, instance: ForwardInstance) -> bool:
        """Return whether answers of its upstream usually have a mark of their end."""
        return self._marks.share(instance.upstream) > USUAL_SHARE

    async def run(self) -> None:
        """Send updates until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pauses.run)
            while True:
                await self._has_news.wait()
                await trio.sleep(INTERVAL_S)
                packed = self._gossip.take(trio.current_time())
                if packed:
                    self._peers.broadcast(AnswerEndsUpdate(packed))
                if not self._gossip.has_news:
                    self._has_news = trio.Event()

    async def on_update(self, sender: InstanceId, update: AnswerEndsUpdate) -> None:
        """Record the ends that a peer tells, and pass some of them on.

        After a pause of this process the time at which an update arrived is not known,
        so that it can't be dated.
        """
        if self._pauses.has_just_resumed:
            return
        if self._digests_of_change != self._state.n_engine_changes:
            self._digests_of_change = self._state.n_engine_changes
            self._by_digest = {
                engine_digest(instance.incarnation_key): instance.incarnation_key
                for instance in self._state.all_instances()
            }
        self._gossip.hear(
            update.ends,
            self._by_digest,
            trio.current_time(),
            self._peers.n_members() - 1,
            self._peers.reach(),
        )
        self._wake()

    def _wake(self) -> None:
        if self._gossip.has_news:
            self._has_news.set()
