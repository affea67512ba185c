"""The seam to a store whose objects are listed once and then watched."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from corianderlb_core.forwarding import ForwardConfiguration, ForwardInstance
from corianderlb_core.message import SharedObject

from .store import StoreError


class HistoryGoneError(StoreError):
    """Signal a watch from a revision that the store no longer has; list again."""


@dataclass(frozen=True)
class FeedListing:
    """Hold all objects of a kind as of a revision of the store."""

    objects: tuple[SharedObject, ...]
    revision: int


@dataclass(frozen=True)
class FeedChange:
    """Hold one change: the new object, or that it was removed."""

    object: SharedObject
    removed: bool


@dataclass(frozen=True)
class FeedChanges:
    """Hold the changes that a watch saw, oldest first."""

    changes: tuple[FeedChange, ...]
    revision: int
    """Where the next watch starts."""


class ObjectFeed(ABC):
    """Read the objects of a kind, whole and as they change."""

    @abstractmethod
    async def list(self, kind: str) -> FeedListing:
        """Return all objects; raise a ``StoreError`` without an answer."""

    @abstractmethod
    async def watch(self, kind: str, revision: int, wait_s: float) -> FeedChanges:
        """Wait for changes after a revision.

        Raise ``HistoryGoneError`` when the store has dropped that history.
        """


@dataclass(frozen=True)
class NamedWeights:
    """Hold the newest version of a model's weights."""

    model: str
    version: int


class StateDecoder(ABC):
    """Turn the store's objects into the product's types; None for what is no use."""

    @abstractmethod
    def configuration(self, stored: SharedObject) -> ForwardConfiguration | None:
        """Return a whole configuration."""

    @abstractmethod
    def instance(self, stored: SharedObject) -> ForwardInstance | None:
        """Return an upstream instance."""

    @abstractmethod
    def weights(self, stored: SharedObject) -> NamedWeights | None:
        """Return the newest version of a model's weights."""
