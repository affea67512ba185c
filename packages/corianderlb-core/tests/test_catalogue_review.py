"""Test the warnings about entries of a valid catalogue that have no effect."""

from __future__ import annotations

import unittest

from corianderlb_core.catalogue import Entry, Limits, UpstreamKind
from corianderlb_core.catalogue_review import review_catalogue
from corianderlb_standins.builder import (
    a_catalogue,
    a_model,
    a_route,
    an_account,
    an_adapter,
    an_upstream,
)


def warnings(*entries: Entry) -> list[str]:
    return [str(warning) for warning in review_catalogue(a_catalogue(*entries))]


class CatalogueReviewTest(unittest.TestCase):
    def test_useful_entries_give_no_warning(self) -> None:
        limits = Limits(requests_per_s=5, tokens_per_s=5000)
        model = a_model(limits=Limits(requests_per_s=5))
        found = warnings(model, an_account(limits=limits), an_upstream(), an_adapter())
        self.assertEqual(found, [])

    def test_account_without_a_key(self) -> None:
        found = warnings(a_model(), an_account(key_digests=()), an_upstream())
        self.assertIn("account/northwest-charcoal: key_digests", found[0])
        # Nobody else may use the model either.
        self.assertIn("model/ember-llm: name: no account with a key", found[1])

    def test_route_that_every_account_leaves_out(self) -> None:
        service = an_upstream("yard-app", upstream_kind=UpstreamKind.SERVICE)
        routes = [a_route("a"), a_route("b")]
        found = warnings(*routes, service, an_account(routes=("a",)))
        self.assertEqual(found, ["route/b: name: no account with a key may use it"])

    def test_upstream_that_nothing_leads_to(self) -> None:
        found = warnings(a_model(), an_account(), an_upstream(), an_upstream("other"))
        self.assertEqual(found, ["upstream/other: name: no model or route leads to it"])

    def test_requests_above_tokens(self) -> None:
        limits = Limits(requests_per_s=50, tokens_per_s=20)
        found = warnings(a_model(), an_upstream(), an_account(limits=limits))
        self.assertIn("limits.requests_per_s: 50 is never reached", found[0])

    def test_account_above_all_it_may_use(self) -> None:
        model = a_model(limits=Limits(concurrent=4))
        account = an_account(limits=Limits(concurrent=9))
        found = warnings(model, account, an_upstream())
        self.assertIn("9 is never reached: model/ember-llm allow 4", found[0])

    def test_adapter_above_its_model(self) -> None:
        model = a_model(limits=Limits(requests_per_s=4))
        adapter = an_adapter(limits=Limits(requests_per_s=9))
        found = warnings(model, adapter, an_account(), an_upstream())
        self.assertEqual(len(found), 1)
        self.assertIn("adapter/moisture: limits.requests_per_s", found[0])
