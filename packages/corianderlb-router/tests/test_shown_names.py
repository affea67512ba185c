"""Guard the names of settings, metrics and log lines, which operators rely on."""

from __future__ import annotations

import re
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

import trio

from corianderlb_core.admission import GateCounts
from corianderlb_core.catalogue import ServiceClass
from corianderlb_core.chart import read_chart
from corianderlb_core.result import ResultCode
from corianderlb_core.settings import RouterSettings
from corianderlb_router import _main
from corianderlb_router._journal_shard import ShardCounts
from corianderlb_router._peer_connection import PeerCounters
from corianderlb_router.caller_memory import CallerMemory
from corianderlb_router.catalogue_follower import FollowerCounters
from corianderlb_router.catalogue_reader import ReaderCounters
from corianderlb_router.forward_metric import ForwardMetrics
from corianderlb_router.forward_node import ForwardNode, ForwardNodeSettings
from corianderlb_router.forward_run import AttemptRecord
from corianderlb_router.metric import CounterGroup, Gauge, Metrics
from corianderlb_router.node_metric import NodeCounters
from corianderlb_router.store_caller import StoreCall
from wire_names import CORE, CTL, ROUTER, field_paths, first_words, lines, log_lines

SETTINGS = """\
instance
zone
region
store.url
store.timeout_s
peer.key_file
peer.n_peers
peer.heartbeat_s
peer.silent_after_s
peer.suspect_after_s
peer.seeds[]
operator.key_file
listen.host
listen.port
listen.peer_host
listen.peer_port
placement.policy = default|hash_only|least_loaded|round_robin
placement.hash_pieces
placement.zone_penalty_s
placement.report_lag_s
placement.read_min_s
placement.read_budget
placement.gossip_min_s
placement.gossip_budget
placement.import_wait_s
journal.n_shards
journal.retention_s
journal.seal_bytes
journal.max_segments
journal.inline_bytes
journal.begin_timeout_s
journal.finish_wait_s
journal.repeat_wait_s
journal.owner_grace_s
journal.in_doubt_s
catalogue.stale_after_s
data_path.max_body_bytes
data_path.max_header_bytes
data_path.max_answer_bytes
data_path.default_deadline_s
data_path.connect_timeout_s
data_path.first_event_timeout_s
data_path.queue_timeout_s
data_path.resume_timeout_s
data_path.stall_timeout_s
data_path.caller_stall_timeout_s
data_path.balancer_lag_s
data_path.n_decisions
admission.concurrent_per_instance
admission.max_waiting
admission.standard_wait_s
admission.deferrable_wait_s
admission.overdue_every
admission.grant_valid_s
admission.grant_burst_s
admission.grant_answer_s
orders.lease_s
orders.margin_s
orders.send_s
orders.flight_s
"""

FORWARD_SETTINGS = """\
forward.node
forward.zone
forward.zone_penalty_s
forward.budget.ratio
forward.budget.fixed
forward.budget.window_s
forward.usage.window_s
forward.usage.overshoot
forward.usage.slack
forward.weights_limit_s
forward.memory_bytes
forward.bounded_engines
forward.fair_room
forward.level_queues
forward.avoid_crashed
forward.urgent_places
forward.connect_timeout_s
region
listen.front
listen.status
listen.peer
listen.metrics
readiness_path
peers.key_file
peers.n_peers
peers.heartbeat_s
peers.silent_after_s
peers.suspect_after_s
peers.seeds[]
peer_key
orders.lease_s
orders.margin_s
orders.send_s
orders.flight_s
grace_s
engines_check_tokens
"""

METRICS = """\
corianderlb_admission_events_total counter
corianderlb_admission_events_total kind
corianderlb_attempts_total code retry
corianderlb_attempts_total counter
corianderlb_catalogue_events_total counter
corianderlb_catalogue_events_total kind
corianderlb_catalogue_version
corianderlb_catalogue_version gauge
corianderlb_failed_connections_total counter
corianderlb_failed_connections_total kind
corianderlb_journal_events_total counter
corianderlb_journal_events_total kind
corianderlb_peer_traffic_total counter
corianderlb_peer_traffic_total kind
corianderlb_peers_connected
corianderlb_peers_connected gauge
corianderlb_placement_events_total counter
corianderlb_placement_events_total kind
corianderlb_prompt_tokens_total counter
corianderlb_prompt_tokens_total source
corianderlb_quarantined_requests
corianderlb_quarantined_requests gauge
corianderlb_requests_in_flight
corianderlb_requests_in_flight gauge
corianderlb_requests_total class code
corianderlb_requests_total counter
corianderlb_requests_waiting
corianderlb_requests_waiting gauge
corianderlb_store_call_failures_total counter
corianderlb_store_call_failures_total kind
corianderlb_store_calls_total counter
corianderlb_store_calls_total kind
corianderlb_stream_events_total
corianderlb_stream_events_total counter
corianderlb_ttft_seconds histogram
corianderlb_ttft_seconds_bucket class le
corianderlb_ttft_seconds_count class
corianderlb_ttft_seconds_sum class
"""

