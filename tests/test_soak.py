"""Short soak runs: real nodes on failing machines, ended by signals in series and a kill when it is due.

Many more are played by hand: `python -m standins.soak --seeds 1:50`.
"""

from __future__ import annotations

import pytest

from standins.soak.run import play

SEEDS = range(1, 11)  # among them crowded ones (4, 8) and some whose nodes are replaced (5, 10)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken(seed: int) -> None:
    records = play(seed)
    broken = records.violations()
    assert not broken, f"replay with: python -m standins.soak --seeds {seed}\n" + "\n".join(broken)
    answers = [request.answer for request in records.requests.values()]
    assert answers.count("UP") >= 20, "the run says little"
