"""One unreadable entry hides all runners from every router."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from fleet import (  # noqa: E402
    CONTACT_S,
    DRAIN_S,
    RECOVERY_S,
    Fleet,
    check_calm,
    play,
    served_share,
)
from standins import repeat_until  # noqa: E402

# The other writer has cut a text in the middle of a character.
UNREADABLE = (
    b'{"service":"notes","address":"10.1.0.77:8080","zone":"pnw-a",'
    b'"state":"ready","slots":1,"comment":"kiln 7 \\ud83d"}'
)


async def ask(fleet: Fleet, seconds: float) -> None:
    """Let three clients of each router send requests for some time."""
    until = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        for router in range(len(fleet.routers)):
            for path in ("/sign/1", "/read/1", "/read/2"):
                client = fleet.client(router)

                async def step(client=client, path=path) -> None:
                    await client.send(path, 1.5)

                group.create_task(repeat_until(until, 0.1, step))


async def scenario(fleet: Fleet, has_trouble: bool) -> bool:
    """Return whether RECOVER and DRAIN were kept."""
    await asyncio.sleep(CONTACT_S)
    if has_trouble:
        fleet.store.put("servers", "other-writer-1", UNREADABLE)
        fleet.note("another writer has written an entry that cannot be read")
    await asyncio.sleep(1)
    await ask(fleet, 3)
    before = check_calm(fleet)

    leaving = fleet.runners["a1"]
    leaving.state = "draining"
    acked_at = leaving.write_entry()
    fleet.note("a1 is draining; the store has acknowledged it")
    await ask(fleet, DRAIN_S + 3)
    late = late_runs(fleet, acked_at)
    fleet.note(f"runs at a1 later than drain-ms after that: {late}")
    leaving.stop()
    fleet.note("a1 has left")

    for router in fleet.routers:
        router.kill()
    fleet.note("all routers are killed")
    await asyncio.sleep(1)
    for router in fleet.routers:
        await router.start()
    fleet.note("all routers are started again")
    await asyncio.sleep(RECOVERY_S)
    n_before = len(fleet.results)
    await ask(fleet, 5)
    after = served_share(fleet.results[n_before:])
    statuses = sorted({result.status for result in fleet.results[n_before:]})
    fleet.note(f"served later than recovery-s after: {after:.3f}, statuses {statuses}")
    recovers = after >= 0.25 or before < 0.25
    fleet.note(f"RECOVER {'held' if recovers else 'BROKEN'}")
    fleet.note(f"DRAIN {'held' if not late else 'BROKEN'}")
    return recovers and not late


def late_runs(fleet: Fleet, acked_at: float) -> int:
    """Count the requests that were sent and reached a1 after drain-ms."""
    sent_at = {result.request_id: result.sent_at for result in fleet.results}
    return sum(
        run.runner == "a1"
        and run.at > acked_at + DRAIN_S
        and sent_at[run.request_id] > acked_at + DRAIN_S
        for run in fleet.runs
    )


play(CASE, scenario)