FORWARD_METRICS = """\
corianderlb_answers_ended_total counter
corianderlb_answers_ended_total framing outcome
corianderlb_brittle_instances
corianderlb_brittle_instances gauge
corianderlb_callers_cut
corianderlb_callers_cut gauge
corianderlb_carried_tunnels
corianderlb_carried_tunnels gauge
corianderlb_configuration_version
corianderlb_configuration_version gauge
corianderlb_doubted_instances
corianderlb_doubted_instances gauge
corianderlb_engine_slowdown gauge
corianderlb_engine_slowdown instance
corianderlb_engine_tokens_per_s gauge
corianderlb_engine_tokens_per_s instance
corianderlb_engines_found_full
corianderlb_engines_found_full gauge
corianderlb_failed_connections
corianderlb_failed_connections gauge
corianderlb_forward_attempts_total counter
corianderlb_forward_attempts_total outcome repeat
corianderlb_forward_first_seconds histogram
corianderlb_forward_first_seconds_bucket kind le
corianderlb_forward_first_seconds_count kind
corianderlb_forward_first_seconds_sum kind
corianderlb_forward_prompt_tokens_total counter
corianderlb_forward_prompt_tokens_total source
corianderlb_forward_whole_seconds histogram
corianderlb_forward_whole_seconds_bucket kind le
corianderlb_forward_whole_seconds_count kind
corianderlb_forward_whole_seconds_sum kind
corianderlb_forwarded_total counter
corianderlb_forwarded_total kind result
corianderlb_held_bytes
corianderlb_held_bytes gauge
corianderlb_holds_orders
corianderlb_holds_orders gauge
corianderlb_in_flight
corianderlb_in_flight gauge
corianderlb_known_parts
corianderlb_known_parts gauge
corianderlb_known_streams
corianderlb_known_streams gauge
corianderlb_limited_instances
corianderlb_limited_instances gauge
corianderlb_log_lines_left_out
corianderlb_log_lines_left_out gauge
corianderlb_paced_instances
corianderlb_paced_instances gauge
corianderlb_parts_heard
corianderlb_parts_heard gauge
corianderlb_parts_told
corianderlb_parts_told gauge
corianderlb_repeat_prompt_tokens_total
corianderlb_repeat_prompt_tokens_total counter
corianderlb_resting_instances
corianderlb_resting_instances gauge
corianderlb_retries_sent_total charged
corianderlb_retries_sent_total counter
corianderlb_retry_delay_seconds histogram
corianderlb_retry_delay_seconds_bucket le
corianderlb_retry_delay_seconds_count
corianderlb_retry_delay_seconds_sum
corianderlb_room_refused
corianderlb_room_refused gauge
corianderlb_room_waiting
corianderlb_room_waiting gauge
corianderlb_routers
corianderlb_routers gauge
corianderlb_slowest_pace
corianderlb_slowest_pace gauge
corianderlb_store_lost
corianderlb_store_lost gauge
corianderlb_stream_events_repeated_total
corianderlb_stream_events_repeated_total counter
corianderlb_streams_cut_total after_silence reason taken_while_stopping
corianderlb_streams_cut_total counter
corianderlb_streams_paused_total after_silence
corianderlb_streams_paused_total counter
corianderlb_streams_resumed_total counter
corianderlb_streams_resumed_total source
corianderlb_unmarked_ends_total counter
corianderlb_unmarked_ends_total end leaving
"""

COUNTERS = """\
store_calls.create
store_calls.delete
store_calls.get
store_calls.instances
store_calls.list
store_calls.update
store_calls.watch
store_failures.create
store_failures.delete
store_failures.get
store_failures.instances
store_failures.list
store_failures.update
store_failures.watch
peers.bytes_in
peers.bytes_out
peers.dials_failed
peers.dropped
peers.links_opened
peers.links_silent
peers.messages_in
peers.messages_out
peers.refused
peers.strangers
connections.callers
catalogue.answered
catalogue.asked
catalogue.bad_offers
catalogue.failures
catalogue.from_peers
catalogue.from_store
catalogue.full_reads
catalogue.not_answered
catalogue.polls
catalogue.watches
journal.conflicts
journal.failures
journal.operations
journal.read_backs
journal.writes
admission.admitted
admission.expired
admission.left
admission.queued
admission.refused
placement.gossip_bytes
placement.import_orders
placement.import_orders_late
placement.imported_pieces
placement.load_read_bytes
placement.load_read_failures
placement.load_reads
placement.vectors_of_another_list
"""

