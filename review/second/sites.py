"""Settings of the deployments that the scripts take."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Site:
    """What the settings file says of one deployment, as on its sheet."""

    name: str
    contracts: str
    bounds: dict[str, str]


KISLOVRT = Site(
    "kislovrt-stockist",
    "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform",
    {
        "contact-ms": "3000",
        "ack-ms": "4000",
        "drain-ms": "2000",
        "grace-s": "8",
        "loss-slack-ms": "200",
        "config-apply-ms": "2000",
        "retry-budget-ratio": "0.2",
        "budget-window-s": "10",
        "retry-budget-extra": "58",
        "require-fence": "false",
        "lease-ms": "3000",
        "thaw-slack-ms": "300",
        "version-ms": "8000",
        "version-all-ms": "11000",
    },
)

GWRES = Site(
    "gwres-cymru-grown",
    "base,drain,config,cost,retry,recover,health,pool,"
    "kvcache,stream,engine,tenants,platform",
    {
        "contact-ms": "4000",
        "ack-ms": "6000",
        "drain-ms": "3000",
        "grace-s": "8",
        "loss-slack-ms": "200",
        "config-apply-ms": "3000",
        "retry-budget-ratio": "0.2",
        "budget-window-s": "10",
        "retry-budget-extra": "166",
        "require-fence": "false",
        "lease-ms": "3000",
        "thaw-slack-ms": "300",
        "version-ms": "12000",
        "version-all-ms": "17000",
    },
)
