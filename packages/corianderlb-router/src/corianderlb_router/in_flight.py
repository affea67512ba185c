"""Table of this router's attempts in flight, by upstream instance."""

from __future__ import annotations

from dataclasses import dataclass

from corianderlb_core.identity import AttemptId, Incarnation, InstanceId


@dataclass(frozen=True)
class InFlightAttempt:
    """One attempt in flight on an upstream instance."""

    attempt_id: AttemptId
    incarnation: Incarnation
    body_digest: bytes
    is_exclusive: bool = False
    """True for a suspect: no other suspect is sent to its instance meanwhile."""


class InFlightTable:
    """Attempts in flight.

    An attempt stays in the table until its outcome is known. When an instance crashes,
    its attempts fail one by one, and the first that reports the crash must still find
    all others among the suspects.
    """

    def __init__(self) -> None:
        self._attempts: dict[AttemptId, InFlightAttempt] = {}
        self._n_on: dict[InstanceId, int] = {}
        self._reserved: dict[InstanceId, AttemptId] = {}

    def begin(self, attempt: InFlightAttempt) -> None:
        """Add an attempt to the table."""
        instance = attempt.incarnation.instance
        self._attempts[attempt.attempt_id] = attempt
        self._n_on[instance] = self._n_on.get(instance, 0) + 1
        if attempt.is_exclusive:
            self._reserved[instance] = attempt.attempt_id

    def end(self, attempt_id: AttemptId) -> None:
        """Remove an attempt from the table."""
        attempt = self._attempts.pop(attempt_id)
        instance = attempt.incarnation.instance
        self._n_on[instance] -= 1
        if not self._n_on[instance]:
            del self._n_on[instance]
        if self._reserved.get(instance) == attempt_id:
            del self._reserved[instance]

    def n_on(self, instance: InstanceId) -> int:
        """Return the number of attempts in flight on an instance."""
        return self._n_on.get(instance, 0)

    def is_reserved(self, instance: InstanceId) -> bool:
        """Return whether the instance is reserved for one suspect."""
        return instance in self._reserved

    def suspects(self, instance: InstanceId) -> tuple[bytes, ...]:
        """Return the body digests of the attempts in flight on an instance."""
        return tuple(
            attempt.body_digest
            for attempt in self._attempts.values()
            if attempt.incarnation.instance == instance
        )

    def __len__(self) -> int:
        return len(self._attempts)
