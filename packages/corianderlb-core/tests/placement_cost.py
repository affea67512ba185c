"""Print the microseconds that one decision of the default policy takes.

Run it as a script: ``python placement_cost.py``. Prompts have 12 pieces; half of them
are repeated, to exercise hints and cached rankings.
"""

from __future__ import annotations

import random
import sys
import time
from typing import Final

from corianderlb_core.catalogue import ServiceClass
from corianderlb_core.default_placement import DefaultPolicy
from corianderlb_core.identity import Incarnation
from corianderlb_core.instance_load import InstanceLoad, InstanceSet
from corianderlb_core.placement import ModelCost, PlacementQuery
from corianderlb_core.request import AttemptOutcome, RequestFacts
from corianderlb_core.result import ResultCode
from corianderlb_core.settings import PlacementSettings

N_PIECES: Final = 12
N_DECISIONS: Final = 3000
COST: Final = ModelCost(0.1)


def microseconds(n_instances: int) -> tuple[float, float]:
    """Return the mean time of a decision, and of feeding its outcome back."""
    rng = random.Random(1)
    loads = [InstanceLoad(Incarnation(f"e{i}", 1)) for i in range(n_instances)]
    instances = InstanceSet.of("m", 0, loads)
    policy = DefaultPolicy(PlacementSettings(), rng)
    deciding = learning = 0.0
    for i in range(N_DECISIONS):
        prompt = rng.randrange(200) if rng.random() < 0.5 else i
        keys = tuple(f"{d}:{prompt % (4 << d)}".encode() for d in range(N_PIECES))
        facts = RequestFacts(
            f"r{i}", "a", ServiceClass.URGENT, "m", "m", 0, 9, prefix_keys=keys
        )  # fmt: skip
        now = i / 100
        start = time.perf_counter()
        best = policy.choose(PlacementQuery(facts, instances, COST, now))[0]
        chosen = time.perf_counter()
        policy.dispatched(facts, best, now)
        outcome = AttemptOutcome(best.incarnation, ResultCode.OK, 0.1, 500, 1000, now)
        policy.answered(facts, outcome, now)
        deciding += chosen - start
        learning += time.perf_counter() - chosen
    return deciding / N_DECISIONS * 1e6, learning / N_DECISIONS * 1e6


if __name__ == "__main__":
    for n in (5, 50, 930):
        decide, learn = microseconds(n)
        sys.stdout.write(f"{n} instances: {decide:.0f} us, {learn:.0f} us feedback\n")
