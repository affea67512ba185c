"""Test that codecs round-trip values and reject invalid ones with the field name."""

from __future__ import annotations

import unittest
from importlib import resources

from sismic.io import import_from_yaml

from corianderlb_core import catalogue_codec, codec, message
from corianderlb_core.catalogue import Catalogue, EntryKey, EntryKind, Limits, Model
from corianderlb_core.change import Change, apply_change
from corianderlb_core.chart import LifeCycle, read_chart
from corianderlb_core.identity import InstanceId
from corianderlb_core.result import RESULT_INFO, ResultCode


def a_model() -> Model:
    return Model(
        name="m",
        owner="team",
        upstream="ember-llm",
        weights_version="w1",
        limits=Limits(concurrent=3),
    )


class CodecTest(unittest.TestCase):
    def test_change_round_trip(self) -> None:
        change = Change(
            version=1,
            edit_id="e",
            author="ann",
            owner="team",
            reason="first",
            accepted_at="2026-01-01T00:00:00Z",
            put=(a_model(),),
            removed=(EntryKey(EntryKind.ROUTE, "r"),),
        )
        data = catalogue_codec.change_to_json(change)
        self.assertEqual(catalogue_codec.change_from_json(data), change)

    def test_snapshot_round_trip(self) -> None:
        change = Change(1, "e", "ann", "team", "first", "now", put=(a_model(),))
        catalogue = apply_change(Catalogue(), change)
        data = catalogue_codec.catalogue_to_json(catalogue)
        self.assertEqual(catalogue_codec.catalogue_from_json(data), catalogue)

    def test_message_round_trip(self) -> None:
        suspicion = message.Suspicion(InstanceId("u"), 3, 5)
        sent = message.Heartbeat(1, 2, suspected=(suspicion,))
        self.assertEqual(message.decode(message.encode(sent)), sent)
        vector = message.LoadVector(1 << 63, b"\x00\xff")
        self.assertEqual(message.decode(message.encode(vector)), vector)
        proof = message.Challenge(InstanceId("r"), 1, b"\x00\xff")
        self.assertEqual(message.decode(message.encode(proof)), proof)

    def test_unknown_field_named(self) -> None:
        plain = catalogue_codec.entry_to_plain(a_model())
        plain["weigths"] = "typo"
        with self.assertRaisesRegex(codec.DecodeError, "weigths: unknown field"):
            catalogue_codec.entry_from_plain(plain)

    def test_invalid_frame_is_rejected(self) -> None:
        for frame in (b"", b"\xff\xff", b"\x83\x01\x02\x03", b"\x00"):
            with self.assertRaises(codec.DecodeError):
                message.decode(frame)


class ResultTest(unittest.TestCase):
    def test_every_code_described(self) -> None:
        self.assertEqual(set(RESULT_INFO), set(ResultCode))


class LifeCycleTest(unittest.TestCase):
    def test_router_chart(self) -> None:
        life_cycle = LifeCycle("router")
        self.assertEqual(life_cycle.state, "starting")
        self.assertTrue(life_cycle.send("catalogue_ready"))
        self.assertFalse(life_cycle.send("unheard_of"))
        self.assertTrue(life_cycle.send("terminate"))
        self.assertEqual(life_cycle.state, "draining")

    def test_charts_need_no_interpreter(self) -> None:
        """Guards against charts that a table of transitions can't hold."""
        folder = resources.files("corianderlb_core") / "charts"
        for file in folder.iterdir():
            chart = import_from_yaml(file.read_text())
            self.assertTrue(all(chart.depth_for(name) <= 2 for name in chart.states))
            for name in chart.states:
                state = chart.state_for(name)
                self.assertFalse(state.on_entry or state.on_exit)
                for found in chart.transitions_from(name):
                    self.assertFalse(found.guard or found.action or found.internal)

    def test_charts_are_read_as_by_the_library(self) -> None:
        """Guards against a transition that our reader of the files misses."""
        for file in (resources.files("corianderlb_core") / "charts").iterdir():
            chart = import_from_yaml(file.read_text())
            ours = read_chart(file.name.removesuffix(".yaml"))
            self.assertEqual(ours.initial, chart.state_for(chart.root).initial)
            self.assertEqual({"root", *ours.states}, set(chart.states))
            wanted = [
                ((name, found.event), found.target)
                for name in chart.states
                for found in chart.transitions_from(name)
            ]
            self.assertEqual(sorted(ours.transitions.items()), sorted(wanted))
