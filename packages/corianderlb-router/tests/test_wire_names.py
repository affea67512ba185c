"""Guard the names that go between routers, to callers and to upstreams.

Other versions, callers, dashboards and stored objects rely on them: a rename in the
code must not reach them unseen. The lists are written out on purpose.
"""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import trio

import corianderlb_core
import corianderlb_router
from corianderlb_core import header, message
from corianderlb_core.codec import DecodeError, from_plain, to_plain
from corianderlb_core.journal import Segment, ShardHead
from corianderlb_core.load import LoadReport
from corianderlb_core.message import decode, encode
from corianderlb_core.request import Refusal
from corianderlb_core.result import RESULT_INFO, ResultCode
from corianderlb_core.settings import RouterSettings
from corianderlb_core.status import DecisionReport, RouterStatus
from corianderlb_router import _handshake
from corianderlb_router._journal_object import decode_stored
from corianderlb_router.app import make_app
from corianderlb_router.caller import error_body
from corianderlb_router.connection import UpstreamError
from corianderlb_router.forward_run import ForwardRun
from corianderlb_router.store import StoreUnavailableError
from wire_names import (
    CORE,
    ROUTER,
    byte_texts,
    classes,
    enum_values,
    field_paths,
    first_words,
    lines,
    map_keys,
    slashed_texts,
)

MESSAGES = """\
Challenge instance
Challenge epoch
Challenge nonce
Hello instance
Hello epoch
Hello zone
Hello region
Hello nonce
Hello proof
Hello level
Hello purpose
Welcome zone
Welcome region
Welcome proof
Welcome level
Heartbeat heartbeat
Heartbeat catalogue_version
Heartbeat members[].instance
Heartbeat members[].epoch
Heartbeat members[].heartbeat
Heartbeat members[].presence = live|leaving
Heartbeat members[].zone
Heartbeat members[].region
Heartbeat members[].address
Heartbeat members[].peer_address
Heartbeat members[].catalogue_version
Heartbeat members[].in_force_since
Heartbeat suspected[].instance
Heartbeat suspected[].epoch
Heartbeat suspected[].heartbeat
Heartbeat echo
CatalogueRequest after_version
CatalogueChanges version
CatalogueChanges changes[]
CatalogueChanges snapshot
InstancesRequest after_revision
InstancesListed revision
InstancesListed instances[].instance
InstancesListed instances[].role = router|upstream
InstancesListed instances[].zone
InstancesListed instances[].region
InstancesListed instances[].address
InstancesListed instances[].presence = live|leaving
InstancesListed instances[].upstream
InstancesListed instances[].peer_address
LoadVector digest
LoadVector packed
HotPrefixes upstream
HotPrefixes packed
UpstreamLife instance
UpstreamLife epoch
UpstreamLeaving instance
UpstreamLeaving epoch
GrantRequest entry
GrantRequest requester
GrantRequest requests
GrantRequest tokens
GrantRequest concurrent
GrantRequest used_concurrent
GrantRequest number
GrantRequest owed_tokens
Grant entry
Grant requests
Grant tokens
Grant concurrent
Grant valid_s
Grant number
Grant wait_s
CrashReport crash_id
CrashReport suspects[]
CrashReport age_s
CrashReport reporter
CrashReport parts[].digest
CrashReport parts[].n_requests
CrashReport parts[].sent_ms
CrashReport parts[].depth
SuspectCleared body_digest
StateOffer revisions[](2)
StateOffer ask
StateOffer needs_confirmation
StateAnswer ask
StateAnswer revisions[](2)
StateAnswer is_confirmed
StateAnswer named[].model
StateAnswer named[].version
StateAnswer named[].age_ms
StateAnswer named[].after
StateRequest kinds[]
StateRequest ask
StateRequest knows_none
StateObjects kind
StateObjects revision
StateObjects objects[].name
StateObjects objects[].revision
StateObjects objects[].value
StateObjects ask
StateObjects is_confirmed
StateChanges kind
StateChanges after_revision
StateChanges revision
StateChanges objects[].name
StateChanges objects[].revision
StateChanges objects[].value
StateChanges removed[]
EngineNews work[].instance
EngineNews work[].born_ms
EngineNews work[].n_unread_tokens
EngineNews work[].n_requests
EngineNews work[].n_read_tokens
EngineNews work[].n_held_tokens
EngineNews parts[].scope
EngineNews parts[].part_ids[]
EngineNews parts[].instance
EngineNews parts[].born_ms
EngineNews parts[].is_ready
EngineNews parts[].is_saved
EngineNews unreached[](2)
EngineNews paces[].instance
EngineNews paces[].born_ms
EngineNews paces[].n_backoffs
EngineNews paces[].base
EngineNews paces[].threshold
EngineNews paces[].answered_s
EngineNews held_parts
EngineNews speeds.run
EngineNews speeds.sent_ms
EngineNews speeds.reports[]\
(instance born_ms n_tokens usual_ms n_running n_waiting slowdown age_ms)
WeightsNews words[].instance
WeightsNews words[].born_ms
WeightsNews words[].model
WeightsNews words[].version
WeightsNews words[].phase = serving|resting|emptying|clearing|loading
WeightsNews words[].number
LeaseRenewed name
LeaseRenewed holder
LeaseRenewed token
LeaseRenewed renewal
LeaseRenewed version
LeaseOffer name
LeaseOffer token
LeaseWish name
LeaseWish token
LeaseHandover name
LeaseHandover token
LeaseHandover heir
LeaseHandover quiet_s
UsageUpdate usage[].account
UsageUpdate usage[].unit
UsageUpdate usage[].router
UsageUpdate usage[].epoch
UsageUpdate usage[].number
UsageUpdate usage[].total
InstanceLimitUpdate limits[].instance
InstanceLimitUpdate limits[].born_ms
InstanceLimitUpdate limits[].per_s
InstanceLimitUpdate limits[].age_ms
InstanceLimitUpdate usage[].account
InstanceLimitUpdate usage[].unit
InstanceLimitUpdate usage[].router
InstanceLimitUpdate usage[].epoch
InstanceLimitUpdate usage[].number
InstanceLimitUpdate usage[].total
RefusalLimitUpdate limits[].instance
RefusalLimitUpdate limits[].born_ms
RefusalLimitUpdate limits[].per_s
RefusalLimitUpdate limits[].age_ms
RefusalLimitUpdate usage[].account
RefusalLimitUpdate usage[].unit
RefusalLimitUpdate usage[].router
RefusalLimitUpdate usage[].epoch
RefusalLimitUpdate usage[].number
RefusalLimitUpdate usage[].total
RoomUpdate rooms[].upstream
RoomUpdate rooms[].capacity
RoomUpdate rooms[].is_pressed
RoomUpdate rooms[].served
RoomUpdate rooms[].in_time
RoomUpdate rooms[].late
RoomUpdate rooms[].waiting
RoomUpdate rooms[].asked[](3)
RoomUpdate rooms[].speed
TunnelRequest instance
TunnelRequest born_ms
TunnelAnswer outcome = open|refused|silent|unknown|cut_off|busy
StreamOriginsUpdate origins[].key
StreamOriginsUpdate origins[].upstream
StreamOriginsUpdate origins[].version
StreamOriginsUpdate origins[].left_ms
StreamOriginRequest ask
StreamOriginRequest key
StreamOriginRequest upstreams[]
StreamOriginAnswer ask
StreamOriginAnswer origins[].key
StreamOriginAnswer origins[].upstream
StreamOriginAnswer origins[].version
StreamOriginAnswer origins[].left_ms
StreamOriginAnswer versions[](2)
StreamOriginAnswer observed_ms
EngineReport work[]\
(instance born_ms n_unread_tokens n_requests n_read_tokens n_held_tokens)
EngineReport parts[].scope
EngineReport parts[].part_ids[]
EngineReport parts[].instance
EngineReport parts[].born_ms
EngineReport parts[].is_ready
EngineReport parts[].is_saved
EngineReport unreached[](2)
EngineReport paces[].instance
EngineReport paces[].born_ms
EngineReport paces[].n_backoffs
EngineReport paces[].base
EngineReport paces[].threshold
EngineReport paces[].answered_s
EngineReport held_parts
EngineReport speeds.run
EngineReport speeds.sent_ms
EngineReport speeds.reports[]\
(instance born_ms n_tokens usual_ms n_running n_waiting slowdown age_ms)
AnswerEndsUpdate ends
"""

