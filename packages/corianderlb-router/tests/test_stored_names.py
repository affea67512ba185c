"""Guard the names and bytes of what the platform's store keeps for the routers."""

from __future__ import annotations

import dataclasses
import json
import unittest
from typing import Any

from corianderlb_core.catalogue import ENTRY_TYPES
from corianderlb_core.catalogue_codec import (
    KIND_FIELD,
    catalogue_from_json,
    catalogue_to_json,
    change_from_json,
    change_to_json,
)
from corianderlb_core.change import Change, change_key, snapshot_key
from corianderlb_core.codec import from_cbor, to_cbor, to_plain
from corianderlb_core.edit import Edit
from corianderlb_core.identity import InstanceRecord
from corianderlb_core.journal import Segment, ShardHead, StoredAnswer
from corianderlb_core.lease import LeaseRecord
from corianderlb_core.order import LoadSlots
from corianderlb_core.snapshot import fold_stored
from corianderlb_core.stream_origin import StreamRecord
from corianderlb_router._journal_object import chunk_key
from corianderlb_router.forward_node import LEASE_NAME
from corianderlb_router.lease_holder import LEASE_PREFIX
from corianderlb_router.load_slot_store import SLOTS_KEY
from corianderlb_router.quarantine_records import (
    QUARANTINE_PREFIX,
    QuarantineRecord,
)
from corianderlb_router.router_registration import REGISTRATION_PREFIX, RouterEntry
from corianderlb_router.store import InstanceList
from corianderlb_router.stream_records import STREAMS_PREFIX
from wire_names import field_paths, lines

ENTRIES = """\
model name
model owner
model upstream
model weights_version
model service_class = urgent|standard|deferrable
model limits.requests_per_s
model limits.concurrent
model limits.tokens_per_s
model piece_chars
model prefill_s_per_piece
model import_s_per_piece
model kv_cache
adapter name
adapter owner
adapter model
adapter version
adapter service_class = urgent|standard|deferrable
adapter limits.requests_per_s
adapter limits.concurrent
adapter limits.tokens_per_s
account name
account owner
account service_class = urgent|standard|deferrable
account limits.requests_per_s
account limits.concurrent
account limits.tokens_per_s
account key_digests[]
account weight
account models[]
account routes[]
route name
route owner
route upstream
route service_class = urgent|standard|deferrable
route limits.requests_per_s
route limits.concurrent
route limits.tokens_per_s
route methods[]
route repeatable
route timeout_s
upstream name
upstream owner
upstream upstream_kind = engine|service|kv_cache
upstream service_class = urgent|standard|deferrable
upstream limits.requests_per_s
upstream limits.concurrent
upstream limits.tokens_per_s
upstream fencing = checked|ignored
"""

STORED = """\
lease token
lease holder
lease epoch
lease renewal
lease catalogue_version
lease intent.order_id
lease intent.upstream
lease intent.instance
lease intent.epoch
lease intent.kind = load_model|load_adapter|change_role
lease intent.name
lease intent.version
lease intent.catalogue_version
lease done[].order.order_id
lease done[].order.upstream
lease done[].order.instance
lease done[].order.epoch
lease done[].order.kind = load_model|load_adapter|change_role
lease done[].order.name
lease done[].order.version
lease done[].order.catalogue_version
lease done[].token
lease done[].state
lease is_settling
slots slots[].upstream
slots slots[].order_id
slots slots[].token
head records[].key
head records[].digest
head records[].attempt_id
head records[].router
head records[].epoch
head records[].begun_at
head records[].state = absent|begun|finished|unknown|not_run
head records[].answer.status
head records[].answer.headers[](2)
head records[].answer.body
head records[].answer.n_chunks
head sealed[].name
head sealed[].newest_at
segment records[].key
segment records[].digest
segment records[].attempt_id
segment records[].router
segment records[].epoch
segment records[].begun_at
segment records[].state = absent|begun|finished|unknown|not_run
segment records[].answer.status
segment records[].answer.headers[](2)
segment records[].answer.body
segment records[].answer.n_chunks
instance instance
instance role = router|upstream
instance zone
instance region
instance address
instance presence = live|leaving
instance upstream
instance peer_address
answer status
answer headers[](2)
answer body
answer n_chunks
instances revision
instances instances[].instance
instances instances[].role = router|upstream
instances instances[].zone
instances instances[].region
instances instances[].address
instances instances[].presence = live|leaving
instances instances[].upstream
instances instances[].peer_address
quarantine convictions[].digest
quarantine convictions[].until_ms
quarantine convictions[].n_holds
streams written_ms
streams keep_ms
streams streams[].upstream
streams streams[].version
streams streams[].keys
streams unsettled[].upstream
streams unsettled[].version
streams unsettled[].instance
streams unsettled[].born_ms
streams unsettled[].keys
"""

