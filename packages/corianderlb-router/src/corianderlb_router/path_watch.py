"""Watch the direct paths to upstream instances, and ask those that are in doubt."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import eliot
import trio

from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.instance_paths import InstancePaths
from corianderlb_core.part_index import IncarnationKey

from .send_permits import SendPermits
from .serving_state import ServingState

PROBE_INTERVAL_S: Final = 0.5
"""Interval between two probes of an instance in doubt."""

PROBE_TIMEOUT_S: Final = 0.3
"""Timeout of a probe: well above the latency between availability zones."""

MAX_PROBES: Final = 16
"""Maximum number of concurrent probes."""

STEADY_S: Final = 0.5
"""Time for which a router must be cut off until it hands over duties: a probe that
is answered shows earlier that it is not."""


class InstanceProbe(ABC):
    """Asks an instance about itself, on a new connection."""

    @abstractmethod
    async def answers(self, instance: ForwardInstance) -> bool:
        """Return whether an instance answers at all."""

    @abstractmethod
    async def born_ms(self, instance: ForwardInstance) -> int:
        """Return the start of the process that answers at an instance's address.

        It is in Unix milliseconds; 0 if none answers or tells it, and -1 if the process
        says that it is another instance.
        """

    def tells_start(self, instance: ForwardInstance) -> bool:
        """Return whether ``born_ms`` can tell the start of an instance."""
        return True


class PathWatch:
    """Direct paths of one router; without a probe only requests prove them."""

    def __init__(
        self,
        state: ServingState,
        permits: SendPermits,
        probe: InstanceProbe | None = None,
    ) -> None:
        self._state = state
        self._permits = permits
        self._probe = probe
        self._paths = InstancePaths()
        self._probed_at: dict[IncarnationKey, float] = {}
        self._questioned: dict[IncarnationKey, None] = {}
        """Instances to probe although they are not in doubt, in order."""
        self._cut_off_since: float | None = None
        self._must_look = trio.Event()

    # What attempts report.

    def failed(self, instance: ForwardInstance, since: float, reason: str) -> None:
        """Record that an instance has not answered a direct exchange ``since``."""
        if not self._paths.failed(instance.incarnation_key, since, trio.current_time()):
            return
        eliot.log_message(
            message_type="path:doubted",
            instance=instance.instance,
            born_ms=instance.born_ms,
            reason=reason,
        )
        self._must_look.set()

    def found_down(self, instance: ForwardInstance) -> None:
        """Record that peers do not reach an instance either."""
        self._paths.found_down(instance.incarnation_key, trio.current_time())

    def answered(self, instance: ForwardInstance, sent_at: float) -> None:
        """Record the answer to a direct exchange that began at ``sent_at``."""
        if self._paths.answered(instance.incarnation_key, sent_at):
            eliot.log_message(
                message_type="path:answers",
                instance=instance.instance,
                born_ms=instance.born_ms,
            )
            self._must_look.set()

    def record_report(
        self, instance: ForwardInstance, has_answered: bool, sent_at: float
    ) -> None:
        """Record whether an instance answered a call that began at ``sent_at``."""
        if has_answered:
            self.answered(instance, sent_at)
        else:
            self.failed(instance, sent_at, "a call was not answered")

    def question(self, instance: ForwardInstance) -> None:
        """Probe an instance that is silent for longer than expected."""
        if self._probe is not None and self._is_probe_due(instance.incarnation_key):
            self._questioned[instance.incarnation_key] = None
            self._must_look.set()

    # What they ask.

    def is_cut(self, instance: ForwardInstance) -> bool:
        """Return whether an instance is to be reached through another router."""
        return self._paths.is_cut(instance.incarnation_key, trio.current_time())

    @property
    def is_cut_off(self) -> bool:
        """Whether this router reaches no instance directly, as far as known."""
        return self._paths.is_cut_off(trio.current_time())

    @property
    def is_steadily_cut_off(self) -> bool:
        """Whether that has lasted for longer than a passing failure."""
        since = self._cut_off_since
        return (
            self.is_cut_off
            and since is not None
            and trio.current_time() - since >= STEADY_S
        )

    @property
    def n_doubted(self) -> int:
        """Number of instances in doubt, once there are several."""
        return len(self._paths.doubted(trio.current_time()))

    # Probes.

    async def run(self) -> None:
        """Probe instances in doubt until cancelled."""
        async with trio.open_nursery() as nursery:
            limiter = trio.CapacityLimiter(MAX_PROBES)
            while True:
                self._must_look = trio.Event()
                self._forget_unlisted()
                for instance in self._due():
                    self._probed_at[instance.incarnation_key] = trio.current_time()
                    nursery.start_soon(self._ask, instance, limiter)
                if not self.is_cut_off:
                    self._cut_off_since = None
                elif self._cut_off_since is None:
                    self._cut_off_since = trio.current_time()
                with trio.move_on_after(PROBE_INTERVAL_S):
                    await self._must_look.wait()

    def _forget_unlisted(self) -> None:
        if not self._probed_at and not self._paths.doubted(trio.current_time()):
            return
        listed = {item.incarnation_key for item in self._state.all_instances()}
        self._paths.keep(listed)
        for key in [key for key in self._probed_at if key not in listed]:
            del self._probed_at[key]

    def _due(self) -> list[ForwardInstance]:
        if self._probe is None:
            return []
        keys = {**self._questioned}
        self._questioned.clear()
        keys.update(dict.fromkeys(self._paths.doubted(trio.current_time())))
        if self.is_cut_off:
            # Any answer shows that the paths are not cut.
            others = self._state.all_instances()
            sample = list(others)[:MAX_PROBES]
            keys.update(dict.fromkeys(item.incarnation_key for item in sample))
        known = (self._state.instance(name) for name, _ in keys)
        return [
            instance
            for instance in known
            if instance is not None
            and instance.incarnation_key in keys
            and self._is_probe_due(instance.incarnation_key)
        ]

    def _is_probe_due(self, key: IncarnationKey) -> bool:
        probed_at = self._probed_at.get(key)
        now = trio.current_time()
        return probed_at is None or now - probed_at >= 0.9 * PROBE_INTERVAL_S

    async def _ask(
        self, instance: ForwardInstance, limiter: trio.CapacityLimiter
    ) -> None:
        assert self._probe is not None
        async with limiter:
            if not self._permits.take(instance):
                return
            sent_at = trio.current_time()
            answers = False
            try:
                with trio.move_on_after(PROBE_TIMEOUT_S):
                    answers = await self._probe.answers(instance)
            finally:
                self._permits.settle(instance, turned_away=False)
        self.record_report(instance, answers, sent_at)