FRAMES = {
    "Challenge": (
        "8301694368616c6c656e6765a368696e7374616e63656272316565706f636803"
        "656e6f6e636550000102030405060708090a0b0c0d0e0f",
        {
            "instance": "r1",
            "epoch": 3,
            "nonce": b"\x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f",
        },
    ),
    "Hello": (
        "83016548656c6c6fa668696e7374616e63656272326565706f636804647a6f6e"
        "65627a3166726567696f6e656e6f727468656e6f6e6365500001020304050607"
        "08090a0b0c0d0e0f6570726f6f66500f0e0d0c0b0a09080706050403020100",
        {
            "instance": "r2",
            "epoch": 4,
            "zone": "z1",
            "region": "north",
            "nonce": b"\x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f",
            "proof": b"\x0f\x0e\r\x0c\x0b\n\t\x08\x07\x06\x05\x04\x03\x02\x01\x00",
        },
    ),
    "Welcome": (
        "83016757656c636f6d65a3647a6f6e65627a3166726567696f6e656e6f727468"
        "6570726f6f6650000102030405060708090a0b0c0d0e0f",
        {
            "zone": "z1",
            "region": "north",
            "proof": b"\x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f",
        },
    ),
    "Heartbeat": (
        "830169486561727462656174a569686561727462656174182971636174616c6f"
        "6775655f76657273696f6e07676d656d6265727381aa68696e7374616e636562"
        "72316565706f6368036968656172746265617418286870726573656e6365676c"
        "656176696e67647a6f6e65627a3166726567696f6e656e6f7274686761646472"
        "6573736572313a38306c706565725f616464726573736572313a383171636174"
        "616c6f6775655f76657273696f6e076e696e5f666f7263655f73696e63657819"
        "323032362d30312d30325430333a30343a30352b30303a303069737573706563"
        "74656481a368696e7374616e63656272336565706f6368016968656172746265"
        "617409646563686f05",
        {
            "heartbeat": 41,
            "catalogue_version": 7,
            "members": (
                {
                    "instance": "r1",
                    "epoch": 3,
                    "heartbeat": 40,
                    "presence": "leaving",
                    "zone": "z1",
                    "region": "north",
                    "address": "r1:80",
                    "peer_address": "r1:81",
                    "catalogue_version": 7,
                    "in_force_since": "2026-01-02T03:04:05+00:00",
                },
            ),
            "suspected": ({"instance": "r3", "epoch": 1, "heartbeat": 9},),
            "echo": 5,
        },
    ),
    "CatalogueRequest": (
        "830170436174616c6f67756552657175657374a16d61667465725f76657273696f6e06",
        {"after_version": 6},
    ),
    "CatalogueChanges": (
        "830170436174616c6f6775654368616e676573a36776657273696f6e07676368"
        "616e67657381427b7d68736e617073686f74425b5d",
        {"version": 7, "changes": (b"{}",), "snapshot": b"[]"},
    ),
    "InstancesRequest": (
        "830170496e7374616e63657352657175657374a16e61667465725f7265766973696f6e20",
        {"after_revision": -1},
    ),
    "InstancesListed": (
        "83016f496e7374616e6365734c6973746564a2687265766973696f6e0c69696e"
        "7374616e63657381a868696e7374616e636562653164726f6c65687570737472"
        "65616d647a6f6e65627a3166726567696f6e656e6f7274686761646472657373"
        "6565313a38306870726573656e6365676c656176696e6768757073747265616d"
        "65656d6265726c706565725f6164647265737360",
        {
            "revision": 12,
            "instances": (
                {
                    "instance": "e1",
                    "role": "upstream",
                    "zone": "z1",
                    "region": "north",
                    "address": "e1:80",
                    "presence": "leaving",
                    "upstream": "ember",
                    "peer_address": "",
                },
            ),
        },
    ),
    "LoadVector": (
        "83016a4c6f6164566563746f72a2666469676573741863667061636b65645000"
        "0102030405060708090a0b0c0d0e0f",
        {
            "digest": 99,
            "packed": b"\x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f",
        },
    ),
    "HotPrefixes": (
        "83016b486f745072656669786573a268757073747265616d65656d6265726670"
        "61636b656450000102030405060708090a0b0c0d0e0f",
        {
            "upstream": "ember",
            "packed": b"\x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f",
        },
    ),
    "UpstreamLife": (
        "83016c557073747265616d4c696665a268696e7374616e63656265316565706f636802",
        {"instance": "e1", "epoch": 2},
    ),
    "UpstreamLeaving": (
        "83016f557073747265616d4c656176696e67a268696e7374616e63656265316565706f636802",
        {"instance": "e1", "epoch": 2},
    ),
    "GrantRequest": (
        "83016c4772616e7452657175657374a865656e747279696163636f756e742f61"
        "69726571756573746572627231687265717565737473fb3ff800000000000066"
        "746f6b656e73fb40040000000000006a636f6e63757272656e74036f75736564"
        "5f636f6e63757272656e7402666e756d626572086b6f7765645f746f6b656e73"
        "fb3fe0000000000000",
        {
            "entry": "account/a",
            "requester": "r1",
            "requests": 1.5,
            "tokens": 2.5,
            "concurrent": 3,
            "used_concurrent": 2,
            "number": 8,
            "owed_tokens": 0.5,
        },
    ),
    "Grant": (
        "8301654772616e74a765656e747279696163636f756e742f6168726571756573"
        "7473fb3ff800000000000066746f6b656e73fb40040000000000006a636f6e63"
        "757272656e74036776616c69645f73fb4010000000000000666e756d62657208"
        "66776169745f73fb3fd0000000000000",
        {
            "entry": "account/a",
            "requests": 1.5,
            "tokens": 2.5,
            "concurrent": 3,
            "valid_s": 4.0,
            "number": 8,
            "wait_s": 0.25,
        },
    ),
    "CrashReport": (
        "83016b43726173685265706f7274a36863726173685f69646465314032687375"
        "7370656374738150000102030405060708090a0b0c0d0e0f656167655f73fb3f"
        "e0000000000000",
        {
            "crash_id": "e1@2",
            "suspects": (
                b"\x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f",
            ),
            "age_s": 0.5,
        },
    ),
    "SuspectCleared": (
        "83016e53757370656374436c6561726564a16b626f64795f6469676573745000"
        "0102030405060708090a0b0c0d0e0f",
        {"body_digest": b"\x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f"},
    ),
    "StateOffer": (
        "83016a53746174654f66666572a2697265766973696f6e738182677365727665"
        "7273056361736b02",
        {"revisions": (("servers", 5),), "ask": 2},
    ),
    "StateAnswer": (
        "83016b5374617465416e73776572a46361736b02697265766973696f6e738182"
        "6773657276657273056c69735f636f6e6669726d6564f5656e616d656481a465"
        "6d6f64656c616d6776657273696f6e04666167655f6d731904b0656166746572"
        "03",
        {
            "ask": 2,
            "revisions": (("servers", 5),),
            "is_confirmed": True,
            "named": ({"model": "m", "version": 4, "age_ms": 1200, "after": 3},),
        },
    ),
    "StateRequest": (
        "83016c537461746552657175657374a3656b696e647381677365727665727363"
        "61736b026a6b6e6f77735f6e6f6e65f5",
        {"kinds": ("servers",), "ask": 2, "knows_none": True},
    ),
    "StateObjects": (
        "83016c53746174654f626a65637473a5646b696e646773657276657273687265"
        "766973696f6e05676f626a6563747381a3646e616d6562653168726576697369"
        "6f6e056576616c7565427b7d6361736b026c69735f636f6e6669726d6564f5",
        {
            "kind": "servers",
            "revision": 5,
            "objects": ({"name": "e1", "revision": 5, "value": b"{}"},),
            "ask": 2,
            "is_confirmed": True,
        },
    ),
    "StateChanges": (
        "83016c53746174654368616e676573a5646b696e6467736572766572736e6166"
        "7465725f7265766973696f6e07687265766973696f6e09676f626a6563747381"
        "a3646e616d65627331687265766973696f6e096576616c7565427b7d6772656d"
        "6f76656481627332",
        {
            "kind": "servers",
            "after_revision": 7,
            "revision": 9,
            "objects": ({"name": "s1", "revision": 9, "value": b"{}"},),
            "removed": ("s2",),
        },
    ),
    "LinkClosing": ("83016b4c696e6b436c6f73696e67a0", {}),
    "UsageUpdate": (
        "83016b5573616765557064617465a165757361676581a6676163636f756e7464"
        "61636d6564756e697466746f6b656e7366726f757465726272316565706f6368"
        "03666e756d6265720265746f74616cfb4098100000000000",
        {
            "usage": (
                {
                    "account": "acme",
                    "unit": "tokens",
                    "router": "r1",
                    "epoch": 3,
                    "number": 2,
                    "total": 1540.0,
                },
            ),
        },
    ),
    "InstanceLimitUpdate": (
        "830173496e7374616e63654c696d6974557064617465a2666c696d69747381a4"
        "68696e7374616e636562653167626f726e5f6d731903e8657065725f73fb4004"
        "000000000000666167655f6d73182865757361676581a6676163636f756e7467"
        "65312f3130303064756e697468726571756573747366726f7574657262723165"
        "65706f636803666e756d6265720265746f74616cfb4010000000000000",
        {
            "limits": (
                {"instance": "e1", "born_ms": 1000, "per_s": 2.5, "age_ms": 40},
            ),
            "usage": (
                {
                    "account": "e1/1000",
                    "unit": "requests",
                    "router": "r1",
                    "epoch": 3,
                    "number": 2,
                    "total": 4.0,
                },
            ),
        },
    ),
    "RoomUpdate": (
        "83016a526f6f6d557064617465a165726f6f6d7381a868757073747265616d63"
        "6c6c6d6863617061636974791a000dbba06a69735f70726573736564f5667365"
        "727665641a000cf85067696e5f74696d651a000c3500646c61746519c3506777"
        "616974696e671a00061a806561736b656481836461636d65001a0001d4c0",
        {
            "rooms": (
                {
                    "upstream": "llm",
                    "capacity": 900000,
                    "is_pressed": True,
                    "served": 850000,
                    "in_time": 800000,
                    "late": 50000,
                    "waiting": 400000,
                    "asked": (("acme", 0, 120000),),
                },
            ),
        },
    ),
    "RefusalLimitUpdate": (
        "8301725265667573616c4c696d6974557064617465a2666c696d69747381a468"
        "696e7374616e636562653167626f726e5f6d731903e8657065725f73fb400400"
        "0000000000666167655f6d73182865757361676581a6676163636f756e746765"
        "312f3130303064756e697468726571756573747366726f757465726272316565"
        "706f636803666e756d6265720265746f74616cfb4010000000000000",
        {
            "limits": (
                {"instance": "e1", "born_ms": 1000, "per_s": 2.5, "age_ms": 40},
            ),
            "usage": (
                {
                    "account": "e1/1000",
                    "unit": "requests",
                    "router": "r1",
                    "epoch": 3,
                    "number": 2,
                    "total": 4.0,
                },
            ),
        },
    ),
    "TunnelRequest": (
        "83016d54756e6e656c52657175657374a268696e7374616e636563692d316762"
        "6f726e5f6d7307",
        {"instance": "i-1", "born_ms": 7},
    ),
    "TunnelAnswer": (
        "83016c54756e6e656c416e73776572a1676f7574636f6d65676375745f6f6666",
        {"outcome": "cut_off"},
    ),
    "StreamOriginsUpdate": (
        "83017353747265616d4f726967696e73557064617465a1676f726967696e7381"
        "a4636b65794c01010101010101010101010168757073747265616d636c6c6d67"
        "76657273696f6e627631676c6566745f6d73192328",
        {
            "origins": (
                {
                    "key": b"\x01" * 12,
                    "upstream": "llm",
                    "version": "v1",
                    "left_ms": 9000,
                },
            )
        },
    ),
    "StreamOriginRequest": (
        "83017353747265616d4f726967696e52657175657374a36361736b07636b6579"
        "4c01010101010101010101010169757073747265616d7381636c6c6d",
        {"ask": 7, "key": b"\x01" * 12, "upstreams": ("llm",)},
    ),
    "StreamOriginAnswer": (
        "83017253747265616d4f726967696e416e73776572a36361736b076876657273"
        "696f6e738182636c6c6d6276316b6f627365727665645f6d73190fa0",
        {"ask": 7, "versions": (("llm", "v1"),), "observed_ms": 4000},
    ),
    "EngineReport": (
        "83016c456e67696e655265706f7274a364776f726b81866265311903e814030a"
        "19019069756e7265616368656481826265321903846a68656c645f7061727473"
        "4c010101010101010101010101",
        {
            "work": (("e1", 1000, 20, 3, 10, 400),),
            "unreached": (("e2", 900),),
            "held_parts": b"\x01" * 12,
        },
    ),
    "AnswerEndsUpdate": (
        "830170416e73776572456e6473557064617465a164656e64734e010101010101"
        "0101010101010101",
        {"ends": b"\x01" * 14},
    ),
    "EngineNews": (
        "83016a456e67696e654e657773a364776f726b81a668696e7374616e63656265"
        "3167626f726e5f6d731903e86f6e5f756e726561645f746f6b656e73146a6e5f"
        "7265717565737473036d6e5f726561645f746f6b656e730a6d6e5f68656c645f"
        "746f6b656e7319019065706172747381a66573636f7065617368706172745f69"
        "64738262703162703268696e7374616e636562653167626f726e5f6d731903e8"
        "6869735f7265616479f56869735f7361766564f569756e726561636865648182"
        "626532190384",
        {
            "work": (
                {
                    "instance": "e1",
                    "born_ms": 1000,
                    "n_unread_tokens": 20,
                    "n_requests": 3,
                    "n_read_tokens": 10,
                    "n_held_tokens": 400,
                },
            ),
            "parts": (
                {
                    "scope": "s",
                    "part_ids": ("p1", "p2"),
                    "instance": "e1",
                    "born_ms": 1000,
                    "is_ready": True,
                    "is_saved": True,
                },
            ),
            "unreached": (("e2", 900),),
        },
    ),
    "WeightsNews": (
        "83016b576569676874734e657773a165776f72647381a668696e7374616e6365"
        "62653167626f726e5f6d731903e8656d6f64656c616d6776657273696f6e0465"
        "706861736568636c656172696e67666e756d62657206",
        {
            "words": (
                {
                    "instance": "e1",
                    "born_ms": 1000,
                    "model": "m",
                    "version": 4,
                    "phase": "clearing",
                    "number": 6,
                },
            )
        },
    ),
    "LeaseRenewed": (
        "83016c4c6561736552656e65776564a5646e616d65677765696768747366686f"
        "6c64657262723165746f6b656e076772656e6577616c181e6776657273696f6e"
        "623838",
        {"name": "weights", "holder": "r1", "token": 7, "renewal": 30, "version": "88"},
    ),
    "LeaseOffer": (
        "83016a4c656173654f66666572a2646e616d65677765696768747365746f6b656e07",
        {"name": "weights", "token": 7},
    ),
    "LeaseWish": (
        "8301694c6561736557697368a2646e616d65677765696768747365746f6b656e07",
        {"name": "weights", "token": 7},
    ),
    "LeaseHandover": (
        "83016d4c6561736548616e646f766572a4646e616d6567776569676874736574"
        "6f6b656e0764686569726272326771756965745f73fb3fe8000000000000",
        {"name": "weights", "token": 7, "heir": "r2", "quiet_s": 0.75},
    ),
}

