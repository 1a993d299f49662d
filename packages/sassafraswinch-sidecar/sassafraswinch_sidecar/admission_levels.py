"""Admission levels of root requests, spread evenly over consecutive requests."""

import random

LEVELS = 1_000
"""Number of admission levels. A root request draws a level, which its call tree keeps;
it is admitted if the admitted share of its class exceeds the level."""

GOLDEN_STEP = (5**0.5 - 1) / 2
"""Step between consecutive levels, as a share of all levels. Multiples of the golden
ratio are spread more evenly over any run of requests than those of other numbers."""

MAX_CLASSES = 10_000
"""Maximum number of admission classes that are remembered. Classes come and go with
the routes; those that are forgotten start at a random level again."""


class AdmissionLevels:
    """Draws the levels of a sidecar's root requests.

    Failure: of levels that are drawn independently, the number that is admitted varies
    by its square root. At servers with rate limits of a few requests per second, some
    seconds leave a fifth of the limits unused, which nothing makes up for.

    Args:
        rng: draws the first level of each class, so that sidecars don't admit and
            refuse at the same moments.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._positions: dict[str, float] = {}

    def draw(self, admission_class: str) -> int:
        """Return the level of the next root request, from 0 to ``LEVELS - 1``."""
        position = self._positions.get(admission_class)
        if position is None:
            if len(self._positions) >= MAX_CLASSES:
                self._positions.clear()
            position = self._rng.random()
        position = self._positions[admission_class] = (position + GOLDEN_STEP) % 1.0
        return int(position * LEVELS)
