"""Choice of the instance for a request: engines for prompts, services for calls."""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from dataclasses import replace
from typing import Final

import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.engine_choice import (
    DEFAULT_FETCH_S_PER_TOKEN,
    MAX_TTFT_SHARE,
    EngineChoice,
    EngineQuery,
    allowed_or_all,
)
from corianderlb_core.fair_room import RoomRefusal
from corianderlb_core.forwarding import (
    LOWEST_PRIORITY,
    ForwardAccount,
    ForwardConfiguration,
    ForwardInstance,
    ForwardRoute,
    Prompt,
)
from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.part_index import IncarnationKey
from corianderlb_core.prefill_estimate import OVERHEAD_S
from corianderlb_core.reading_once import applies, is_worth_saving
from corianderlb_core.room_share import RoomKey
from corianderlb_core.service_choice import ServiceLoad, choose_service

from .forward_parts import ForwardParts
from .forward_request import ForwardRequest, SendTerms, UpstreamHead
from .instance_paces import InstancePaces

WITHHELD: Final = "withheld"
"""Reason of ``NoPlacement`` if every instance has said that it takes nothing now."""

VERSION_GONE: Final = "version_gone"
"""Reason of ``NoPlacement`` if no instance has the software version of the stream."""

VERSION_RETRY_S: Final = 2.0
"""Retry-after time then: about what an instance that crashed takes to come back."""

WITHDRAW_MARGIN_S: Final = 0.5
"""Margin before the age limit of replaced weights at which a request is withdrawn. It
covers scheduling delays and the time that the close takes to arrive."""


@dataclass(frozen=True)
class Placement:
    """Instance chosen for one attempt, with the estimate that led to it."""

    instance: ForwardInstance
    estimate_s: float
    """Estimated time to the first byte of its answer."""
    choice: EngineChoice | None = None
    """Choice of the engine; None for a plain service."""
    save_to: str = ""
    """KV cache address where the engine saves the prompt's parts; empty for none."""
    continue_from: str = ""
    """Copy of the run's KV cache to continue from, as address/name; empty for none."""

    def continued(self, address: str, handle: str) -> Placement:
        """Return the placement of a run that continues from a copy of its KV cache."""
        return replace(self, continue_from=f"{address}/{handle}", save_to="")


@dataclass(frozen=True)
class NoPlacement:
    """Reason why no instance can take the request now."""

    reason: str
    retry_after_s: float
    """Estimated time until an instance can take it."""
    detail: str = ""
    """The deciding estimate, for the log."""
    spacing_s: float = 0.0
    """Time that the instances together take for a request: for an engine, its prefill
    time divided by the number of engines. It spaces the retries of refused callers."""