RESULT_CODES = """\
OK 0 200 yes
INVALID_REQUEST 100 400 no
BODY_NOT_JSON 101 400 no
BODY_TOO_LARGE 102 413 no
UNKNOWN_MODEL 103 404 no
UNKNOWN_ROUTE 104 404 no
BAD_CREDENTIALS 105 401 no
IDEMPOTENCY_KEY_MISSING 106 400 no
IDEMPOTENCY_KEY_REUSED 107 422 no
INVALID_DEADLINE 108 400 no
METHOD_NOT_ALLOWED 109 405 no
HEADERS_TOO_LARGE 110 431 no
NOT_FOUND 111 404 no
FORBIDDEN 112 403 no
RATE_LIMITED 200 429 no
TOO_MANY_CONCURRENT 201 429 no
DEADLINE_UNREACHABLE 202 503 no
QUEUE_FULL 203 503 no
NO_UPSTREAM 204 503 no
STORE_UNAVAILABLE 205 503 no
NOT_READY 206 503 no
DRAINING 207 503 no
QUARANTINED 208 503 no
UPSTREAM_REFUSED 209 503 no
STALE_CONFIGURATION 210 503 no
STREAM_ORIGIN_UNKNOWN 211 503 no
STREAM_VERSION_GONE 212 503 no
MEMORY_FULL 213 503 no
OUTCOME_UNKNOWN 300 502 unknown
CALL_IN_PROGRESS 301 409 unknown
STREAM_BROKEN 302 502 yes
UPSTREAM_FAILED 303 502 unknown
UPSTREAM_TIMEOUT 304 504 unknown
RETRY_BUDGET_SPENT 305 502 unknown
DEADLINE_EXCEEDED 306 504 unknown
CUT_BY_SHUTDOWN 307 502 unknown
CALLER_GONE 308 499 unknown
CALLER_TOO_SLOW 309 499 unknown
ANSWER_NOT_HELD 310 502 unknown
CATALOGUE_INVALID 400 422 no
EDIT_CONFLICT 401 409 no
EDIT_OUTCOME_UNKNOWN 402 502 unknown
SETTINGS_INVALID 403 400 no
PEER_REJECTED 500 403 no
PEER_MESSAGE_INVALID 501 400 no
STORE_CONFLICT 502 409 no
LEASE_LOST 503 409 no
INTERNAL 900 500 unknown
"""

