"""Table of this router's attempts in flight, by upstream instance."""

from __future__ import annotations

from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import AttemptId, Incarnation, InstanceId
from corianderlb_core.quarantine import PartRequest


@dataclass(frozen=True)
class InFlightAttempt:
    """One attempt in flight on an upstream instance."""

    attempt_id: AttemptId
    incarnation: Incarnation
    body_digest: bytes
    is_exclusive: bool = False
    """True for a suspect: no other suspect is sent to its instance meanwhile."""
    part_digests: tuple[bytes, ...] = ()
    """Digests of the shared parts of its prompt."""
    sent_at: float = 0.0
    """When it was sent, on the router's clock."""


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
        self._begun_at: dict[AttemptId, float] = {}

    def begin(self, attempt: InFlightAttempt) -> None:
        """Add an attempt to the table."""
        instance = attempt.incarnation.instance
        self._attempts[attempt.attempt_id] = attempt
        self._n_on[instance] = self._n_on.get(instance, 0) + 1
        if attempt.is_exclusive:
            self._reserved[instance] = attempt.attempt_id

    def begun(self, attempt_id: AttemptId, at: float) -> None:
        """Record when the first event of an attempt arrived."""
        self._begun_at.setdefault(attempt_id, at)

    def end(self, attempt_id: AttemptId) -> None:
        """Remove an attempt from the table."""
        attempt = self._attempts.pop(attempt_id)
        self._begun_at.pop(attempt_id, None)
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

    def part_requests(self, instance: InstanceId) -> list[PartRequest]:
        """Return the attempts in flight on an instance, for the parts of prompts."""
        return [
            PartRequest(attempt.part_digests, attempt.sent_at, self._begun_at.get(key))
            for key, attempt in self._attempts.items()
            if attempt.incarnation.instance == instance and attempt.part_digests
        ]

    def __len__(self) -> int:
        return len(self._attempts)
