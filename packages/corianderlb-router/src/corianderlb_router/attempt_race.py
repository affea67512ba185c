"""The attempts of one request that are open at the same time, at most two.

An attempt that is silent stays open while another one stands by for it: its instance
may go on sooner than another can begin. The first of the two to send something new
answers the caller, and the other one is ended at that moment, so that no run goes on
beside another. An attempt to which a run is moved stands by for one that goes on, whose
events are held back meanwhile: it leads with its first event, right after the last one
that was sent. For example::

    race.lead = attempt
    standby = race.open(other)  # The lead is silent.
    race.claim(other)           # It has an event, so the lead ends as silent.
    await race.take_over()      # Waits for its end.
"""

from __future__ import annotations

import trio

from .connection import SilentError, UpstreamError
from .forward_attempt import ForwardAttempt, SupersededError
from .run_mover import Successor


class Standby:
    """An attempt that runs in a task of its own."""

    def __init__(
        self, attempt: ForwardAttempt, successor: Successor | None = None
    ) -> None:
        self.attempt = attempt
        self.successor = successor
        """Set if the run of the lead is to be moved to it."""
        self.has_ended = trio.Event()
        """Set once it has ended as the lead."""
        self.error: Exception | None = None
        """Error with which it has ended; None if it has answered the caller."""


class AttemptRace:
    """The attempt that leads, and the one that stands by for it."""

    def __init__(self) -> None:
        self.lead: ForwardAttempt | None = None
        """The attempt that answers the caller, while it runs."""
        self.standby: Standby | None = None
        """The attempt that stands by, until it leads or has ended."""

    @property
    def may_have_run(self) -> bool:
        """Whether an open attempt may have begun to run."""
        standby = self.standby.attempt if self.standby is not None else None
        return any(
            attempt is not None and attempt.may_have_run
            for attempt in (self.lead, standby)
        )

    def open(
        self, attempt: ForwardAttempt, successor: Successor | None = None
    ) -> Standby:
        """Have an attempt stand by."""
        self.standby = Standby(attempt, successor)
        return self.standby

    @property
    def is_moving(self) -> bool:
        """Whether the run of the lead is being moved to the attempt that stands by."""
        return self.standby is not None and self.standby.successor is not None

    @property
    def has_successor(self) -> bool:
        """Whether an attempt stands by that may lead."""
        return self.standby is not None and self.standby.attempt.given_up is None

    def claim(self, attempt: ForwardAttempt) -> ForwardAttempt | None:
        """End the other attempt, and return it if it had not been ended before.

        Raise an error if this attempt was ended for the other one.
        """
        if attempt.given_up is not None:
            raise attempt.given_up
        if self.standby is None or self.is_moving:
            return None
        other: ForwardAttempt | None = self.standby.attempt
        reason: type[UpstreamError] = SupersededError
        detail = "the silent attempt went on first"
        if attempt is other:
            other, reason = self.lead, SilentError
            detail = "another attempt began first"
        if other is None or other.given_up is not None:
            return None
        other.give_up(reason, detail)
        return other

    def end(self, standby: Standby, error: Exception | None) -> bool:
        """End an attempt; return whether the lead that it stood by for goes on."""
        lead = self.lead
        is_ended = standby.attempt.given_up is not None
        goes_on = lead is not None and lead.given_up is None
        if self.standby is standby and (is_ended or goes_on):
            self.standby = None
            if standby.successor is not None:
                standby.successor.fail()
                if lead is not None:
                    lead.relay.release()
            return True
        standby.error = error
        standby.has_ended.set()
        return False

    async def take_over(self) -> Standby:
        """Have the attempt that stands by lead; return it once it has ended."""
        standby, self.standby = self.standby, None
        assert standby is not None
        self.lead = standby.attempt
        if standby.successor is not None:
            standby.attempt.relay.wait_to_lead = None
            standby.successor.lead()
        await standby.has_ended.wait()
        self.lead = None
        return standby