HEADERS = """\
corianderlb-adapter
corianderlb-attempt-id
corianderlb-cache-salt
corianderlb-catalogue-version
corianderlb-class
corianderlb-deadline-ms
corianderlb-decision-id
corianderlb-expect-adapter
corianderlb-expect-incarnation
corianderlb-expect-weights
corianderlb-fencing-token
corianderlb-incarnation
corianderlb-not-run
corianderlb-priority
corianderlb-replayed
corianderlb-request-id
corianderlb-result-code
corianderlb-resume-from
corianderlb-weights-version
idempotency-key
"""

STATUS = """\
instance
epoch
zone
region
state
catalogue_version
in_force_since
confirmed_age_s
n_in_flight
members[].instance
members[].zone
members[].presence
members[].catalogue_version
members[].in_force_since
upstreams[].instance
upstreams[].upstream
upstreams[].address
upstreams[].zone
upstreams[].epoch
upstreams[].usable
upstreams[].health
upstreams[].report.epoch
upstreams[].report.n_running
upstreams[].report.n_queued
upstreams[].report.queued_prefill_s
upstreams[].report.cached_pieces
upstreams[].report.cache_capacity_pieces
upstreams[].report.weights{}
upstreams[].report.adapters{}
upstreams[].report.leaving
upstreams[].report.fencing_token
upstreams[].report.loading
upstreams[].report_age_s
leases[].name
leases[].holder
leases[].fencing_token
leases[].remaining_s
quarantine[].body_digest
quarantine[].n_crashes
quarantine[].remaining_s
accounts[].account
accounts[].n_running
accounts[].n_waiting
accounts[].n_refused
counters[].name
counters[].value
"""

