"""Tests of answers that end early, at any byte and in any way, or are malformed."""

from __future__ import annotations

import itertools
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

import trio

from corianderlb_router.connection import TcpConnector
from corianderlb_router.peer_tunnel import Tunnels
from corianderlb_standins.connection_texts import framed_answers
from corianderlb_standins.loopback import EarlyEnding, EarlyHost, RawHost
from corianderlb_standins.malformed_answers import malformed_answers
from corianderlb_standins.trio_case import RealTimeTestCase, TrioTestCase
from cut_answers import (
    BODY,
    INFORMATIONAL,
    SHAPES,
    CutAnswer,
    Ending,
    Passed,
    cuts_at_borders,
    cuts_everywhere,
)
from data_path_fakes import FakeCaller
from forward_builders import (
    Upstream,
    UpstreamNetwork,
    a_router,
    a_router_in,
    a_stream,
    an_answer,
    an_event,
    an_instance,
    break_off,
)
from test_peer_network import Fleet, LoopbackFleet
from test_peer_tunnel import a_tunnel_fleet

PROMPT = "a:100,own:50"

ROUTES = {"/read/1": "s1", "/book/1": "s1", "/quick/1": "e1", "/long/1": "e1"}
"""A path of each kind of route, and the instance that serves it."""

EMPTY = [
    CutAnswer(shape, len(shape.head), ending)
    for shape in SHAPES
    for ending in (Ending.CLOSE, Ending.LATE_CLOSE)
    if not shape.is_delimited
]
"""Answers that end right after a head without length."""


class TunnelNetwork(UpstreamNetwork):
    """Instances that are reached through another router alone."""

    tunnels: Tunnels

    async def connect(self, address: str) -> trio.abc.Stream:
        name = address.partition(":")[0]
        return await self.tunnels.open(an_instance(name, "app"))


class HostNetwork(UpstreamNetwork):
    """Instances that are hosts on loopback."""

    async def connect(self, address: str) -> trio.abc.Stream:
        host = self.upstreams[address.partition(":")[0]]
        return await TcpConnector().connect(host.address)


@asynccontextmanager
async def hosts_behind_a_peer(kind: type[Fleet]) -> AsyncIterator[TunnelNetwork]:
    """Run two routers; yield the network of the one that reaches hosts by the other."""
    async with a_tunnel_fleet(kind=kind) as fleet, trio.open_nursery() as nursery:
        fleet.add("r01", s1=Upstream([b""]), e1=Upstream([b""]))
        network = TunnelNetwork(nursery, {})
        network.tunnels = fleet.tunnels("r00")
        hosts = HostNetwork(nursery, network.upstreams)
        fleet.servers["r01"]._connector = hosts
        yield network


async def ask_host(
    network: UpstreamNetwork, host: RawHost, path: str, body: bytes = b""
) -> FakeCaller:
    """Send a request to a host as the only instance of a network."""
    network.upstreams.clear()
    network.upstreams[ROUTES[path]] = host
    router = a_router_in(network)
    with trio.fail_after(10):
        caller = await router.ask(path, body, x_prompt=PROMPT)
    await router.parts.transport.aclose()
    return caller


def an_upstream(case: CutAnswer) -> Upstream:
    """Build an upstream that gives a cut answer to each request."""
    return Upstream([case.answer], resets=case.ending is Ending.RESET)


