"""Interface to a store whose objects are listed once and then watched."""

from __future__ import annotations

from abc import ABC, abstractmethod

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardConfiguration, ForwardInstance
from corianderlb_core.message import SharedObject

from .store import StoreError


class HistoryGoneError(StoreError):
    """The store no longer has the history after a watch's revision; list again."""


@dataclass(frozen=True)
class FeedListing:
    """All objects of a kind at a revision of the store."""

    objects: tuple[SharedObject, ...]
    revision: int


@dataclass(frozen=True)
class FeedChange:
    """A new, changed or removed object."""

    object: SharedObject
    removed: bool


@dataclass(frozen=True)
class FeedChanges:
    """Changes returned by a watch, oldest first."""

    changes: tuple[FeedChange, ...]
    revision: int
    """Revision from which the next watch starts."""


class ObjectFeed(ABC):
    """Lists the objects of a kind and watches them for changes."""

    @abstractmethod
    async def list(self, kind: str) -> FeedListing:
        """Return all objects; raise a ``StoreError`` if the store does not answer."""

    @abstractmethod
    async def watch(self, kind: str, revision: int, wait_s: float) -> FeedChanges:
        """Wait for changes after a revision.

        Raise ``HistoryGoneError`` if the store no longer has the changes after it.
        """


@dataclass(frozen=True)
class NamedWeights:
    """The newest version of a model's weights."""

    model: str
    version: int


class StateDecoder(ABC):
    """Decodes stored objects; returns None for an object that cannot be used."""

    @abstractmethod
    def configuration(self, stored: SharedObject) -> ForwardConfiguration | None:
        """Decode a configuration."""

    @abstractmethod
    def instance(self, stored: SharedObject) -> ForwardInstance | None:
        """Decode an upstream instance."""

    @abstractmethod
    def weights(self, stored: SharedObject) -> NamedWeights | None:
        """Decode the newest version of a model's weights."""
