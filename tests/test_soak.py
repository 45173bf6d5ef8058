"""Short soak runs: real nodes on failing machines, ended by a series of signals and SIGKILL when it is due.

`python -m standins.soak --seeds 1:50` plays more seeds.
"""

from __future__ import annotations

import pytest

from standins.soak.run import play

SEEDS = range(1, 11)  # 4 and 8 are crowded; 5 and 10 replace their nodes' processes


@pytest.mark.parametrize("seed", SEEDS)
def test_soak_run_breaks_no_rule(seed: int) -> None:
    records = play(seed)
    violations = records.violations()
    assert not violations, f"replay with: python -m standins.soak --seeds {seed}\n" + "\n".join(violations)
    answers = [request.answer for request in records.requests.values()]
    assert answers.count("UP") >= 20, "fewer than 20 sessions were established"
