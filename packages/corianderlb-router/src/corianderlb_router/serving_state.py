"""What this router believes: the configuration, the instances, the named weights.

Everything comes from the store, by this router's own reading or by a peer's, and is
ordered by the store's revisions alone: whatever is older than what is known is
dropped, whoever brings it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

import eliot
import trio

from corianderlb_core.forwarding import ForwardConfiguration, ForwardInstance
from corianderlb_core.message import NamedAge, SharedObject
from corianderlb_core.named_versions import NamedVersions, Naming

from .object_feed import FeedChanges, FeedListing, StateDecoder

LAPSE_S: Final = 2.2
"""How long after the store's return a missing entry still counts. While the store was
away its entries lapsed; live instances write theirs again within two seconds."""

AWAY_S: Final = 0.3
"""A store that did not answer for less than this was not away: entries cannot have
lapsed meanwhile."""


STEADY_S: Final = 1.0
"""How long the store must have answered again to be relied on: twice the time after
which a call to it is given up."""


@dataclass
class Table:
    """Hold the objects of one kind."""

    kind: str
    objects: dict[str, SharedObject] = field(default_factory=dict)
    revision: int = 0
    """The store's revision up to which all changes are known."""
    changed_at: int = 0
    """The store's revision of the newest change."""
    read_at: float = float("-inf")
    """Router's clock up to which the store has told all of this kind."""
    confirmed_at: float = float("-inf")
    """The same, or when a peer that reads the store knew of nothing newer."""

    def confirm(self, as_of: float) -> None:
        """Take note that the store has told all of this kind up to a moment."""
        self.read_at = max(self.read_at, as_of)
        self.confirmed_at = max(self.confirmed_at, as_of)


