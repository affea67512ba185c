"""Compute the tables of ``docs/CAPACITY.md`` from measured slopes.

Each row gives the cost of one role of a node at the design size and the slopes that it
is computed from. The total is compared with the budget for control.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from .design_size import ControlBudget, DesignSize, StoreBudget
from .slope import Slope

N_LINKS: Final = 6
"""Links of a router to other routers; ``peer.n_peers``."""

N_REGIONS: Final = 2

GOSSIP_BUDGET: Final = 800.0
"""Bytes per second for load vectors; ``placement.gossip_budget``."""

READ_BUDGET: Final = 1000.0
"""Bytes per second for reading loads; ``placement.read_budget``."""

GRANT_RENEW_S: Final = 1.5
"""Interval between grants of an active entry; half of ``grant_valid_s``."""

TOKEN_GAP_S: Final = 0.033
"""Required maximum interval between two tokens of a stream."""

PIECES_PER_PROMPT: Final = 10.0
"""Assumed length of a prompt: 40,000 characters."""

N_ENTRIES: Final = 320
"""Assumed entries of the catalogue: accounts, models, adapters and routes."""

CHANGE_BYTES: Final = 600.0
"""Assumed size of a stored change to one entry."""

DAY_S: Final = 86400.0
MB: Final = float(1 << 20)
S_PER_US: Final = 1e-6


@dataclass(frozen=True)
class Cost:
    """Cost of one role on one node."""

    role: str
    core_share: float
    memory_mb: float
    bytes_per_s: float
    basis: str
    """How the figures are derived from slopes and sizes."""
    mechanism: str


def render_slopes(slopes: Iterable[Slope]) -> str:
    """Return the table of measured points and slopes."""
    lines = [
        "| cost | measured (size: cost) | slope | at size 0 |",
        "|---|---|---|---|",
    ]
    for slope in slopes:
        points = ", ".join(f"{point.x:g}: {point.y:.4g}" for point in slope.points)
        lines.append(
            f"| {slope.name}, {slope.y_unit} by {slope.x_unit} | {points} "
            f"| {slope.slope:.4g} | {slope.intercept:.4g} |"
        )
    return "\n".join(lines) + "\n"


def render_costs(slopes: Mapping[str, Slope]) -> str:
    """Return the table of a node's control costs, compared with the budget."""
    costs = control_costs(slopes, DesignSize())
    budget = ControlBudget()
    total = Cost(
        "all control of a node",
        sum(cost.core_share for cost in costs),
        sum(cost.memory_mb for cost in costs),
        sum(cost.bytes_per_s for cost in costs),
        "the sum",
        "",
    )
    lines = [
        "| role | core | memory, MB | bytes/s sent | worked out from | mechanism |",
        "|---|---|---|---|---|---|",
        *(_cost_line(cost) for cost in (*costs, total)),
        f"| budget | {budget.core_share:.1%} | {budget.memory_mb:g} "
        f"| {budget.bytes_per_s:g} | letter 1 | |",
    ]
    budget_results = [
        _budget_result("core", total.core_share, budget.core_share),
        _budget_result("memory", total.memory_mb, budget.memory_mb),
        _budget_result("bytes", total.bytes_per_s, budget.bytes_per_s),
    ]
    return "\n".join(lines) + "\n\n" + "; ".join(budget_results) + ".\n"


def control_costs(slopes: Mapping[str, Slope], size: DesignSize) -> list[Cost]:
    """Return the cost of each control role of one node."""
    n_regional = size.n_upstream_instances / N_REGIONS
    return [
        _membership(slopes, size),
        _upstream_reader(slopes, size),
        _load_vectors(slopes, n_regional),
        _grants(slopes, size),
        _catalogue(slopes, size),
    ]


def _membership(slopes: Mapping[str, Slope], size: DesignSize) -> Cost:
    core = slopes["idle core share by routers"].at(size.n_routers) / 100
    sent = slopes["idle peer bytes by routers"].at(size.n_routers)
    memory = slopes["members in memory"].at(size.n_routers) / MB
    basis = "idle fleets of 12, 24 and 48 routers, the line carried on to 410"
    return Cost("membership and links", core, memory, sent, basis, "sparse overlay")


def _upstream_reader(slopes: Mapping[str, Slope], size: DesignSize) -> Cost:
    n_read = size.n_upstream_instances / size.n_routers
    core = slopes["idle core share by upstreams"].slope / 100 * 2 * n_read
    memory = slopes["upstream instances in memory"].at(size.n_upstream_instances) / MB
    basis = f"{n_read:.1f} instances a router; 2 routers shared them when measured"
    return Cost("upstream reader", core, memory, READ_BUDGET, basis, "one a region")


