"""Urgency classes of requests."""

from __future__ import annotations

from enum import Enum


class ServiceClass(Enum):
    """Urgency of a request; the value is used in headers and files."""

    URGENT = "urgent"
    """A person is waiting for the answer."""
    STANDARD = "standard"
    DEFERRABLE = "deferrable"
    """Yields to the other classes, but is not starved."""