class Target(ABC):
    """Chooses instances for one request and is updated by its attempts."""

    def __init__(
        self,
        parts: ForwardParts,
        req: ForwardRequest,
        route: ForwardRoute,
        account: ForwardAccount | None,
    ) -> None:
        self.parts = parts
        self.req = req
        self.route = route
        self.account = account
        self.stream_key: bytes | None = None
        """Key of the stream; None for a request whose answer can't be resumed."""
        self.deadline = math.inf
        """Router's clock at which the caller stops waiting."""
        self._software_version: str | None = None

    @abstractmethod
    def choose(self, avoid: Collection[IncarnationKey], objective_left_s: float):
        """Return a ``Placement``, or ``NoPlacement`` with the reason."""

    def bind(self, version: str) -> None:
        """Allow only one software version from now on, since the stream has begun."""
        self._software_version = version

    @property
    def is_bound(self) -> bool:
        """Whether only one software version may go on."""
        return self._software_version is not None

    @property
    def software_version(self) -> str | None:
        """The only software version that may run the request; None for any.

        It can be corrected when an instance turns out to have restarted.
        """
        if self.is_bound and self.stream_key is not None:
            known = self.parts.origins.version_of(self.stream_key)
            if known is not None:
                self._software_version = known
        return self._software_version

    def may_run(self, instance: ForwardInstance) -> bool:
        """Return whether an instance has the software version of the stream."""
        version = self.software_version
        return version is None or self.parts.origins.runs_version(instance, version)

    def _other_versions(self, upstream: str) -> list[IncarnationKey]:
        """Return the instances that may not go on with the stream."""
        if not self.is_bound:
            return []
        return [
            instance.incarnation_key
            for instance in self.parts.state.instances(upstream)
            if not self.may_run(instance)
        ]

    def _gone(self, upstream: str) -> NoPlacement | None:
        """Return the reason if no instance has the software version of the stream."""
        version = self.software_version
        others = self.parts.state.instances(upstream)
        if version is None or not others:
            return None
        if any(instance.software_version == version for instance in others):
            return None
        return NoPlacement(VERSION_GONE, VERSION_RETRY_S, version)

    def fallback(self, placement: Placement) -> Placement | None:
        """Return a placement to move a run to, or None."""
        return None

    def may_take(self, placement: Placement) -> bool:
        """Return whether an instance still accepts new work."""
        instance = placement.instance
        return (
            self.may_run(instance)
            and self.parts.state.accepts_requests(instance)
            and self.parts.permits.may_send(instance)
        )

    def begin_before(self, placement: Placement) -> float:
        """Return the time by which an instance must begin the request.

        The time is on the router's clock. A request may miss it despite the estimate at
        sending, since the instance decides when the request begins.
        """
        return math.inf

    def terms(self, placement: Placement, left_s: float) -> SendTerms:
        """Return what the router adds to the request for one attempt."""
        account = self.account.name if self.account else ""
        return SendTerms(placement.instance.instance, left_s, account)

    @property
    def _paces(self) -> InstancePaces:
        return self.parts.engines.paces

    @abstractmethod
    def _capacity_s(self, placement: Placement) -> float:
        """Return for how long the request takes all that the instance can do."""

    def sent(self, key: str, placement: Placement) -> None:
        """Record that an attempt is sent."""
        self._paces.sent(
            placement.instance,
            key,
            self._capacity_s(placement),
            placement.estimate_s,
            self.route.objective_s,
        )

    def first_byte(self, key: str, placement: Placement, seconds: float) -> None:
        """Record the first byte of an answer's body."""
        self._paces.answered(placement.instance, key)

    def head(self, key: str, placement: Placement, head: UpstreamHead) -> None:
        """Record the head of an answer."""
        if head.not_run and not head.is_misdirected:
            self._paces.refused(placement.instance, key)

    def reported(self, placement: Placement, load: InstanceLoadReport | None) -> None:
        """Record the load that the instance reports in the head of an answer."""
        if load is not None:
            self._paces.reported(placement.instance, load)

    def unreached(self, placement: Placement) -> None:
        """Record that a connection to the instance failed."""

    def crashed(self, placement: Placement) -> None:
        """Record that the instance refuses connections after one to it broke."""

    def ended(self, key: str, placement: Placement, has_first_token: bool) -> None:
        """Record that an attempt has ended."""
        self._paces.ended(placement.instance, key)

    def _withheld(self, upstream: str) -> NoPlacement | None:
        """Return the reason if no instance takes a request now, by their own word."""
        found = self.parts.permits.withheld(self.parts.state.instances(upstream))
        if found is None:
            return None
        return NoPlacement(WITHHELD, found.wait_s, found.detail, found.spacing_s)


def pick_upstream(route: ForwardRoute, rng: random.Random) -> str:
    """Return a random upstream of a route, weighted by its shares."""
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].upstream


