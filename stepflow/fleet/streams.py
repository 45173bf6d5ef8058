"""Named random streams: an added draw in one stream does not change the draws of the others."""

from __future__ import annotations

from hashlib import blake2b

import numpy as np


def stream(seed: int, *names: object) -> np.random.Generator:
    """Return the random stream of a seed and names.

    Philox is a counter-based generator with a key (Salmon et al., SC'11), so streams of different keys do not
    overlap; the key is a hash of the seed and the names.
    """
    text = "/".join(map(str, (seed, *names))).encode()
    return np.random.Generator(np.random.Philox(key=int.from_bytes(blake2b(text, digest_size=16).digest())))
