"""Which requests leave places at engines to more urgent ones."""

from __future__ import annotations

import unittest
from unittest import mock

from corianderlb_core.forwarding import ForwardAccount, RepeatKind
from corianderlb_router.forward_parts import ForwardSettings
from corianderlb_router.forward_target import EngineTarget
from forward_builders import a_configuration, a_prompt, a_route

CHECK = a_route("check", RepeatKind.STREAM, "llm", priority=0)
ADVICE = a_route("advice", RepeatKind.STREAM, "llm", priority=2)


def a_target(
    route=ADVICE,
    routes=(CHECK, ADVICE),
    is_on=True,
    resume_after=None,
    account=None,
):
    """Build the target of a request to engines."""
    parts = mock.Mock()
    parts.cfg = ForwardSettings("r1", "zone-a", urgent_places=is_on)
    parts.state.configuration = a_configuration(routes=routes)
    req = mock.Mock(resume_after=resume_after)
    return EngineTarget(
        parts, req, route, account, upstream="llm", prompt=a_prompt("own:100")
    )


def leaves_places(target: EngineTarget) -> bool:
    """Return whether a target leaves places to more urgent requests."""
    return target._leaves_places(target.parts.state.configuration)


class UrgentPlacesTest(unittest.TestCase):
    def test_less_urgent_requests_leave_places(self) -> None:
        self.assertTrue(leaves_places(a_target()))
        self.assertFalse(leaves_places(a_target(CHECK)))
        self.assertFalse(leaves_places(a_target(is_on=False)))

    def test_engines_of_one_kind_are_used_whole(self) -> None:
        """Guards against places that are kept for requests that never come."""
        self.assertFalse(leaves_places(a_target(routes=(ADVICE,))))

    def test_accounts_with_one_priority(self) -> None:
        """Guards against places that no request takes where accounts are alike."""
        account = ForwardAccount("a", (), priority=1)
        self.assertFalse(leaves_places(a_target(CHECK, account=account)))
        self.assertTrue(leaves_places(a_target(account=account)))
        urgent = ForwardAccount("b", (), priority=0)
        self.assertFalse(leaves_places(a_target(account=urgent)))

    def test_request_that_may_have_run_takes_any_place(self) -> None:
        """Guards against an answer that is lost since its retry is refused."""
        target = a_target()
        target.sent("a.1", mock.Mock())
        self.assertFalse(leaves_places(target))
        self.assertFalse(leaves_places(a_target(resume_after=3)))
