"""Interface to engines that copy the KV memory of runs to each other."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardInstance


class CopyOutcome(Enum):
    """Outcome of copying a run's memory."""

    COPIED = "copied"
    NO_RUN = "no_run"
    """The engine does not run the request, or not yet."""
    NO_CAPACITY = "no_room"
    """The target engine has no capacity or is unreachable."""
    UNKNOWN = "unknown"
    """No usable answer."""


@dataclass(frozen=True)
class MemoryCopy:
    """An engine's answer to a copy order."""

    outcome: CopyOutcome
    handle: str = ""
    """Id of the copy on the engine that made it; empty if there is none."""


class MemoryCopier(ABC):
    """Copies the memory of runs between engines."""

    @abstractmethod
    async def copy(
        self, engine: ForwardInstance, request_id: str, to: ForwardInstance
    ) -> MemoryCopy:
        """Copy the memory of a run while the run continues."""

    @abstractmethod
    async def drop(self, engine: ForwardInstance, handle: str) -> None:
        """Free a copy that is no longer needed."""
