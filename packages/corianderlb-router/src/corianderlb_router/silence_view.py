"""What a router hears of an upstream's instances while one of them is silent.

Silence that many instances share says little of a single one: they may all stand still
for a moment, or the router may. Another instance reads the prompt again, so a stream is
moved only to one that is better off.
"""

from __future__ import annotations

import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.part_index import IncarnationKey

from .forward_parts import ForwardParts
from .health_table import LONG_SILENCE_S, STANDSTILL_S


@dataclass(frozen=True)
class SilenceView:
    """Instances of an upstream, except a silent one, by what is heard of them."""

    heard: frozenset[IncarnationKey]
    silent: frozenset[IncarnationKey]
    """Instances that stand still with answers of this router, or did until just now."""
    unknown: frozenset[IncarnationKey]
    """Instances that owe this router nothing, with no recent report."""

    @property
    def is_shared(self) -> bool:
        """Whether more instances are silent than heard."""
        return len(self.silent) > len(self.heard)

    def may_replace(self, n_standbys: int, silent_s: float) -> bool:
        """Return whether one more attempt may stand by for a silent one.

        While most instances are silent, the few others must not get all the streams.
        """
        if not self.is_shared or silent_s >= LONG_SILENCE_S:
            return True
        return n_standbys < len(self.heard)

    def unfit(self, silent_s: float) -> frozenset[IncarnationKey]:
        """Return the instances that may not take over after ``silent_s`` of silence."""
        if self.is_shared and silent_s < LONG_SILENCE_S:
            return self.silent | self.unknown
        return self.silent


def view_silence(
    parts: ForwardParts, upstream: str, silent: ForwardInstance
) -> SilenceView:
    """Return what is heard of the instances of an upstream except a silent one."""
    parts.engines.merge_reports()
    moment = trio.current_time() - STANDSTILL_S
    found: tuple[list[IncarnationKey], ...] = ([], [], [])
    heard, silent_too, unknown = found
    for instance in parts.state.instances(upstream):
        key = instance.incarnation_key
        if key == silent.incarnation_key:
            continue
        if parts.health.resumed_since(key, moment):
            silent_too.append(key)
        elif parts.engines.is_heard_since(instance, moment):
            heard.append(key)
        elif parts.health.has_begun(key):
            silent_too.append(key)
        else:
            unknown.append(key)
    return SilenceView(*map(frozenset, found))
