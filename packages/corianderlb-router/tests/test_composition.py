"""The parts of a router are connected as their pages say."""

from __future__ import annotations

import tempfile
from pathlib import Path

import trio

from corianderlb_core.catalogue import ServiceClass
from corianderlb_core.catalogue_codec import change_to_json
from corianderlb_core.identity import InstanceId, InstanceRecord, Role
from corianderlb_core.load import LoadReport
from corianderlb_core.request import Refusal
from corianderlb_core.result import ResultCode
from corianderlb_core.settings import (
    OperatorSettings,
    PeerSettings,
    RouterSettings,
    StoreSettings,
)
from corianderlb_router.composition import Composition
from corianderlb_router.store import InstanceList
from corianderlb_standins.builder import (
    a_change,
    a_model,
    an_account,
    an_upstream,
    some_facts,
)
from corianderlb_standins.trio_case import TrioTestCase

ENGINE = InstanceId("ember-llm-1")


class CompositionTest(TrioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.key = Path(folder.name) / "key"
        self.key.write_text("secret")

    def a_router(self, queued_s: float) -> Composition:
        """Build a router that knows one engine with a queue and has a catalogue."""
        router = Composition(
            RouterSettings(
                instance="router-1",
                zone="pnw-a",
                region="pnw",
                store=StoreSettings("http://127.0.0.1:9"),
                peer=PeerSettings(str(self.key)),
                operator=OperatorSettings(str(self.key)),
            )
        )
        record = InstanceRecord(
            ENGINE, Role.UPSTREAM, "pnw-a", "pnw", "127.0.0.1:9", upstream="ember-llm"
        )
        now = trio.current_time()
        router.directory.apply_instance_list(InstanceList(1, (record,)))
        report = LoadReport(epoch=1, queued_prefill_s=queued_s)
        router.directory.apply_report(ENGINE, report, now)
        change = a_change(1, a_model(), an_account(), an_upstream())
        router.catalogue.apply_stored([change_to_json(change)], now)
        return router

    async def test_metrics_and_status_show_the_same_counters(self) -> None:
        router = self.a_router(0.0)
        text = router.parts.metrics.exposition().decode()
        self.assertIn("corianderlb_requests_waiting 0.0", text)
        for counter in router.counters.status():
            kind = counter.name.partition(".")[2]
            self.assertIn(f'{{kind="{kind}"}} {counter.value}', text)
        self.assertGreater(len(router.counters.status()), 20)

    async def test_queues_of_engines_count_against_deadlines(self) -> None:
        """All engines have a minute of work queued and a review may wait for five
        seconds. It was let in, held a place, and timed out in the engine's queue."""
        for queued_s, refused in ((60.0, True), (1.0, False)):
            router = self.a_router(queued_s)
            facts = some_facts(
                service_class=ServiceClass.DEFERRABLE,
                target="ember-llm",
                upstream="ember-llm",
                deadline=trio.current_time() + 5.0,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.limiter.run)
                answer = await router.limiter.admit(facts)
                nursery.cancel_scope.cancel()
            self.assertEqual(isinstance(answer, Refusal), refused)
            if isinstance(answer, Refusal):
                self.assertIs(answer.code, ResultCode.DEADLINE_UNREACHABLE)
                self.assertGreater(answer.retry_after_s, 1.0)