LOG_LINES = """\
(traceback)
(traceback)
caller:cut account held_bytes unread_ms
catalogue:bad_offer peer reason
catalogue:in_force version
catalogue:snapshot_failed reason
catalogue:waiting for_s
catalogue:{store_failing|store_read_again} reason
configuration:in_force n_accounts n_routes revision version
connection:failed detail error peer raised_at server
engine:speeds slowdowns tokens_per_s
instance_list:{failing|read_again} detail
journal:sealed shard
journal:store_failing shard
lease:handed_over heir quiet_s token
lease:interrupted reason
lease:not_released reason
lease:state state token upstream
lease:unreadable reason token upstream
library:log exception level library text
limits:home_silent entry
log:left_out n_lines
orders:ended catalogue_version instance kind name state token upstream version
orders:interrupted reason upstream
path:answers born_ms instance
path:doubted born_ms instance reason
peer:linked epoch peer
peer:newer_self epoch
peer:not_proved reason
peer:silent peer
peer:unlinked peer
quarantine:crash crash n_suspects parts reporter
quarantine:store_failing reason
quarantine:unreadable key reason
request:ended account after_stop_ms attempts configuration configuration_age_ms
    confirmed cut detail first_ms longest_pause_ms objective_ms pause_objective_ms
    read_ms request result resumes route status stream_version took_ms version_source
    whole
retry:charged live_routers request requests retries routers runs_ms upstream
retry:sent charged_ms instance request upstream
room:accounts accounts admitted_per_s capacity upstream
roster:not_entered reason
roster:unreadable key reason
router:cut request_ids
router:cut requests
router:reload
router:start listen
router:state state
router:state state
router:stop
run:copied instance outcome request to took_ms
server:exhausted detail server
server:shed n_connections server
state:from_peer kind peer revision
store:history_gone kind
store:lost
store:regained away_s
stream:unknown answers current peers record versions
streams:not_recorded reason
streams:unreadable key reason
tunnel:not_opened instance peer reason
upstream:brittle born_ms instance refusals_per_s source
upstream:forgotten born_ms instance
upstream:health born_ms instance state
upstream:health instance state
upstream:leaving born_ms instance reason
upstream:leaving epoch instance
upstream:limit born_ms instance per_s source
upstream:listed address born_ms instance upstream
upstream:new_life epoch instance
upstream:pace backoffs born_ms instance pace reason routers
upstream:removed instance
upstream:rest born_ms instance rest_ms
upstream:rest epoch instance rest_ms
upstream:software upstream versions
usage:refused account burst cost heard_share rate_per_s retry_after_ms routers unit used
weights:load_ended has_version instance is_timeout model took_ms version
weights:named age_ms exact model source version
weights:order answer instance model token version
weights:phase instance n_needed n_requests newest phase version
"""

ATTEMPT = """\
instance
outcome
took_ms
estimate_ms
detail
wait_ms
n_missing
weights
weights_age_ms
began_ms
fetch_from
n_events
resume_after
first_event
last_event
n_repeated
framing
has_ended
end
end_age_ms
ended_leaving
was_moving
silent_ms
left_ms
via
software
"""

CHARTS = {
    "call": "absent begun finished not_run root unknown",
    "lease": "away held root settling watching",
    "order": "done failed in_doubt intended not_sent planned refused root taken",
    "router": "draining isolated root serving starting stopped",
    "upstream_health": "healthy proving retired root suspect",
}


class SettingNameTest(unittest.TestCase):
    def test_router_settings(self) -> None:
        """The settings file of a router keeps its keys."""
        self.assertEqual(field_paths(RouterSettings), lines(SETTINGS))

    def test_forward_settings(self) -> None:
        """The settings of a forwarding router keep their names."""
        self.assertEqual(field_paths(ForwardNodeSettings), lines(FORWARD_SETTINGS))

    def test_command_line(self) -> None:
        """The router keeps its name, options and exit codes."""
        found = first_words(ROUTER / "_main.py", "add_argument")
        self.assertEqual(found, ["--check", "--settings"])
        self.assertEqual((_main.EXIT_SETTINGS, _main.EXIT_LISTEN), (2, 3))