DECISION = """\
decision_id
request_id
account
target
service_class
catalogue_version
policy
at
code
candidates[].instance
candidates[].epoch
candidates[].expected_hits
candidates[].import_pieces
candidates[].estimated_ttft_s
candidates[].reason
attempts[].attempt_id
attempts[].instance
attempts[].epoch
attempts[].code
attempts[].started_after_s
attempts[].lasted_s
rested_on[].entry
rested_on[].owner
rested_on[].changed_in
"""

LOAD = """\
epoch
n_running
n_queued
queued_prefill_s
cached_pieces
cache_capacity_pieces
weights{}
adapters{}
leaving
fencing_token
loading
"""

ENUMS = """\
absent|begun|finished|unknown|not_run
an event was skipped or repeated|an event belongs to another attempt|
    an event has neither index nor data|
    the attempt repeats other text than was relayed before|
    something follows the terminal event
checked|ignored
engine|service|kv_cache
idempotent|at_most_once|stream
live|leaving
load_model|load_adapter|change_role
model|adapter|account|route|upstream
not sent|refused|broken|crashed|silent|wrong|failed
nothing|fresh|news
no|yes|unknown
open|refused|silent|unknown|cut_off|busy
requests|tokens
router|upstream
run|earlier|in_progress|unknown|key_reused|full
serving|resting|emptying|clearing|loading
success|failure|excess|condemned
urgent|standard|deferrable
closed|died|unknown
copied|no_run|no_room|unknown
corianderlb_catalogue_version|corianderlb_requests_in_flight|
    corianderlb_quarantined_requests|corianderlb_peers_connected|
    corianderlb_requests_waiting
corianderlb_store_calls_total|corianderlb_store_call_failures_total|
    corianderlb_peer_traffic_total|corianderlb_failed_connections_total|
    corianderlb_catalogue_events_total|
    corianderlb_journal_events_total|corianderlb_admission_events_total|
    corianderlb_placement_events_total
get|list|create|update|delete|watch|instances
shutdown|deadline|silence|upstream|caller
taken|holds|busy|outdated|gone|refused|unknown
taken|refused|not_sent|in_doubt
"""