RECORDS = (
    (
        LeaseRecord,
        "a865746f6b656e0566686f6c6465726272316565706f6368036772656e657761"
        "6c0971636174616c6f6775655f76657273696f6e0766696e74656e74a8686f72"
        "6465725f6964626f3168757073747265616d65656d62657268696e7374616e63"
        "656265316565706f636802646b696e646c6c6f61645f61646170746572646e61"
        "6d656261646776657273696f6e62763271636174616c6f6775655f7665727369"
        "6f6e0764646f6e6581a3656f72646572a8686f726465725f6964626f31687570"
        "73747265616d65656d62657268696e7374616e63656265316565706f63680264"
        "6b696e646c6c6f61645f61646170746572646e616d656261646776657273696f"
        "6e62763271636174616c6f6775655f76657273696f6e0765746f6b656e056573"
        "746174656574616b656e6b69735f736574746c696e67f5",
        {
            "token": 5,
            "holder": "r1",
            "epoch": 3,
            "renewal": 9,
            "catalogue_version": 7,
            "intent": {
                "order_id": "o1",
                "upstream": "ember",
                "instance": "e1",
                "epoch": 2,
                "kind": "load_adapter",
                "name": "ad",
                "version": "v2",
                "catalogue_version": 7,
            },
            "done": (
                {
                    "order": {
                        "order_id": "o1",
                        "upstream": "ember",
                        "instance": "e1",
                        "epoch": 2,
                        "kind": "load_adapter",
                        "name": "ad",
                        "version": "v2",
                        "catalogue_version": 7,
                    },
                    "token": 5,
                    "state": "taken",
                },
            ),
            "is_settling": True,
        },
    ),
    (
        LoadSlots,
        "a165736c6f747381a368757073747265616d65656d626572686f726465725f69"
        "64626f3165746f6b656e05",
        {"slots": ({"upstream": "ember", "order_id": "o1", "token": 5},)},
    ),
    (
        ShardHead,
        "a2677265636f72647381a8636b65795030313233343536373839616263646566"
        "6664696765737450666564636261393837363534333231306a617474656d7074"
        "5f696462613166726f757465726272316565706f63680368626567756e5f6174"
        "fb408f4400000000006573746174656866696e697368656466616e73776572a4"
        "6673746174757318c9676865616465727381826161616264626f64794178686e"
        "5f6368756e6b7302667365616c656481a2646e616d65627331696e6577657374"
        "5f6174fb408f440000000000",
        {
            "records": (
                {
                    "key": b"0123456789abcdef",
                    "digest": b"fedcba9876543210",
                    "attempt_id": "a1",
                    "router": "r1",
                    "epoch": 3,
                    "begun_at": 1000.5,
                    "state": "finished",
                    "answer": {
                        "status": 201,
                        "headers": (("a", "b"),),
                        "body": b"x",
                        "n_chunks": 2,
                    },
                },
            ),
            "sealed": ({"name": "s1", "newest_at": 1000.5},),
        },
    ),
    (
        Segment,
        "a1677265636f72647381a8636b65795030313233343536373839616263646566"
        "6664696765737450666564636261393837363534333231306a617474656d7074"
        "5f696462613166726f757465726272316565706f63680368626567756e5f6174"
        "fb408f4400000000006573746174656866696e697368656466616e73776572a4"
        "6673746174757318c9676865616465727381826161616264626f64794178686e"
        "5f6368756e6b7302",
        {
            "records": (
                {
                    "key": b"0123456789abcdef",
                    "digest": b"fedcba9876543210",
                    "attempt_id": "a1",
                    "router": "r1",
                    "epoch": 3,
                    "begun_at": 1000.5,
                    "state": "finished",
                    "answer": {
                        "status": 201,
                        "headers": (("a", "b"),),
                        "body": b"x",
                        "n_chunks": 2,
                    },
                },
            )
        },
    ),
    (
        InstanceRecord,
        "a868696e7374616e636562723164726f6c6566726f75746572647a6f6e65627a"
        "3166726567696f6e656e6f72746867616464726573736572313a383068707265"
        "73656e6365646c69766568757073747265616d606c706565725f616464726573"
        "736572313a3831",
        {
            "instance": "r1",
            "role": "router",
            "zone": "z1",
            "region": "north",
            "address": "r1:80",
            "presence": "live",
            "upstream": "",
            "peer_address": "r1:81",
        },
    ),
    (
        RouterEntry,
        "a968696e7374616e636562723164726f6c6566726f75746572647a6f6e65627a"
        "3166726567696f6e656e6f72746867616464726573736572313a383068707265"
        "73656e6365646c69766568757073747265616d606c706565725f616464726573"
        "736572313a38316a737461727465645f6d7307",
        {
            "instance": "r1",
            "role": "router",
            "zone": "z1",
            "region": "north",
            "address": "r1:80",
            "presence": "live",
            "upstream": "",
            "peer_address": "r1:81",
            "started_ms": 7,
        },
    ),
    (
        QuarantineRecord,
        "a16b636f6e76696374696f6e7381a366646967657374416468756e74696c5f6d"
        "7307676e5f686f6c647302",
        {"convictions": ({"digest": b"d", "until_ms": 7, "n_holds": 2},)},
    ),
    (
        StreamRecord,
        "a36a7772697474656e5f6d7307676b6565705f6d73193a986773747265616d73"
        "81a368757073747265616d65656d6265726776657273696f6e627631646b6579"
        "734c303132333435363738396162",
        {
            "written_ms": 7,
            "keep_ms": 15_000,
            "streams": (
                {"upstream": "ember", "version": "v1", "keys": b"0123456789ab"},
            ),
        },
    ),
    (
        StreamRecord,
        "a46a7772697474656e5f6d7307676b6565705f6d73193a986773747265616d73"
        "81a368757073747265616d65656d6265726776657273696f6e627631646b6579"
        "734c30313233343536373839616269756e736574746c656481a5687570737472"
        "65616d65656d6265726776657273696f6e62763268696e7374616e6365626531"
        "67626f726e5f6d7309646b6579734c626139383736353433323130",
        {
            "written_ms": 7,
            "keep_ms": 15_000,
            "streams": (
                {"upstream": "ember", "version": "v1", "keys": b"0123456789ab"},
            ),
            "unsettled": (
                {
                    "upstream": "ember",
                    "version": "v2",
                    "instance": "e1",
                    "born_ms": 9,
                    "keys": b"ba9876543210",
                },
            ),
        },
    ),
    (
        StoredAnswer,
        "a46673746174757318c9676865616465727381826161616264626f6479417868"
        "6e5f6368756e6b7302",
        {"status": 201, "headers": (("a", "b"),), "body": b"x", "n_chunks": 2},
    ),
)