class MetricNameTest(unittest.TestCase):
    def test_metrics(self) -> None:
        """Metrics of a catalogue router keep names, kinds and labels."""
        self.assertEqual(metric_names(full_metrics()), lines(METRICS))

    def test_forward_metrics(self) -> None:
        """Metrics of a forwarding router keep names, kinds and labels."""
        self.assertEqual(metric_names(forward_metrics()), lines(FORWARD_METRICS))

    def test_counters(self) -> None:
        """Counters in the status, and kinds of metrics, keep their names."""
        found = [counter.name for counter in counters().status()]
        self.assertEqual(found, lines(COUNTERS))


class LogNameTest(unittest.TestCase):
    def test_log_lines(self) -> None:
        """Log lines keep their types and fields."""
        wanted = LOG_LINES.replace("\n    ", " ")
        self.assertEqual(log_lines(CORE, ROUTER, CTL), lines(wanted))

    def test_attempts(self) -> None:
        """The attempts in the line of a request keep their fields."""
        self.assertEqual(field_paths(AttemptRecord), lines(ATTEMPT))

    def test_states(self) -> None:
        """States of the charts, which log lines and the status show, stay."""
        names = [path.stem for path in sorted((CORE / "charts").glob("*.yaml"))]
        states = {name: ("root", *read_chart(name).states) for name in names}
        found = {name: " ".join(sorted(states[name])) for name in names}
        self.assertEqual(found, CHARTS)


def metric_names(exposition: bytes) -> list[str]:
    """Return name, kind and labels of each metric, a line each."""
    text = exposition.decode()
    kinds = dict(re.findall(r"^# TYPE (\S+) (\S+)$", text, re.MULTILINE))
    labels: dict[str, set[str]] = {}
    for name, inside in re.findall(r"^(\w+?)(?:\{(.*)\})? \S+$", text, re.MULTILINE):
        labels.setdefault(name, set()).update(re.findall(r'(\w+)="', inside))
    found = [f"{name} {kind}" for name, kind in kinds.items()]
    found += [" ".join([name, *sorted(words)]) for name, words in labels.items()]
    return sorted(found)


def full_metrics() -> bytes:
    """Return the exposition of a catalogue router that has counted everything once."""
    metrics = Metrics()
    metrics.request_ended(ResultCode.OK, ServiceClass.URGENT)
    metrics.attempt_ended(ResultCode.OK, is_retry=True)
    metrics.first_token(0.3, ServiceClass.URGENT)
    metrics.prompt_served(3, 1)
    metrics.events_relayed(2)
    for gauge in Gauge:
        metrics.watch_gauge(gauge, lambda: 1.0)
    for counter_group in CounterGroup:
        metrics.watch_counters(counter_group, lambda: {"a": 1.0})
    return metrics.exposition()


def forward_metrics() -> bytes:
    """Return the exposition of a forwarding router that has counted everything once."""
    metrics = ForwardMetrics()
    metrics.request_ended("OK", "stream", 0.2, 0.1)
    metrics.attempt_ended("ok", is_repeat=False)
    metrics.prompt_sent(1, 3)
    metrics.stream_resumed("peer")
    metrics.retry_sent(0.1)
    metrics.stream_cut("shutdown", after_silence=True, taken_while_stopping=False)
    metrics.paused_too_long(after_silence=True)
    metrics.events_repeated(1)
    metrics.answer_ended("close", "ok")
    metrics.unmarked_end("closed", is_leaving=False)
    metrics.prompt_read_again(1)
    node = mock.MagicMock()
    memory = CallerMemory(1e6)
    node._parts = SimpleNamespace(
        metrics=metrics, n_routers=1, origins=(), memory=memory
    )
    node._ports.state.configuration = None
    node._log.n_dropped_lines = 0
    node._guard.n_failed = Counter()
    node._engines.tokens_per_s = lambda: {"e1": 40_000.0}
    node._engines.slowdowns = lambda: {"e1": 1.7}
    ForwardNode._watch_gauges(node)
    return trio.run(metrics.exposition)


def counters() -> NodeCounters:
    """Return the counters of a router whose parts have just started."""
    calls = dict.fromkeys(StoreCall, 1)
    parts = mock.MagicMock()
    parts.journal.shards = [SimpleNamespace(counts=ShardCounts())]
    parts.limiter.gates = {"a": SimpleNamespace(counts=GateCounts())}
    parts.peers.counters = PeerCounters()
    parts.guard.n_failed = Counter(callers=1)
    parts.catalogue.counters = FollowerCounters()
    parts.reader.counters = ReaderCounters()
    parts.store.n_calls = parts.store.n_failed = calls
    names = NodeCounters.__dataclass_fields__
    return NodeCounters(**{name: getattr(parts, name) for name in names})