class ServiceTarget(Target):
    """Chooses among the instances of a plain service."""

    FAILURE_WEIGHT: Final = 0.5
    """Waiting time that a failure rate of 1 adds, as a share of the objective; accounts
    for the retry after a failure."""

    def __init__(self, *args, upstream: str) -> None:
        super().__init__(*args)
        self.upstream = upstream

    def choose(
        self, avoid: Collection[IncarnationKey], objective_left_s: float
    ) -> Placement | NoPlacement:
        """Return the instance with the lowest cost.

        The cost is the estimated time to answer plus penalties for another availability
        zone and for recent failures.
        """
        parts = self.parts
        now = trio.current_time()
        avoid = {*avoid, *self._other_versions(self.upstream)}
        known = [
            instance
            for instance in parts.state.instances(self.upstream)
            if instance.incarnation_key not in avoid
            and parts.permits.may_send(instance)
        ]
        if not known:
            no_instance = NoPlacement("no_instance", NO_INSTANCE_RETRY_S)
            withheld = self._withheld(self.upstream)
            return self._gone(self.upstream) or withheld or no_instance
        known = allowed_or_all(
            known, lambda item: parts.health.may_send(item.incarnation_key)
        )
        waiting = self._paces.without_turn(known, lambda item: item, self.upstream)
        known = [item for item in known if item not in waiting]
        loads = [
            (item, parts.service(item.incarnation_key, item.slots)) for item in known
        ]
        chosen = choose_service(
            loads,
            parts.cfg.zone,
            parts.cfg.zone_penalty_s,
            now,
            parts.rng,
            lambda item: (
                parts.health.failure_rate(item.incarnation_key)
                * self.FAILURE_WEIGHT
                * self.route.objective_s
            ),
        )
        assert chosen is not None
        wait_s = parts.service(chosen.incarnation_key, chosen.slots).wait_s(now)
        late = self._late(loads, now)
        if late is not None:
            return late
        return Placement(chosen, wait_s)

    def _late(
        self, loads: Sequence[tuple[ForwardInstance, ServiceLoad]], now: float
    ) -> NoPlacement | None:
        """Return the reason if no instance can answer before the caller leaves.

        Only instances that report how long work takes are held to it.
        """
        if not all(load.reported.has_slowdown for _, load in loads):
            return None
        left_s = self.deadline - now
        wait_s = min(load.wait_s(now) for _, load in loads)
        if wait_s <= left_s:
            return None
        n_slots = sum(max(1, load.slots) for _, load in loads)
        latency_s = sum(load.latency_s for _, load in loads) / len(loads)
        detail = f"answered in {wait_s * 1000:.0f} ms, {left_s * 1000:.0f} ms left"
        return NoPlacement("queue", wait_s, detail, latency_s / n_slots)

    def sent(self, key: str, placement: Placement) -> None:
        """Count the call as in flight."""
        super().sent(key, placement)
        self._load(placement).started()

    def first_byte(self, key: str, placement: Placement, seconds: float) -> None:
        """Update the latency estimate of the instance."""
        super().first_byte(key, placement, seconds)
        self._load(placement).answered(seconds, trio.current_time())

    def reported(self, placement: Placement, load: InstanceLoadReport | None) -> None:
        """Record the load that the instance reports in the head of an answer."""
        super().reported(placement, load)
        if load is not None:
            # The load shares what was reported with the table of engines.
            self._load(placement).record_report(load, trio.current_time())
            self.parts.engines.announce_report(placement.instance, load)

    def ended(self, key: str, placement: Placement, has_first_token: bool) -> None:
        """Remove the call from the calls in flight."""
        super().ended(key, placement, has_first_token)
        self._load(placement).ended()

    def unreached(self, placement: Placement) -> None:
        """Pace the instance when it is back."""
        self._paces.found_down(placement.instance)

    def _capacity_s(self, placement: Placement) -> float:
        return self._load(placement).latency_s / placement.instance.slots

    def _load(self, placement: Placement):
        instance = placement.instance
        return self.parts.service(instance.incarnation_key, instance.slots)


