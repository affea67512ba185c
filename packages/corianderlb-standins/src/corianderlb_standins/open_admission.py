"""Admission without limits, for trials of the other parts."""

from __future__ import annotations

from corianderlb_core.request import Refusal, RequestFacts
from corianderlb_router.interface import Admission, Slot


class OpenSlot(Slot):
    """Stand for a place where places are not counted."""

    def release(self, used_tokens: int) -> None:
        """Do nothing."""


class OpenAdmission(Admission):
    """Admit every request at once."""

    async def admit(self, facts: RequestFacts) -> Slot | Refusal:
        """Return a slot."""
        return OpenSlot()