def _load_vectors(slopes: Mapping[str, Slope], n_regional: float) -> Cost:
    frame = slopes["load vector frame"].at(n_regional)
    rounds_per_s = GOSSIP_BUDGET / (frame * N_LINKS)
    round_trip_us = slopes["load vector, written and read"].at(n_regional)
    core = round_trip_us * S_PER_US * rounds_per_s * N_LINKS
    basis = f"{frame:.0f} bytes to {N_LINKS} links every {1 / rounds_per_s:.1f} s"
    return Cost("load vectors", core, 0.0, GOSSIP_BUDGET, basis, "byte budget")


def _grants(slopes: Mapping[str, Slope], size: DesignSize) -> Cost:
    """Return the cost of requesting grants, without the primary router's answers."""
    active = min(size.n_accounts, size.requests_per_router_s * GRANT_RENEW_S)
    exchange = slopes["grants asked and answered"].slope
    sent = active / GRANT_RENEW_S * exchange
    basis = f"{active:.0f} active accounts, renewed every {GRANT_RENEW_S:g} s"
    return Cost("account home and grants", 0.0, 0.0, sent, basis, "grants in chunks")


def _catalogue(slopes: Mapping[str, Slope], size: DesignSize) -> Cost:
    per_s = size.changes_per_day / DAY_S
    core = slopes["applying a change"].at(N_ENTRIES) * S_PER_US * per_s
    memory = slopes["catalogue in memory"].at(N_ENTRIES) / MB
    sent = per_s * CHANGE_BYTES * N_LINKS
    basis = f"{per_s:.3f} changes/s to {N_LINKS} links"
    return Cost("catalogue", core, memory, sent, basis, "log, gossip of versions")


def render_data_path(slopes: Mapping[str, Slope]) -> str:
    """Return the table of the cost of callers' traffic on one node."""
    size = DesignSize()
    events = size.tokens_per_router_s * slopes["relayed events"].slope * S_PER_US
    requests = size.requests_per_router_s * slopes["short requests"].slope * S_PER_US
    prompts = slopes["prefix keys of a prompt"].at(PIECES_PER_PROMPT)
    keys = size.requests_per_router_s * prompts * S_PER_US
    tokens = size.tokens_per_s / size.requests_per_s
    n_streams = size.requests_per_router_s * tokens * TOKEN_GAP_S
    memory = slopes["streams in flight"].slope * n_streams
    decisions = slopes["decisions in memory"].at(2000) / MB
    lines = [
        "| part | at the size to design for | cost |",
        "|---|---|---|",
        f"| relayed events | {size.tokens_per_router_s:.0f}/s | {events:.2f} core |",
        f"| requests | {size.requests_per_router_s:.1f}/s | {requests:.3f} core |",
        f"| prefix keys | {PIECES_PER_PROMPT:g} pieces each | {keys:.4f} core |",
        f"| streams in flight | {n_streams:.0f} | {memory:.0f} MB |",
        f"| decisions kept | 2000 | {decisions:.1f} MB |",
        f"| all | | {events + requests + keys:.2f} core |",
    ]
    return "\n".join(lines) + "\n"


def render_store(slopes: Mapping[str, Slope]) -> str:
    """Return the table of the fleet's calls to the platform's store."""
    size, budget = DesignSize(), StoreBudget()
    idle = slopes["idle store calls by routers"].at(size.n_routers)
    n_calls = slopes["store calls of a herd start"].at(size.n_routers)
    writes = slopes["store writes of non-repeatable calls"].slope
    lines = [
        "| calls | at the size to design for | budget |",
        "|---|---|---|",
        f"| idle, watches included | {idle:.0f}/s | {budget.reads_per_s:g} reads/s |",
        f"| all 410 start together | {n_calls:.0f} in all | {budget.reads_per_s:g}/s |",
        f"| non-repeatable calls | {writes:.1f} writes each: "
        f"{budget.writes_per_s / writes:.0f} calls/s at most "
        f"| {budget.writes_per_s:g} writes/s |",
        f"| catalogue changes | {size.changes_per_day / DAY_S:.3f} writes/s "
        f"| {budget.writes_per_s:g} writes/s |",
    ]
    return "\n".join(lines) + "\n"


def _cost_line(cost: Cost) -> str:
    return (
        f"| {cost.role} | {cost.core_share:.2%} | {cost.memory_mb:.1f} "
        f"| {cost.bytes_per_s:.0f} | {cost.basis} | {cost.mechanism} |"
    )


def _budget_result(name: str, used: float, allowed: float) -> str:
    return f"{name}: {'fits' if used <= allowed else 'does not fit'}"