class EngineTarget(Target):
    """Chooses among engines by cached parts and estimated time to the first token."""

    def __init__(self, *args, upstream: str, prompt: Prompt) -> None:
        super().__init__(*args)
        self.upstream = upstream
        self.prompt = prompt
        self._part_ids = [part.part_id for part in prompt.shared_parts]
        self._due_s = math.inf
        """Time from its sending at which the first token of an attempt is due."""
        self._is_admitted = False
        self._has_sent = False

    def choose(
        self, avoid: Collection[IncarnationKey], objective_left_s: float
    ) -> Placement | NoPlacement:
        """Return the engine with the earliest first token, if within the objective."""
        query = self._query(objective_left_s)
        if query is None:
            return NoPlacement("no_configuration", NO_INSTANCE_RETRY_S)
        avoid = (*avoid, *self._other_versions(self.upstream))
        choice = self.parts.engines.choose(query, self.upstream, avoid)
        if choice is None:
            no_engine = NoPlacement("no_engine", NO_INSTANCE_RETRY_S)
            withheld = self._withheld(self.upstream)
            return self._gone(self.upstream) or withheld or no_engine
        if not choice.has_room:
            detail = f"{choice.n_held} tokens have no room at any engine"
            spacing_s = self.parts.engines.spacing_s(choice, self.upstream)
            return NoPlacement("queue", choice.wait_s, detail, spacing_s)
        self._due_s = MAX_TTFT_SHARE * objective_left_s
        if not choice.in_time and not self._is_rated:
            detail = (
                f"{choice.view.instance.instance} would start in "
                f"{choice.wait_s * 1000:.0f} ms, {objective_left_s * 1000:.0f} ms left"
            )
            spacing_s = self.parts.engines.spacing_s(choice, self.upstream)
            return NoPlacement("queue", choice.wait_s, detail, spacing_s)
        save_to = query.kv_cache_address if self._is_worth_saving(choice) else ""
        return Placement(
            choice.view.instance, choice.estimated_ttft_s, choice, save_to=save_to
        )

    @property
    def room_key(self) -> RoomKey:
        """Whose room the request uses: its priority and its account."""
        account = self.account
        priority = self.route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        name = account.name if account is not None else ""
        return RoomKey(min(LOWEST_PRIORITY, priority), name)

    async def enter_room(self, limit_s: float) -> None:
        """Wait for the request's turn; raise ``RoomFullError`` if it is too far off."""
        rooms = self.parts.rooms
        if rooms.is_enabled and not self._is_admitted:
            await rooms.enter(
                self.upstream, self.room_key, self.prompt, limit_s, self._begins_now
            )
            self._is_admitted = True

    def _begins_now(self) -> bool:
        """Return whether an engine with a free place is estimated to begin in time."""
        query = self._query(self.route.objective_s)
        if query is None:
            return False
        choice = self.parts.engines.choose(query, self.upstream, ())
        if choice is None or not choice.in_time or not choice.has_room:
            return False
        n_requests = choice.view.estimator.n_reported_requests(query.now)
        return n_requests < choice.view.instance.slots

    def turn_away(self) -> RoomRefusal | None:
        """Record that no engine can begin the request in time."""
        if not self._is_admitted:
            return None
        self._is_admitted = False
        return self.parts.rooms.turn_away(self.upstream, self.room_key, self.prompt)

    @property
    def _is_rated(self) -> bool:
        """Whether the room's rate takes the place of the estimated wait.

        The estimate rests on reports that are older than urgent objectives.
        """
        return self._is_admitted and self.parts.rooms.is_rated(self.upstream)

    def fallback(self, placement: Placement) -> Placement | None:
        """Return the engine of the same weights version with the fewest requests."""
        if not self._can_copy_runs:
            return None
        choice = placement.choice
        assert choice is not None
        view = self.parts.engines.fallback(
            choice.view,
            self.upstream,
            self.prompt.model,
            self.parts.cfg.weights_limit_s,
        )
        if view is None:
            return None
        moved = replace(choice, view=view, n_missing=0, fetch_from="", wait_s=0.0)
        return Placement(view.instance, OVERHEAD_S, moved)

    def may_take(self, placement: Placement) -> bool:
        """Return whether an engine accepts new work and can begin it in time."""
        left_s = self.begin_before(placement) - WITHDRAW_MARGIN_S - trio.current_time()
        return left_s > OVERHEAD_S and super().may_take(placement)

    def begin_before(self, placement: Placement) -> float:
        """Return when the engine's weights version exceeds its age limit."""
        choice, limit_s = placement.choice, self.parts.cfg.weights_limit_s
        assert choice is not None
        if math.isinf(limit_s):
            return math.inf
        version = choice.view.weights_version
        return self.parts.state.replaced_at(self.prompt.model, version) + limit_s

    @property
    def _can_copy_runs(self) -> bool:
        cfg = self.parts.state.configuration
        upstream = cfg.upstream(self.upstream) if cfg else None
        engine = upstream.engine if upstream else None
        return engine is not None and engine.can_copy_runs

    def _is_worth_saving(self, choice: EngineChoice) -> bool:
        """Return whether to save the prompt's shared parts to the KV cache store.

        Parts are saved unless they are known to be stored already. On a busy day,
        136,000 tokens were prefilled again, against 204,000 when prompts with many
        tokens of their own were not saved, and 316,000 without saving.
        """
        if not self._part_ids:
            return False
        if choice.told_parts and not is_worth_saving(self.prompt, choice.is_held_whole):
            return False
        implies_earlier = bool(choice.told_parts)
        index = self.parts.engines.index
        return not index.is_saved(choice.scope, self._part_ids, implies_earlier)

    def terms(self, placement: Placement, left_s: float) -> SendTerms:
        """Return what the router adds to the request for one attempt."""
        choice = placement.choice
        assert choice is not None
        account = self.account
        return SendTerms(
            instance=placement.instance.instance,
            deadline_s=left_s,
            account=account.name if account else "",
            cache_scope=choice.scope,
            weights_version=choice.view.weights_version,
            fetch_from="" if placement.continue_from else choice.fetch_from,
            save_to=placement.save_to,
            continue_from=placement.continue_from,
            priority=self.room_key.urgency,
        )

    def sent(self, key: str, placement: Placement) -> None:
        """Count the prompt's tokens as in flight."""
        super().sent(key, placement)
        choice = placement.choice
        assert choice is not None
        self._has_sent = True
        self.parts.engines.sent(key, choice, self._part_ids)
        self.parts.rooms.sent(
            self.upstream,
            key,
            placement.instance.incarnation_key,
            choice.n_missing,
            self.prompt,
            self.route.objective_s,
            self._due_s,
        )
        self.parts.metrics.prompt_sent(choice.n_missing, self.prompt.n_prompt)

    def first_byte(self, key: str, placement: Placement, seconds: float) -> None:
        """Record that the prefill is complete."""
        super().first_byte(key, placement, seconds)
        assert placement.choice is not None
        saved = bool(placement.save_to)
        self.parts.rooms.first_token(self.upstream, key)
        self.parts.engines.first_token(key, placement.choice, self._part_ids, saved)

    def head(self, key: str, placement: Placement, head: UpstreamHead) -> None:
        """Record the engine's weights version and whether it refused the request."""
        super().head(key, placement, head)
        engines = self.parts.engines
        if head.weights_version:
            model = self.prompt.model
            engines.weights.learn(placement.instance, model, head.weights_version)
        if head.not_run or head.is_misdirected:
            engines.refused(placement.instance)

    def reported(self, placement: Placement, load: InstanceLoadReport | None) -> None:
        """Record the load that the engine reports in the head of an answer."""
        super().reported(placement, load)
        if load is not None:
            self.parts.engines.record_report(placement.instance, load)

    def ended(self, key: str, placement: Placement, has_first_token: bool) -> None:
        """Remove the prompt's tokens from those in flight."""
        super().ended(key, placement, has_first_token)
        assert placement.choice is not None
        self.parts.rooms.ended(self.upstream, key)
        self.parts.engines.ended(key, placement.choice, self._part_ids, has_first_token)

    def unreached(self, placement: Placement) -> None:
        """Back off from the engine, and announce to peers that it is unreachable."""
        self.parts.engines.unreached(placement.instance)

    def crashed(self, placement: Placement) -> None:
        """Avoid the engine."""
        self.parts.engines.crashed(placement.instance)

    def _capacity_s(self, placement: Placement) -> float:
        choice = placement.choice
        assert choice is not None
        return choice.view.estimator.prefill_time_s(choice.n_missing)

    def _leaves_places(self, cfg: ForwardConfiguration) -> bool:
        """Return whether some places are left to more urgent requests.

        Not by one that has been sent or has begun, since a refusal would lose it. The
        account's priority goes before the route's, but may be the same for all.
        """
        priority = min(self.room_key.urgency, self.route.priority)
        return (
            self.parts.cfg.urgent_places
            and not self._has_sent
            and self.req.resume_after is None
            and priority > cfg.most_urgent(self.upstream)
        )

    def _query(self, objective_left_s: float) -> EngineQuery | None:
        cfg = self.parts.state.configuration
        upstream = cfg.upstream(self.upstream) if cfg else None
        if cfg is None or upstream is None or upstream.engine is None:
            return None
        kv_cache = cfg.kv_cache(self._part_ids[-1]) if self._part_ids else None
        account, rooms = self.account, self.parts.rooms
        now = trio.current_time()
        return EngineQuery(
            prompt=self.prompt,
            isolation_key=account.name if account and account.is_isolated else "",
            weights_limit_s=self.parts.cfg.weights_limit_s,
            objective_left_s=objective_left_s,
            kv_capacity=upstream.engine.kv_capacity_tokens,
            kv_cache_address=kv_cache.kv_cache_address if kv_cache else "",
            kv_cache_zone=kv_cache.zone if kv_cache else "",
            transfer_s_per_token=upstream.engine.transfer_s_per_token
            or DEFAULT_FETCH_S_PER_TOKEN,
            reads_once=applies(upstream.engine),
            zone=self.parts.cfg.zone,
            now=now,
            own_share=rooms.own_share(self.upstream) if self._is_rated else 0.0,
            leaves_places=self._leaves_places(cfg),
        )


NO_INSTANCE_RETRY_S: Final = 0.5
"""Retry-after time when no instance is available; allows for a weights load or the next
heartbeat."""