class CutAnswerTest(TrioTestCase):
    def check(self, case: CutAnswer, path: str, caller: FakeCaller) -> None:
        """Check what a caller was given of a cut answer."""
        is_stream = ROUTES[path].startswith("e")
        passed = case.shape.passed(case.n_sent, case.ending, is_stream)
        is_whole = caller.status == 200 and caller.finished
        if passed is Passed.FAILURE:
            self.assertFalse(is_whole, "looks whole")
            has_begun = is_stream and caller.status == 200
            self.assertTrue(has_begun or caller.status == 502, caller.status)
            return
        self.assertTrue(is_whole, caller.status)
        is_unknown = passed is Passed.UNKNOWN
        has_length = "content-length" in caller.answer_headers
        self.assertEqual(caller.ends_by_close, is_unknown)
        self.assertEqual(has_length, not is_unknown and not is_stream)
        data = case.shape.received(case.n_sent)
        self.assertEqual(caller.answer, BODY if case.shape.is_delimited else data)

    async def check_all(self, cases: Iterable[CutAnswer]) -> None:
        """Check cut answers on all kinds of route."""
        for case in cases:
            for path, name in ROUTES.items():
                async with a_router(**{name: an_upstream(case)}) as router:
                    caller = await router.ask(path, x_prompt=PROMPT)
                with self.subTest(case=str(case), path=path):
                    self.check(case, path, caller)

    async def test_cut_at_each_byte(self) -> None:
        """Guards against an answer that ends early and looks whole."""
        await self.check_all(cuts_everywhere())

    async def test_cut_after_an_informational_head(self) -> None:
        await self.check_all(cuts_at_borders(is_after_informational=True))

    async def test_cut_behind_a_peer(self) -> None:
        """Guards against a reset that arrives through a peer as an ordinary end."""
        async with a_tunnel_fleet() as fleet, trio.open_nursery() as nursery:
            fleet.add("r01", s1=Upstream([b""]), e1=Upstream([b""]))
            network = TunnelNetwork(nursery, fleet.instances["r01"])
            network.tunnels = fleet.tunnels("r00")
            paths = fleet.routers["r01"].parts.paths
            for case in cuts_at_borders():
                for path, name in ROUTES.items():
                    fleet.instances["r01"][name] = an_upstream(case)
                    router = a_router_in(network)
                    caller = await router.ask(path, x_prompt=PROMPT)
                    await router.parts.transport.aclose()
                    # Otherwise the peer would take its own path for cut.
                    now = trio.current_time()
                    for instance in fleet.instances["r01"]:
                        paths.answered(an_instance(instance, "app"), now)
                    with self.subTest(case=str(case), path=path):
                        self.check(case, path, caller)

    async def test_empty_answer_is_asked_for_again_where_it_may_be(self) -> None:
        """Guards against a head without length that is taken for a whole answer."""
        whole = {"s": an_answer(BODY), "e": a_stream(1, 2)}
        for case in EMPTY:
            for path, name in ROUTES.items():
                upstream = Upstream([case.answer, whole[name[0]]])
                both = {f"{name[0]}{number}": upstream for number in (1, 2)}
                async with a_router(**both) as router:
                    caller = await router.ask(path, x_prompt=PROMPT)
                may_repeat = path in ("/read/1", "/long/1")
                with self.subTest(case=str(case), path=path):
                    self.assertEqual(caller.status, 200 if may_repeat else 502)
                    self.assertEqual(len(upstream.requests), 1 + may_repeat)
                    self.assertEqual(caller.answer == BODY, may_repeat)

    async def test_failure_without_length_is_passed_on_without_one(self) -> None:
        head = b"HTTP/1.1 %d Bad\r\nx-seal: s\r\n\r\n"
        for status in (404, 500):
            for body in (b"", b"why"):
                service = Upstream([head % status + body], closes=True)
                async with a_router(s1=service) as router:
                    caller = await router.ask("/book/1")
                with self.subTest(status=status, body=body):
                    self.assertEqual((caller.status, caller.answer), (status, body))
                    self.assertTrue(caller.ends_by_close)

    async def test_empty_rest_of_a_stream_does_not_complete_it(self) -> None:
        """Guards against a begun stream that an empty answer ends as whole."""
        for case in EMPTY:
            engine = Upstream([break_off, case.answer])
            async with a_router(e1=engine, e2=engine) as router:
                caller = await router.ask("/long/1", x_prompt=PROMPT)
            with self.subTest(case=str(case)):
                self.assertEqual((caller.status, caller.finished), (200, False))

    async def test_undelimited_rest_of_a_delimited_stream(self) -> None:
        """Guards against a final chunk in place of an end that nobody knows."""
        head = b"HTTP/1.1 200 OK\r\nx-seal: s\r\n\r\n"
        engine = Upstream([break_off, head + an_event(3)], closes=True)
        async with a_router(e1=engine, e2=engine) as router:
            caller = await router.ask("/long/1", x_prompt=PROMPT)
        self.assertEqual((caller.status, len(engine.requests)), (200, 2))
        self.assertFalse(caller.finished and not caller.ends_by_close)