SLASHED = """\
/
/admin/decisions/<decision_id>
/admin/drain
/admin/status
/chat/completions
/control/cancel
/control/import
/control/load
/control/orders
/health
/instances
/metrics
/objects
/objects/
/ready
/services/
/v1/chat/completions
/v1/completions
/v1/models
/watch
/{}{}
account/
account/{}
application/json
changes/
http://{}/
http://{}{}
journal/answers/{}/{}
journal/{}
leases/orders/
orders/loads
orders/{}
quarantine/
routers/
snapshots/
streams/
upstream/{}
ws://{}/
{}/head
{}/sealed/{}
{}/{}
"""

MAP_KEYS = """\
AnswerEndsUpdate
CatalogueChanges CatalogueRequest Challenge CrashReport EngineNews EngineReport Grant
GrantRequest Heartbeat Hello HotPrefixes InstanceLimitUpdate InstancesListed
InstancesRequest LeaseHandover LeaseOffer LeaseRenewed LeaseWish LinkClosing LoadVector
RefusalLimitUpdate RoomUpdate StateAnswer StateChanges StateObjects StateOffer
StateRequest StreamOriginAnswer StreamOriginRequest StreamOriginsUpdate SuspectCleared
TunnelAnswer TunnelRequest UpstreamLeaving UpstreamLife UsageUpdate WeightsNews Welcome
accept-encoding adapter after after_silence asgi attempt_id authorization body
changed_in charged chat.completion.chunk choices class client code connect connection
content content-encoding data delta end
entries entry error etag
extensions framing gossip_bytes headers http http_version id if-match if-none-match
import_orders import_orders_late imported imported_pieces index instance keys kind
leaving library limit listening load_read_bytes load_read_failures load_reads message
message_type messages method model more_body n_lines name object order_id outcome
owned_by path peer prefix prompt prompt_tokens_details put query_string ran raw_path
read reason removed repeat request result retry retry-after retry_after_s revision role
root_path salt scheme server shutdown source spec_version startup state status stream
taken_while_stopping text text_completion.chunk timeout timeout_s type usage
vectors_of_another_list version weights_version write x-revision
"""

