"""Run times of requests by kind, and how long the next one is likely to run."""

from collections.abc import Hashable

from sassafraswinch_sidecar.placement import RunningMeans

LIKELY_DEVIATIONS = 2.0
"""Mean deviations above the mean run time within which a request is likely to end."""


class RunTimes:
    """Measures how long requests of a kind run, and how much that varies."""

    def __init__(self):
        self._means_ms = RunningMeans()
        self._deviations_ms = RunningMeans()

    def record(self, kind: Hashable, run_ms: float) -> None:
        """Record the run time of one request that was completed."""
        mean_ms = self._means_ms.mean(kind)
        self._means_ms.add_value(kind, run_ms)
        deviation_ms = abs(run_ms - mean_ms) if mean_ms else 0.0
        self._deviations_ms.add_value(kind, deviation_ms)

    def likely_ms(self, kind: Hashable) -> float:
        """Return the time within which the next request of a kind is likely to end.

        It is 0 before the first one was completed.
        """
        deviation_ms = self._deviations_ms.mean(kind)
        return self._means_ms.mean(kind) + LIKELY_DEVIATIONS * deviation_ms