LONG_BODY = bytes(1 << 22)
"""Request body that the buffers of a connection don't hold."""

EARLY_ANSWERS = framed_answers(BODY, b"x-seal: s")
"""Whole answers by what delimits them."""


class EarlyAnswerTest(RealTimeTestCase):
    """Answers that arrive while their request is being sent, over loopback."""

    async def check(
        self,
        network: UpstreamNetwork,
        framing: str,
        ending: EarlyEnding,
        pause_s: float,
    ) -> None:
        """Ask a host that answers early on all kinds of route."""
        host = EarlyHost(EARLY_ANSWERS[framing], ending, pause_s)
        is_known = framing != "close" or ending.takes_request
        async with host.running():
            for path in ROUTES:
                caller = await ask_host(network, host, path, LONG_BODY)
                with self.subTest(framing, path=path, ending=ending, pause_s=pause_s):
                    is_whole = caller.status == 200 and caller.finished
                    self.assertEqual(is_whole, is_known, caller.status)
                    self.assertTrue(not is_whole or caller.answer == BODY)

    async def check_all(
        self, network: UpstreamNetwork, pauses_s: Iterable[float]
    ) -> None:
        """Check all framings and ends."""
        for case in itertools.product(EARLY_ANSWERS, EarlyEnding, pauses_s):
            await self.check(network, *case)

    async def test_reset_while_the_request_is_sent(self) -> None:
        """Guards against a part of an answer whose reset only the write was told."""
        async with trio.open_nursery() as nursery:
            await self.check_all(HostNetwork(nursery, {}), (0.0, 0.005, 0.05))

    async def test_reset_behind_a_peer(self) -> None:
        """Guards against an end of the router that helps in place of a reset."""
        for kind in (Fleet, LoopbackFleet):
            async with hosts_behind_a_peer(kind) as network:
                await self.check_all(network, (0.0, 0.005, 0.05))


class MalformedAnswerTest(RealTimeTestCase):
    """Answers that are none, over loopback."""

    async def check(self, network: UpstreamNetwork, answer: bytes, name: str) -> None:
        """Check that nothing passes for an answer, to a call and to a stream."""
        async with RawHost(answer).running() as host:
            for n_requests, path in enumerate(("/book/1", "/quick/1"), 1):
                caller = await ask_host(network, host, path)
                with self.subTest(name, path=path):
                    # A check whether the host still listens sends nothing.
                    self.assertEqual(sum(map(bool, host.requests)), n_requests)
                    has_begun = path == "/quick/1" and caller.status == 200
                    self.assertFalse(caller.finished and caller.status != 502)
                    self.assertTrue(has_begun or caller.status == 502, caller.status)

    async def test_malformed_answers(self) -> None:
        """Guards against a field, a body or a status that the upstream has not sent."""
        async with trio.open_nursery() as nursery:
            network = HostNetwork(nursery, {})
            for name, answer in malformed_answers(BODY, b"x-seal: s"):
                await self.check(network, answer, name)
                await self.check(network, INFORMATIONAL + answer, f"103, {name}")

    async def test_malformed_answers_behind_a_peer(self) -> None:
        """The router that helps passes on bytes; the one that asks checks them."""
        async with hosts_behind_a_peer(LoopbackFleet) as network:
            for name, answer in malformed_answers(BODY, b"x-seal: s"):
                if "length" in name:
                    await self.check(network, answer, name)

    async def test_malformed_rest_of_a_stream(self) -> None:
        """Guards against a further attempt whose answer is read less strictly."""
        for name, answer in malformed_answers(an_event(3), b"x-seal: s"):
            engine = Upstream([break_off, answer], closes=True)
            async with trio.open_nursery() as nursery:
                network = UpstreamNetwork(nursery, {"e1": engine, "e2": engine})
                caller = await a_router_in(network).ask("/long/1", x_prompt=PROMPT)
            with self.subTest(name):
                self.assertEqual(len(engine.requests), 2)
                self.assertEqual((caller.status, caller.finished), (200, False))