CHANGE = (
    b'{"version":3,"edit_id":"e1","author":"ann","owne'
    b'r":"o","reason":"why","accepted_at":"2026-01-02T'
    b'03:04:05+00:00","put":[{"kind":"model","name":"m'
    b'","owner":"o","service_class":"urgent","limits":'
    b'{"requests_per_s":1.5,"concurrent":2,"tokens_per'
    b'_s":3.5},"upstream":"ember","weights_version":"v'
    b'1","piece_chars":4000,"prefill_s_per_piece":0.1,'
    b'"import_s_per_piece":0.02,"kv_cache":"kv"},{"kin'
    b'd":"adapter","name":"ad","owner":"o","service_cl'
    b'ass":"standard","limits":{"requests_per_s":null,'
    b'"concurrent":null,"tokens_per_s":null},"model":"'
    b'm","version":"v2"},{"kind":"account","name":"ac"'
    b',"owner":"o","service_class":"standard","limits"'
    b':{"requests_per_s":null,"concurrent":null,"token'
    b's_per_s":null},"key_digests":["ab"],"weight":1.0'
    b',"models":["m"],"routes":["r"]},{"kind":"route",'
    b'"name":"r","owner":"o","service_class":"standard'
    b'","limits":{"requests_per_s":null,"concurrent":n'
    b'ull,"tokens_per_s":null},"upstream":"yard","meth'
    b'ods":["GET"],"repeatable":false,"timeout_s":10.0'
    b'},{"kind":"upstream","name":"ember","owner":"o",'
    b'"service_class":"standard","limits":{"requests_p'
    b'er_s":null,"concurrent":null,"tokens_per_s":null'
    b'},"upstream_kind":"engine","fencing":"checked"}]'
    b',"removed":["route/old"],"previous":[{"kind":"mo'
    b'del","name":"m","owner":"o","service_class":"urg'
    b'ent","limits":{"requests_per_s":1.5,"concurrent"'
    b':2,"tokens_per_s":3.5},"upstream":"ember","weigh'
    b'ts_version":"v1","piece_chars":4000,"prefill_s_p'
    b'er_piece":0.1,"import_s_per_piece":0.02,"kv_cach'
    b'e":"kv"}]}'
)