class ServingState:
    """Hold the tables and what is decoded from them."""

    def __init__(
        self, decoder: StateDecoder, configuration: str, instances: str, weights: str
    ) -> None:
        self._decoder = decoder
        self.kinds: Final = (configuration, instances, weights)
        """The store's names of the three kinds."""
        self.tables: Final = {kind: Table(kind) for kind in self.kinds}
        self.configuration_kind: Final = configuration
        self.instances_kind: Final = instances
        self.weights_kind: Final = weights
        self.configuration: ForwardConfiguration | None = None
        """What is in force here."""
        self.configuration_since = 0.0
        """Router's clock when it came into force here."""
        self._instances: dict[str, ForwardInstance] = {}
        self._by_upstream: dict[str, list[ForwardInstance]] = {}
        self._leaving: dict[tuple[str, int], None] = {}
        self._named: dict[str, NamedVersions] = {}
        """By model."""
        self._named_news_at: dict[str, float] = {}
        """By model: when a version newer than those before became known here."""
        self._unchanged_at: float | None = None
        """While something is taken: when the store last showed here that it was not
        so; None when it has only just changed."""
        self._store_lost_at: float | None = None
        self._store_answered_at = float("-inf")
        self._store_back_at = float("-inf")
        self._first_listed_at: float | None = None
        """When this router first read the instances from the store."""
        self.changed = trio.Event()
        """Set, and replaced, at each change of anything."""

    @property
    def is_complete(self) -> bool:
        """Whether there is enough to serve: a configuration and a list of instances."""
        instances = self.tables[self.instances_kind]
        return self.configuration is not None and instances.revision > 0

    def is_confirmed(self, within_s: float) -> bool:
        """Return whether the store or a peer lately confirmed the configuration."""
        at = self.tables[self.configuration_kind].confirmed_at
        return trio.current_time() - at <= within_s

    def instances(self, upstream: str) -> Sequence[ForwardInstance]:
        """Return the instances of an upstream that may get new work."""
        return self._by_upstream.get(upstream, ())

    def instance(self, name: str) -> ForwardInstance | None:
        """Return an instance by its name, leaving ones included."""
        return self._instances.get(name)

    def may_take_work(self, instance: ForwardInstance) -> bool:
        """Return whether a life of an instance is still listed and not leaving."""
        known = self._instances.get(instance.instance)
        if known is None or known.life != instance.life or known.is_leaving:
            return False
        return instance.life not in self._leaving

    def newest_weights(self, model: str) -> int:
        """Return the newest version of a model; 0 when none was named."""
        named = self._named.get(model)
        return named.newest if named else 0

    def replaced_at(self, model: str, version: int) -> float:
        """Return when a version was replaced, by the router's clock.

        That is when the first newer one was named, or can have been named at the
        earliest while no router is known to have seen it. Infinite for the newest.
        """
        named = self._named.get(model)
        return named.replaced_at(version) if named else math.inf

    def mark_leaving(self, instance: ForwardInstance, reason: str) -> None:
        """Stop new work to a life of an instance before its entry says so."""
        if instance.life not in self._leaving:
            self._note_leaving(instance.life, reason)
            self._rebuild_instances()

    # How the store speaks, or does not.

    def store_lost(self, since: float) -> None:
        """Take note that the store has not answered since an answer was due."""
        if self._store_lost_at is None:
            self._store_lost_at = max(since, self._store_answered_at)
            eliot.log_message(message_type="store:lost")

    def store_answered(self) -> None:
        """Take note of an answer of the store."""
        now = self._store_answered_at = trio.current_time()
        if self._store_lost_at is None:
            return
        away_s = now - self._store_lost_at
        self._store_lost_at = None
        if away_s >= AWAY_S:
            self._store_back_at = now
        eliot.log_message(message_type="store:regained", away_s=round(away_s, 3))

    @property
    def is_store_lost(self) -> bool:
        """Whether the store did not answer the last call."""
        return self._store_lost_at is not None

    @property
    def reaches_store(self) -> bool:
        """Whether the store has answered for a while.

        Back for a moment only, it answers others soon as well, and nothing needs to be
        taken over from them.
        """
        now = trio.current_time()
        return self._store_lost_at is None and now - self._store_back_at >= STEADY_S

    @property
    def may_lack_lapsed(self) -> bool:
        """Whether entries may be missing that lapsed before this router started."""
        first_at = self._first_listed_at
        return first_at is not None and trio.current_time() - first_at < LAPSE_S

    @property
    def settles_at(self) -> float:
        """When entries that are missing after the store's return count as gone."""
        return self._store_back_at + LAPSE_S

    # What is told.

    def apply_listing(
        self, kind: str, listing: FeedListing, as_of: float | None = None
    ) -> None:
        """Take a whole list that this router read from the store.

        ``as_of`` is the moment up to which it tells all, now by default.
        """
        table = self.tables[kind]
        self._unchanged_at = table.read_at
        table.confirm(trio.current_time() if as_of is None else as_of)
        if kind == self.instances_kind and self._first_listed_at is None:
            self._first_listed_at = trio.current_time()
        if listing.revision < table.revision:
            return
        listed = {stored.name: stored for stored in listing.objects}
        missing = [name for name in table.objects if name not in listed]
        changed = [
            stored
            for stored in listing.objects
            if self._revision(table, stored.name) < stored.revision
        ]
        if kind == self.instances_kind and trio.current_time() < self.settles_at:
            missing = [name for name in missing if self._is_leaving(name)]
        self._apply(table, changed, missing, listing.revision)

    def apply_changes(
        self,
        kind: str,
        told: FeedChanges,
        as_of: float | None = None,
        unchanged_at: float | None = None,
    ) -> None:
        """Take what a watch of this router saw.

        ``as_of`` is the moment up to which it tells all, now by default;
        ``unchanged_at`` one at which nothing of it had happened yet, None when it has
        only just happened.
        """
        table = self.tables[kind]
        self._unchanged_at = unchanged_at
        table.confirm(trio.current_time() if as_of is None else as_of)
        changed: dict[str, SharedObject] = {}
        removed: dict[str, None] = {}
        for change in told.changes:
            name = change.object.name
            if change.removed:
                changed.pop(name, None)
                removed[name] = None
            elif self._revision(table, name) < change.object.revision:
                removed.pop(name, None)
                changed[name] = change.object
        gone = list(removed)
        if kind == self.instances_kind and trio.current_time() < self.settles_at:
            gone = [name for name in gone if self._is_leaving(name)]
        self._apply(table, list(changed.values()), gone, told.revision)

    def apply_peer(
        self,
        kind: str,
        revision: int,
        objects: Iterable[SharedObject],
        as_of: float | None = None,
    ) -> bool:
        """Take a peer's whole table if it is newer; return whether it was.

        ``as_of`` is when the peer is known to have had it confirmed, if at all.
        """
        table = self.tables.get(kind)
        if table is None or revision <= table.revision:
            return False
        told = {stored.name: stored for stored in objects}
        self._unchanged_at = table.read_at
        missing = [name for name in table.objects if name not in told]
        changed = [
            stored
            for stored in told.values()
            if self._revision(table, stored.name) < stored.revision
        ]
        self._apply(table, changed, missing, revision)
        if as_of is not None:
            self.confirm(kind, as_of)
        return True

    def confirm(self, kind: str, as_of: float) -> None:
        """Take note that a peer knew of nothing newer at a moment."""
        table = self.tables[kind]
        table.confirmed_at = max(table.confirmed_at, as_of)

    @staticmethod
    def _revision(table: Table, name: str) -> int:
        known = table.objects.get(name)
        return known.revision if known else 0

    def _is_leaving(self, name: str) -> bool:
        known = self._instances.get(name)
        return known is None or known.is_leaving

    def _apply(
        self,
        table: Table,
        changed: Sequence[SharedObject],
        removed: Sequence[str],
        revision: int,
    ) -> None:
        table.revision = max(table.revision, revision)
        removed = [name for name in removed if name in table.objects]
        if not changed and not removed:
            return
        for stored in changed:
            table.objects[stored.name] = stored
        for name in removed:
            del table.objects[name]
        newest = max((stored.revision for stored in changed), default=0)
        table.changed_at = max(table.changed_at, newest, revision if removed else 0)
        self._decode(table.kind, changed, removed)
        self.changed.set()
        self.changed = trio.Event()

    def _decode(
        self, kind: str, changed: Sequence[SharedObject], removed: Sequence[str]
    ) -> None:
        if kind == self.configuration_kind:
            for stored in changed:
                self._take_configuration(stored)
        elif kind == self.instances_kind:
            self._take_instances(changed, removed)
        else:
            for stored in changed:
                self._take_weights(stored)

    def _take_configuration(self, stored: SharedObject) -> None:
        decoded = self._decoder.configuration(stored)
        known = self.configuration
        if decoded is None or (known and decoded.revision <= known.revision):
            return
        self.configuration = decoded
        self.configuration_since = trio.current_time()
        eliot.log_message(
            message_type="configuration:in_force",
            version=decoded.version,
            revision=decoded.revision,
            n_routes=len(decoded.routes),
            n_accounts=len(decoded.accounts),
        )

    def _take_instances(
        self, changed: Sequence[SharedObject], removed: Sequence[str]
    ) -> None:
        for name in removed:
            known = self._instances.pop(name, None)
            if known is not None:
                eliot.log_message(message_type="upstream:removed", instance=name)
        for stored in changed:
            decoded = self._decoder.instance(stored)
            if decoded is None:
                self._instances.pop(stored.name, None)
                continue
            known = self._instances.get(stored.name)
            if known is None or known.life != decoded.life:
                eliot.log_message(
                    message_type="upstream:listed",
                    instance=decoded.instance,
                    upstream=decoded.upstream,
                    address=decoded.address,
                    born_ms=decoded.born_ms,
                )
            self._instances[stored.name] = decoded
            if decoded.is_leaving:
                self._note_leaving(decoded.life, "entry")
        self._rebuild_instances()

    def _note_leaving(self, life: tuple[str, int], reason: str) -> None:
        if life in self._leaving:
            return
        self._leaving[life] = None
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        eliot.log_message(
            message_type="upstream:leaving",
            instance=life[0],
            born_ms=life[1],
            reason=reason,
        )

    def _rebuild_instances(self) -> None:
        by_upstream: dict[str, list[ForwardInstance]] = {}
        for known in self._instances.values():
            # An older entry cannot bring back what has once said that it leaves.
            if not known.is_leaving and known.life not in self._leaving:
                by_upstream.setdefault(known.upstream, []).append(known)
        self._by_upstream = by_upstream

    def _take_weights(self, stored: SharedObject) -> None:
        decoded = self._decoder.weights(stored)
        if decoded is None or decoded.version <= self.newest_weights(decoded.model):
            return
        at, is_exact = self._unchanged_at, False
        if at is None:
            at, is_exact = trio.current_time(), True
        after = self.newest_weights(decoded.model)
        naming = Naming(decoded.version, at, after, is_exact)
        self._note_naming(decoded.model, naming, "store")

    def saw_weights(self, model: str, version: int) -> None:
        """Take note of a version that an engine has shown to have.

        It was named then. A router that missed the naming would else take engines that
        are behind for good as long as it hears of nothing newer.
        """
        newest = self.newest_weights(model)
        if version > newest:
            at = self.tables[self.weights_kind].read_at
            naming = Naming(version, at, newest, is_exact=False)
            self._note_naming(model, naming, "engine")

    def hear_named(self, told: Iterable[NamedAge], asked_at: float) -> None:
        """Take a peer's answer on how long ago versions were named."""
        for word in told:
            naming = Naming(word.version, asked_at - word.age_ms / 1000, word.after)
            self._note_naming(word.model, naming, "peer")

    def named_ages(self) -> tuple[NamedAge, ...]:
        """Return what peers may need to know of versions that were named of late."""
        now = trio.current_time()
        return tuple(
            NamedAge(
                model, naming.version, round((now - naming.at) * 1000), naming.after
            )
            for model, named in self._named.items()
            for naming in named.exact(now - TOLD_FOR_S)
        )

    def _note_naming(self, model: str, naming: Naming, source: str) -> None:
        named = self._named.setdefault(model, NamedVersions())
        was_exact = named.is_newest_exact
        is_news = naming.version > named.newest
        if not named.note(naming):
            return
        if is_news:
            self._named_news_at[model] = trio.current_time()
        if is_news or was_exact != named.is_newest_exact:
            age_s = trio.current_time() - naming.at
            eliot.log_message(
                message_type="weights:named",
                model=model,
                version=naming.version,
                source=source,
                age_ms=round(age_s * 1000) if math.isfinite(age_s) else None,
                exact=naming.is_exact,
            )

    @property
    def seeks_ages_for_s(self) -> float | None:
        """For how long peers may have known better how old replaced weights are.

        None when they cannot, or would have forgotten.
        """
        now = trio.current_time()
        for_s = [
            now - self._named_news_at[model]
            for model, named in self._named.items()
            if not named.is_newest_exact
        ]
        return min((found for found in for_s if found < TOLD_FOR_S), default=None)


TOLD_FOR_S: Final = 60.0
"""How long peers are told when a version was named: several times the longest bound on
answers from replaced weights."""

MAX_LEAVING: Final = 4096
"""Lives remembered as leaving; the oldest are long gone."""