BYTE_TEXTS = [
    "\ndata: ",
    "\r\ncontent-length:",
    "\r\ntransfer-encoding: chunked\r\n",
    " HTTP/1.0\r\n",
    " HTTP/1.1\r\n",
    '"created"',
    '"created":\\s*\\d+,?',
    "(?:(?::|retry:)[^\\n]*\\n|\\r?\\n)*",
    "(?:^|\\n)id:[ ]?(\\d+)\\r?(?=\\n|$)",
    "([0-9A-Fa-f]{1,16})[ \\t]*(?:;[^\\r\\n]*)?\\r\\n",
    ',"usage"',
    "Content-Length",
    "HEAD",
    "HTTP/1.1 500 Internal Server Error\r\n"
    "content-length: 0\r\nconnection: close\r\n\r\n",
    "HTTP/1\\.([0-9]) ([1-5][0-9]{2})(?: [\\t\\x20-\\x7e\\x80-\\xff]*)?",
    "Host",
    "[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00\\r\\n]*",
    "[DONE]\n\n",
    "\\r\\n([0-9A-Fa-f]{1,16})[ \\t]*(?:;[^\\r\\n]*)?\\r\\n",
    "accept",
    "acceptor",
    "acceptor frames",
    "application/json",
    "cache-control",
    "catalogue-snapshot",
    "catalogue-start",
    "catalogue-watch",
    "close",
    "connection",
    "content-length",
    "content-type",
    "date",
    "dialler",
    "dialler frames",
    "event: error\ndata: ",
    "host",
    "id: ",
    "id: %d\ndata: ",
    "idempotency-key",
    "instances",
    "no-store",
    "retry-after",
    "ring",
    "text/event-stream",
    "transfer-encoding",
    "true",
    "upgrade",
    '{"id":"%s"',
]

ROUTES = """\
/admin/decisions/<decision_id> GET
/admin/drain POST
/admin/status GET
/health GET
/metrics GET
/ready GET
/static/<path:filename> GET
/v1/models GET
"""

OUTCOMES = """\
answertoolong broken connectfailed noroom notrun processended runmoved serverfailure
silent superseded takenoff unconfirmedend unknownend upstream withdrawn wronganswer
"""

TRANSCRIPT = (
    "835834886272310350000102030405060708090a0b0c0d0e0f62723103627a31"
    "656e6f7274685000000000000000000000000000000000627a31656e6f727468"
)

ERROR_BODY = (
    b'{"error": {"code": 203, "name": "QUEUE_FULL", "m'
    b'essage": "Full. Come back after Retry-After.", "'
    b'ran": "no", "retry_after_s": 1.5}}'
)


class MessageNameTest(unittest.TestCase):
    def test_types_and_fields(self) -> None:
        """Messages between routers keep their type names and fields."""
        found = [
            f"{name} {path}"
            for name, cls in message._TYPES.items()
            for path in field_paths(cls)
        ]
        self.assertEqual(found, lines(MESSAGES))

    def test_encoded_names(self) -> None:
        """Every type is encoded under the name that it is decoded from."""
        self.assertEqual(set(FRAMES), set(message._TYPES))

    def test_frames(self) -> None:
        """Frames written earlier are read, and written with the same bytes."""
        for name, (frame, plain) in FRAMES.items():
            with self.subTest(name):
                got = decode(bytes.fromhex(frame))
                self.assertEqual(to_plain(got), plain)
                self.assertEqual(encode(got).hex(), frame)

    def test_unknown_class(self) -> None:
        """What is no message is not encoded."""
        with self.assertRaises(TypeError):
            encode(object())  # type: ignore[arg-type]
        with self.assertRaises(KeyError):
            encode(Refusal(ResultCode.OK, ""))  # type: ignore[arg-type]

    def test_proofs(self) -> None:
        """Proofs and keys of a link are made from the same words and fields."""
        peer = _handshake.PeerIdentity("r1", 3, "z1", "north")
        challenge = decode(bytes.fromhex(FRAMES["Challenge"][0]))
        transcript = _handshake._dialler_transcript(challenge, peer, bytes(16))
        transcript = _handshake._full_transcript(transcript, peer)
        self.assertEqual(transcript.hex(), TRANSCRIPT)


