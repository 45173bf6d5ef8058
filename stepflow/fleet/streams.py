"""Random streams by name: a draw that is added in one place leaves all others as they are."""

from __future__ import annotations

from hashlib import blake2b

import numpy as np


def stream(seed: int, *names: object) -> np.random.Generator:
    """The stream of a name under a seed.

    Philox is a counter under a key (Salmon et al., SC'11), so the streams of two keys do not overlap; the key
    is a hash of the seed and the names.
    """
    text = "/".join(map(str, (seed, *names))).encode()
    return np.random.Generator(np.random.Philox(key=int.from_bytes(blake2b(text, digest_size=16).digest())))