SNAPSHOT = (
    b'{"version":3,"entries":[{"changed_in":3,"kind":"'
    b'model","name":"m","owner":"o","service_class":"u'
    b'rgent","limits":{"requests_per_s":1.5,"concurren'
    b't":2,"tokens_per_s":3.5},"upstream":"ember","wei'
    b'ghts_version":"v1","piece_chars":4000,"prefill_s'
    b'_per_piece":0.1,"import_s_per_piece":0.02,"kv_ca'
    b'che":"kv"},{"changed_in":3,"kind":"adapter","nam'
    b'e":"ad","owner":"o","service_class":"standard","'
    b'limits":{"requests_per_s":null,"concurrent":null'
    b',"tokens_per_s":null},"model":"m","version":"v2"'
    b'},{"changed_in":3,"kind":"account","name":"ac","'
    b'owner":"o","service_class":"standard","limits":{'
    b'"requests_per_s":null,"concurrent":null,"tokens_'
    b'per_s":null},"key_digests":["ab"],"weight":1.0,"'
    b'models":["m"],"routes":["r"]},{"changed_in":3,"k'
    b'ind":"route","name":"r","owner":"o","service_cla'
    b'ss":"standard","limits":{"requests_per_s":null,"'
    b'concurrent":null,"tokens_per_s":null},"upstream"'
    b':"yard","methods":["GET"],"repeatable":false,"ti'
    b'meout_s":10.0},{"changed_in":3,"kind":"upstream"'
    b',"name":"ember","owner":"o","service_class":"sta'
    b'ndard","limits":{"requests_per_s":null,"concurre'
    b'nt":null,"tokens_per_s":null},"upstream_kind":"e'
    b'ngine","fencing":"checked"}]}'
)


class StoredNameTest(unittest.TestCase):
    def test_entries(self) -> None:
        """Catalogue entries keep their kinds and fields."""
        found = [
            f"{kind.value} {path}"
            for kind, cls in ENTRY_TYPES.items()
            for path in field_paths(cls)
        ]
        self.assertEqual(found, lines(ENTRIES))
        self.assertEqual(KIND_FIELD, "kind")

    def test_changes_and_edits(self) -> None:
        """Changes and edits keep their fields."""
        self.assertEqual(
            _names(Change),
            "version edit_id author owner reason accepted_at put removed previous",
        )
        self.assertEqual(
            _names(Edit), "edit_id base_version author reason put removed owner"
        )

    def test_record_fields(self) -> None:
        """Records keep their fields and the words in them."""
        types = {
            "lease": LeaseRecord,
            "slots": LoadSlots,
            "head": ShardHead,
            "segment": Segment,
            "instance": InstanceRecord,
            "answer": StoredAnswer,
            "instances": InstanceList,
            "quarantine": QuarantineRecord,
            "streams": StreamRecord,
        }
        found = [f"{k} {path}" for k, cls in types.items() for path in field_paths(cls)]
        self.assertEqual(found, lines(STORED))

    def test_records(self) -> None:
        """Records written earlier are read, and written with the same bytes."""
        for cls, data, plain in RECORDS:
            with self.subTest(cls.__name__):
                got = from_cbor(cls, bytes.fromhex(data))
                self.assertEqual(to_plain(got), plain)
                self.assertEqual(to_cbor(got).hex(), data)

    def test_change(self) -> None:
        """A change written earlier is read, and written with the same bytes."""
        got = change_from_json(CHANGE)
        self.assertEqual(change_to_json(got), CHANGE)
        self.assertEqual((got.version, got.author, got.owner), (3, "ann", "o"))
        self.assertEqual([str(key) for key in got.removed], ["route/old"])
        self.assertEqual(
            [entry.name for entry in got.put], ["m", "ad", "ac", "r", "ember"]
        )

    def test_snapshot(self) -> None:
        """A snapshot written earlier is read, and written with the same bytes."""
        got = catalogue_from_json(SNAPSHOT)
        self.assertEqual(catalogue_to_json(got), SNAPSHOT)
        self.assertEqual(got.version, 3)
        self.assertEqual(set(got.changed_in.values()), {3})

    def test_folded_snapshot(self) -> None:
        """A snapshot that is folded from a stored change is the same."""
        base = json.dumps({"version": 2, "entries": []}).encode()
        self.assertEqual(fold_stored(base, [CHANGE]), SNAPSHOT)

    def test_keys(self) -> None:
        """Objects lie under the same keys."""
        self.assertEqual(change_key(7), "changes/000000000007")
        self.assertEqual(snapshot_key(7), "snapshots/000000000007")
        self.assertEqual(chunk_key("a1", 2), "journal/answers/a1/2")
        self.assertEqual(LEASE_PREFIX + LEASE_NAME, "leases/orders/weights")
        self.assertEqual(SLOTS_KEY, "orders/loads")
        self.assertEqual(REGISTRATION_PREFIX, "routers/")
        self.assertEqual(QUARANTINE_PREFIX, "quarantine/")
        self.assertEqual(STREAMS_PREFIX, "streams/")


def _names(cls: Any) -> str:
    return " ".join(field.name for field in dataclasses.fields(cls))