class AnswerNameTest(unittest.TestCase):
    def test_result_codes(self) -> None:
        """Result codes keep name, number, HTTP status and whether it ran."""
        found = [
            f"{code.name} {int(code)} {info.status} {info.ran.value}"
            for code, info in ((code, RESULT_INFO[code]) for code in ResultCode)
        ]
        self.assertEqual(found, lines(RESULT_CODES))

    def test_headers(self) -> None:
        """Headers keep their names."""
        found = [value for name, value in vars(header).items() if name.isupper()]
        self.assertEqual(sorted(found), lines(HEADERS))

    def test_reports(self) -> None:
        """Status, decision and load reports keep their fields."""
        self.assertEqual(field_paths(RouterStatus), lines(STATUS))
        self.assertEqual(field_paths(DecisionReport), lines(DECISION))
        self.assertEqual(field_paths(LoadReport), lines(LOAD))

    def test_enums(self) -> None:
        """Enumerations keep their values."""
        found = [
            *(x for x in enum_values(corianderlb_core) if not x.startswith("0|100|")),
            *enum_values(corianderlb_router),
        ]
        self.assertEqual(found, lines(ENUMS.replace("\n    ", "")))

    def test_error_body(self) -> None:
        """The body of an error keeps its fields."""
        body = error_body(Refusal(ResultCode.QUEUE_FULL, "Full.", 1.5))
        self.assertEqual(body, ERROR_BODY)

    def test_routes(self) -> None:
        """The application keeps its paths and methods."""
        app = make_app(mock.Mock(), mock.Mock(), b"key")
        found = [
            f"{rule.rule} {'|'.join(sorted(rule.methods - {'HEAD', 'OPTIONS'}))}"
            for rule in app.url_map.iter_rules()
        ]
        self.assertEqual(sorted(found), lines(ROUTES))

    def test_slashed_texts(self) -> None:
        """HTTP paths and keys of the store stay, wherever they stand in the code."""
        self.assertEqual(slashed_texts(CORE, ROUTER), lines(SLASHED))

    def test_map_keys(self) -> None:
        """Literal keys of maps, most of which are JSON, stay."""
        self.assertEqual(map_keys(CORE, ROUTER), MAP_KEYS.split())

    def test_byte_texts(self) -> None:
        """Byte strings stay: header names, and words that routers hash alike."""
        self.assertEqual(byte_texts(CORE, ROUTER), BYTE_TEXTS)


class ClassNameTextTest(unittest.TestCase):
    """Texts that are made from class names, or were."""

    def test_outcomes(self) -> None:
        """The outcomes of failed attempts, in log lines and metrics, stay."""
        found = [
            _outcome(cls)
            for cls in classes(corianderlb_router)
            if issubclass(cls, UpstreamError)
            and cls.__module__.rpartition(".")[2]
            not in ("completion_run", "upstream_client")
        ]
        self.assertEqual(sorted(found), OUTCOMES.split())

    def test_other_outcomes(self) -> None:
        """The outcomes that are written as they are stay."""
        found = first_words(ROUTER / "forward_run.py", "_record_attempt")
        self.assertEqual(found, ["abandoned", "ok"])
        text = (ROUTER / "forward_run.py").read_text()
        self.assertIn('"moved" if exc.is_copied else "restarted"', text)

    def test_bad_value(self) -> None:
        """An error on a whole value names what it should be."""
        for cls, name in (
            (RouterSettings, "RouterSettings"),
            (LoadReport, "LoadReport"),
            (RouterStatus, "RouterStatus"),
            (message._TYPES["Heartbeat"], "Heartbeat"),
        ):
            with self.assertRaises(DecodeError) as caught:
                from_plain(cls, 3)
            self.assertEqual(
                str(caught.exception), f"{name}: Expected `object`, got `int`"
            )

    def test_bad_record(self) -> None:
        """An error on a record of the journal names the record."""
        for cls, name in ((ShardHead, "ShardHead"), (Segment, "Segment")):
            with self.assertRaises(StoreUnavailableError) as caught:
                decode_stored(cls, b"\x03")
            self.assertTrue(
                str(caught.exception).startswith(
                    f"a {name} of the journal cannot be read "
                    f"({name}: Expected `object`, got `int`); "
                )
            )

    def test_handshake_reason(self) -> None:
        """The reason why a link was refused names both types of message."""
        link = mock.AsyncMock()
        link.receive.return_value = bytes.fromhex(FRAMES["Hello"][0])
        with self.assertRaises(_handshake.FrameRefusedError) as caught:
            trio.run(_handshake._receive, link, message._TYPES["Challenge"])
        self.assertEqual(str(caught.exception), "received Hello, expected Challenge")


def _outcome(cls: type[UpstreamError]) -> str:
    """Return what is noted of an attempt that ended with an exception."""
    run: Any = mock.MagicMock()
    exc = cls.__new__(cls)
    exc.refused = False  # type: ignore[attr-defined]
    ForwardRun._report_health(run, mock.MagicMock(), exc)
    return run._record_attempt.call_args.args[1]
