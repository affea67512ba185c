"""Admission without limits, for tests of other components."""

from __future__ import annotations

from corianderlb_core.request import Refusal, RequestFacts
from corianderlb_router.interface import Admission, Slot


class UnlimitedSlot(Slot):
    """Slot of an admission without limits."""

    def release(self, used_tokens: int) -> None:
        """Do nothing."""


class UnlimitedAdmission(Admission):
    """Admission that admits every request at once."""

    async def admit(self, facts: RequestFacts) -> Slot | Refusal:
        """Return a slot that is not counted."""
        return UnlimitedSlot()
